package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func readyEndpoint(id string, revision Revision) Endpoint {
	return Endpoint{ID: id, Service: "lager", Address: "127.0.0.1:1", Slots: 4, Revision: revision}
}

func ids(list []Endpoint) []string {
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.ID
	}
	return names
}

// Messages out of order must not make a draining endpoint usable again.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	draining := readyEndpoint("a", 9)
	draining.Draining = true
	r := newRegistry()
	require.True(t, r.merge(draining))
	require.False(t, r.merge(readyEndpoint("a", 8)))
	require.False(t, r.merge(readyEndpoint("a", 9)))
	require.Empty(t, r.usable("lager"))
	require.Empty(t, r.applyList([]Endpoint{readyEndpoint("a", 8)}, 9, start, start))
	require.True(t, r.merge(readyEndpoint("a", 10)), "a new process with the same ID")
	require.Equal(t, []string{"a"}, ids(r.usable("lager")))
}

func TestMissingEndpoints(t *testing.T) {
	cases := map[string]struct {
		reregisterDeadline time.Time
		expireAt           time.Time
		usable             bool
	}{
		"gone":                     {reregisterDeadline: start, expireAt: start},
		"kept before the deadline": {reregisterDeadline: start.Add(time.Second), expireAt: start, usable: true},
		"removed at the deadline":  {reregisterDeadline: start.Add(time.Second), expireAt: start.Add(time.Second)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			r.merge(readyEndpoint("a", 5))
			r.applyList(nil, 7, start, c.reregisterDeadline)
			r.expireMissing(c.expireAt)
			require.Equal(t, c.usable, len(r.usable("lager")) == 1)
		})
	}
}

func TestDrainingEndpointIsRemovedDuringOutage(t *testing.T) {
	draining := readyEndpoint("a", 5)
	draining.Draining = true
	r := newRegistry()
	r.merge(draining)
	require.Len(t, r.applyRemoval("a", 6, start, start.Add(time.Second)), 1)
}

func TestDigestIsIndependentOfOrder(t *testing.T) {
	states := []Endpoint{readyEndpoint("a", 3), readyEndpoint("b", 4), readyEndpoint("a", 6), {ID: "b", Deregistered: true, Revision: 7}}
	forward, backward := newRegistry(), newRegistry()
	for i := range states {
		forward.merge(states[i])
		backward.merge(states[len(states)-1-i])
	}
	require.Equal(t, forward.digest, backward.digest)
	require.Equal(t, []string{"a"}, ids(forward.usable("lager")))
	require.Len(t, forward.changedAfter(6), 1)
}

// An entry expires during an outage of the store and the endpoint registers again. A hub may
// first receive the deletion from its own watch or the new registration from another hub.
// In both cases the endpoint must be usable after the deadline.
func TestReregisteredEndpointIsKept(t *testing.T) {
	const deleted, again = 41, 60
	end := start.Add(time.Second)
	deletion := func(r *registry) { r.applyRemoval("a", deleted, start, end) }
	registration := func(r *registry) { r.merge(readyEndpoint("a", again)) }
	for name, steps := range map[string][]func(*registry){
		"deletion first":                     {deletion, registration},
		"registration first":                 {registration, deletion},
		"registration first, received twice": {registration, deletion, registration},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			r.merge(readyEndpoint("a", deleted-1))
			for _, step := range steps {
				step(r)
			}
			r.expireMissing(end)
			require.Equal(t, []string{"a"}, ids(r.usable("lager")))
		})
	}
}

// A registration directly after a deletion is newer, even if the deletion is assumed to have
// the same revision.
func TestRegistrationWinsOverDeletionAtSameRevision(t *testing.T) {
	deregistered := Endpoint{ID: "a", Service: "lager", Deregistered: true, Revision: 6}
	for name, order := range map[string][]Endpoint{
		"deletion first": {deregistered, readyEndpoint("a", 6)}, "registration first": {readyEndpoint("a", 6), deregistered},
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
