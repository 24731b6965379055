package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func ready(id string, revision uint64) Endpoint {
	return Endpoint{ID: id, Service: "lager", Address: "127.0.0.1:1", Slots: 4, Revision: revision}
}

func ids(list []Endpoint) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.ID
	}
	return names
}

// No order of messages brings a leaving endpoint back.
func TestOlderStateNeverReturns(t *testing.T) {
	leaving := ready("a", 9)
	leaving.Draining = true
	r := newRegistry()
	require.True(t, r.merge(leaving))
	require.False(t, r.merge(ready("a", 8)))
	require.False(t, r.merge(ready("a", 9)))
	require.Empty(t, r.usable("lager"))
	require.Empty(t, r.applyList([]Endpoint{ready("a", 8)}, 9, start, start))
	require.True(t, r.merge(ready("a", 10)), "a new process under the same name")
	require.Equal(t, []string{"a"}, ids(r.usable("lager")))
}

func TestMissingEndpoints(t *testing.T) {
	cases := map[string]struct {
		lapseEnd time.Time
		later    time.Time
		usable   bool
	}{
		"gone":                           {lapseEnd: start, later: start},
		"may come back after an outage":  {lapseEnd: start.Add(time.Second), later: start, usable: true},
		"did not come back in that time": {lapseEnd: start.Add(time.Second), later: start.Add(time.Second)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			r.merge(ready("a", 5))
			r.applyList(nil, 7, start, c.lapseEnd)
			r.expireMissing(c.later)
			require.Equal(t, c.usable, len(r.usable("lager")) == 1)
		})
	}
}

func TestRemovalOfALeavingEndpointIsFinalDuringAnOutage(t *testing.T) {
	leaving := ready("a", 5)
	leaving.Draining = true
	r := newRegistry()
	r.merge(leaving)
	require.Len(t, r.applyRemoval("a", 6, start, start.Add(time.Second)), 1)
}

func TestDigestAgreesWhateverTheOrder(t *testing.T) {
	states := []Endpoint{ready("a", 3), ready("b", 4), ready("a", 6), {ID: "b", Deregistered: true, Revision: 7}}
	forward, backward := newRegistry(), newRegistry()
	for i := range states {
		forward.merge(states[i])
		backward.merge(states[len(states)-1-i])
	}
	require.Equal(t, forward.digest, backward.digest)
	require.Equal(t, []string{"a"}, ids(forward.usable("lager")))
	require.Len(t, forward.changedAfter(6), 1)
}

// An entry lapses during an outage and is registered again. Whatever a hub learns
// first, the deletion from its own watch or the new registration from another hub, the
// endpoint is usable when the time to come back is over.
func TestLapsedEntryThatCameBackIsKept(t *testing.T) {
	const deleted, again = 41, 60
	end := start.Add(time.Second)
	deletion := func(r *registry) { r.applyRemoval("a", deleted, start, end) }
	registration := func(r *registry) { r.merge(ready("a", again)) }
	for name, steps := range map[string][]func(*registry){
		"deletion first":                 {deletion, registration},
		"registration first":             {registration, deletion},
		"registration first, told twice": {registration, deletion, registration},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			r.merge(ready("a", deleted-1))
			for _, step := range steps {
				step(r)
			}
			r.expireMissing(end)
			require.Equal(t, []string{"a"}, ids(r.usable("lager")))
		})
	}
}

// A registration that follows a deletion at once is newer, also if its revision is the
// one that the deletion is taken to have.
func TestRegistrationBeatsDeletionOfTheSameRevision(t *testing.T) {
	gone := Endpoint{ID: "a", Service: "lager", Deregistered: true, Revision: 6}
	for name, order := range map[string][]Endpoint{
		"deletion first": {gone, ready("a", 6)}, "registration first": {ready("a", 6), gone},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			for _, e := range order {
				r.merge(e)
			}
			require.Equal(t, []string{"a"}, ids(r.usable("lager")))
		})
	}
}
