package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var draftEndpoints = []string{"a", "b", "c", "d", "e"}

func newLedger(list ...Entry) Ledger {
	for i := range list {
		list[i].Operation = "earlier"
	}
	return Ledger{Service: "depot", ConfigRevision: 3, Operation: "earlier", Recent: []string{"earlier"}, Entries: list}
}

// TestPropose guards against an ejection beyond the floor, under an older
// configuration, or of an endpoint that is listed or not configured.
func TestPropose(t *testing.T) {
	ejectedA := Entry{Endpoint: "a", State: StateEjected}
	returningA := Entry{Endpoint: "a", State: StateReturning}
	cases := []struct {
		name   string
		ledger Ledger
		pool   Pool
		want   error
	}{
		{"no entries", newLedger(), NewPool(3, 4, draftEndpoints), nil},
		{"newer configuration", newLedger(), NewPool(4, 4, draftEndpoints), nil},
		{"older configuration", newLedger(), NewPool(2, 4, draftEndpoints), ErrStaleConfiguration},
		{"floor equals size", newLedger(), NewPool(3, 5, draftEndpoints), ErrFloor},
		{"other ejected", newLedger(ejectedA), NewPool(3, 4, draftEndpoints), ErrFloor},
		{"other returning", newLedger(returningA), NewPool(3, 4, draftEndpoints), ErrFloor},
		{"other draining", newLedger(), NewPool(3, 4, draftEndpoints, WithDraining("a")), ErrFloor},
		{"other warming up", newLedger(), NewPool(3, 4, draftEndpoints, WithWarmingUp("a")), ErrFloor},
		{"itself draining", newLedger(), NewPool(3, 4, draftEndpoints, WithDraining("b")), nil},
		{"ejected and draining counts once", newLedger(ejectedA), NewPool(3, 3, draftEndpoints, WithDraining("a")), nil},
		{"entry not configured", newLedger(Entry{Endpoint: "z", State: StateReturning}), NewPool(3, 4, draftEndpoints), nil},
		{"listed", newLedger(Entry{Endpoint: "b", State: StateEjected}), NewPool(3, 2, draftEndpoints), ErrListed},
		{"returning", newLedger(Entry{Endpoint: "b", State: StateReturning}), NewPool(3, 4, draftEndpoints), nil},
		{"returning below the floor", newLedger(ejectedA, Entry{Endpoint: "b", State: StateReturning}), NewPool(3, 4, draftEndpoints), ErrFloor},
		{"not configured", newLedger(), NewPool(3, 1, []string{"a", "c", "d"}), ErrUnknownEndpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := NewDraft(c.ledger, c.pool, "p1", "op", simEpoch)
			require.ErrorIs(t, d.Propose(Candidate{Endpoint: "b", Kind: "error", Evidence: 9}), c.want)
			l, _, err := d.Finish()
			require.NoError(t, err)
			_, before := c.ledger.Entry("b")
			_, after := l.Entry("b")
			require.Equal(t, before || c.want == nil, after)
		})
	}
}

// TestProposeReturningEndpoint guards against ejecting a returning endpoint again
// without counting its earlier ejection, and against doing so in the same write
// as the return.
func TestProposeReturningEndpoint(t *testing.T) {
	returning := newLedger(Entry{Endpoint: "b", State: StateReturning, Operation: "return"})
	d := NewDraft(returning, NewPool(3, 4, draftEndpoints), "p1", "op", simEpoch)
	require.NoError(t, d.Propose(Candidate{Endpoint: "b", Kind: "error", Evidence: 9}))
	l, changes, err := d.Finish()
	require.NoError(t, err)
	e, _ := l.Entry("b")
	require.Equal(t, StateEjected, e.State)
	require.Equal(t, "op", e.Operation)
	require.Equal(t, 1, l.Ejections("b"))
	require.Len(t, changes, 1)

	d = NewDraft(newLedger(Entry{Endpoint: "b", State: StateEjected}), NewPool(3, 4, draftEndpoints), "p1", "op", simEpoch)
	require.NoError(t, d.Return("b"))
	require.ErrorIs(t, d.Propose(Candidate{Endpoint: "b", Kind: "error", Evidence: 9}), ErrListed)
}

// TestRestore guards against a raised floor or a draining endpoint after which
// the floor is not restored, or too many endpoints or those with the stronger
// evidence are readmitted.
func TestRestore(t *testing.T) {
	full := newLedger(
		Entry{Endpoint: "a", State: StateEjected, Evidence: 20},
		Entry{Endpoint: "b", State: StateEjected, Evidence: 10},
		Entry{Endpoint: "c", State: StateEjected, Evidence: 10},
	)
	cases := []struct {
		name string
		pool Pool
		want []string
	}{
		{"floor holds", NewPool(3, 2, draftEndpoints), nil},
		{"raised by one", NewPool(4, 3, draftEndpoints), []string{"b"}},
		{"raised by two", NewPool(4, 4, draftEndpoints), []string{"b", "c"}},
		{"raised to all", NewPool(4, 5, draftEndpoints), []string{"a", "b", "c"}},
		{"other draining", NewPool(3, 2, draftEndpoints, WithDraining("d")), []string{"b"}},
		{"ejected endpoint draining", NewPool(3, 2, draftEndpoints, WithDraining("a")), nil},
		{"draining endpoints do not restore the floor", NewPool(3, 4, draftEndpoints, WithDraining("b", "c")), []string{"a"}},
		{"no longer configured", NewPool(4, 2, []string{"b", "c", "d", "e"}), []string{"a"}},
		{"older configuration", NewPool(2, 5, draftEndpoints), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := NewDraft(full, c.pool, "p1", "op", simEpoch)
			l, changes, err := d.Finish()
			require.NoError(t, err)
			var returned []string
			for _, ch := range changes {
				require.Equal(t, ActionRestore, ch.Action)
				e, _ := l.Entry(ch.Entry.Endpoint)
				require.Equal(t, StateReturning, e.State)
				require.Equal(t, "op", e.Operation)
				returned = append(returned, ch.Entry.Endpoint)
			}
			require.ElementsMatch(t, c.want, returned)
		})
	}
}

// TestHistory guards against a record of earlier ejections that never expires, or
// that expires early, so that a flapping endpoint is readmitted on too little
// evidence.
func TestHistory(t *testing.T) {
	pool := NewPool(3, 3, draftEndpoints)
	l := newLedger()
	v := NewView("depot")
	now := simEpoch
	cycle := func() {
		for _, change := range []func(*Draft){
			func(d *Draft) { require.NoError(t, d.Propose(Candidate{Endpoint: "a"})) },
			func(d *Draft) { require.NoError(t, d.Return("a")) },
			func(d *Draft) { require.NoError(t, d.Remove("a", v)) },
		} {
			_, version := v.Ledger()
			d := NewDraft(l, pool, "p1", now.String(), now)
			change(d)
			var err error
			l, _, err = d.Finish()
			require.NoError(t, err)
			require.NoError(t, v.ObservePlatform(l, version+1, now, now))
			now = now.Add(RemoveHold)
		}
	}
	cycle()
	require.Equal(t, 1, l.Ejections("a"))
	cycle()
	require.Equal(t, 2, l.Ejections("a"))
	now = now.Add(time.Hour)
	d := NewDraft(l, pool, "p1", "later", now)
	require.NoError(t, d.Propose(Candidate{Endpoint: "b"}))
	l, _, err := d.Finish()
	require.NoError(t, err)
	require.Zero(t, l.Ejections("a"))
}

// TestFinishAssertsFloor guards against writing a draft whose changes bypassed
// the floor check of Propose.
func TestFinishAssertsFloor(t *testing.T) {
	d := NewDraft(newLedger(), NewPool(3, 5, draftEndpoints), "p1", "op", simEpoch)
	e := Entry{Endpoint: "a", State: StateReturning, Operation: "op"}
	d.ledger.Entries = append(d.ledger.Entries, e)
	d.changes = append(d.changes, Change{Action: ActionEject, Entry: e})
	_, _, err := d.Finish()
	require.ErrorIs(t, err, ErrFloorViolated)
}
