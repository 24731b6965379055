package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ejectedLedger() Ledger {
	return newLedger(Entry{Endpoint: "a", State: StateEjected, Evidence: 5}, Entry{Endpoint: "b", State: StateEjected, Evidence: 9})
}

// TestViewValidity guards against a copy whose validity starts at the response
// instead of the request, that outlives Validity after being sent to a peer, or
// that is replaced by an older one.
func TestViewValidity(t *testing.T) {
	sent, received := simEpoch, simEpoch.Add(10*time.Second)
	v := NewView("depot")
	require.False(t, v.Ejected("a", sent), "a view without a copy must not treat an endpoint as ejected")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 7, sent, received))
	require.True(t, v.Ejected("a", sent.Add(Validity-1)))
	require.False(t, v.Ejected("a", sent.Add(Validity)))

	c, ok := v.PeerCopy(received.Add(500 * time.Microsecond))
	require.True(t, ok)
	require.EqualValues(t, 10_001, c.AgeMillis, "the age must be rounded up")
	peer := NewView("depot")
	require.NoError(t, peer.ObservePeer(c, received, received.Add(time.Second)))
	require.Equal(t, received.Add(Validity-10_001*time.Millisecond), peer.ValidUntil())

	require.NoError(t, v.ObservePlatform(newLedger(), 6, received, received))
	require.True(t, v.Ejected("a", received), "an older version must not replace a newer one")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 7, received, received))
	require.True(t, v.Ejected("a", sent.Add(Validity)), "reading the same version again must extend the validity")
	_, ok = v.PeerCopy(received.Add(Validity - time.Microsecond))
	require.False(t, ok, "a copy must not be sent if the peer would reject its rounded age")

	require.ErrorIs(t, v.ObservePlatform(newLedger(), 8, received, sent), ErrInvalidCopy)
	require.ErrorIs(t, v.ObservePeer(PeerCopy{Version: 8, AgeMillis: -1}, sent, sent), ErrInvalidCopy)
	require.ErrorIs(t, v.ObservePeer(PeerCopy{Version: 8, AgeMillis: 30_000}, sent, sent), ErrInvalidCopy)
	require.ErrorIs(t, v.ObservePeer(PeerCopy{Version: 8, Value: []byte("{")}, sent, sent), ErrInvalidLedger)
}

// TestRemoveHold guards against a hold that is counted for a later return of the
// same endpoint, as after a pause of the proxy.
func TestRemoveHold(t *testing.T) {
	returning := newLedger(Entry{Endpoint: "a", State: StateReturning})
	v := NewView("depot")
	require.NoError(t, v.ObservePlatform(returning, 1, simEpoch, simEpoch))
	require.Empty(t, v.Removable(simEpoch.Add(RemoveHold-1)))
	require.Equal(t, []string{"a"}, v.Removable(simEpoch.Add(RemoveHold)))

	again := returning.clone()
	again.Entries[0].Operation = "next return"
	later := simEpoch.Add(time.Hour)
	require.NoError(t, v.ObservePlatform(again, 4, later, later))
	require.Empty(t, v.Removable(later.Add(RemoveHold-1)))
	require.Equal(t, []string{"a"}, v.Removable(later.Add(RemoveHold)))
}

// TestEjectedWithin guards against a proxy that applies an outdated ledger
// although it violates the floor of the proxy's newer configuration.
func TestEjectedWithin(t *testing.T) {
	v := NewView("depot")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 1, simEpoch, simEpoch))
	for floor, want := range map[int][]string{3: {"a", "b"}, 4: {"b"}, 5: nil} {
		require.Equal(t, want, v.EjectedWithin(NewPool(4, floor, draftEndpoints), simEpoch), "floor %d", floor)
	}
	require.Nil(t, v.EjectedWithin(NewPool(4, 3, draftEndpoints), simEpoch.Add(Validity)))
}

// TestCheck guards against an undetected ledger that violates the floor of the
// configuration it was written under.
func TestCheck(t *testing.T) {
	v := NewView("depot")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 1, simEpoch, simEpoch))
	require.NoError(t, v.Check(NewPool(3, 3, draftEndpoints)))
	require.NoError(t, v.Check(NewPool(4, 5, draftEndpoints)), "a ledger of an older configuration must not be checked")
	require.ErrorIs(t, v.Check(NewPool(3, 4, draftEndpoints)), ErrFloorViolated)
	require.EqualValues(t, 1, v.Violations())
}

// TestWriteOutcome guards against a wrong outcome of a write whose response was
// lost.
func TestWriteOutcome(t *testing.T) {
	base := newLedger()
	afterWrites := func(operations ...string) Ledger {
		l := base.clone()
		for _, o := range operations {
			l.recordOperation(o)
		}
		return l
	}
	many := make([]string, maxRecentWrites)
	for i := range many {
		many[i] = "other"
	}
	cases := []struct {
		name    string
		read    Ledger
		version int64
		want    Outcome
	}{
		{"unchanged", base, 5, OutcomePending},
		{"applied", afterWrites("op"), 6, OutcomeApplied},
		{"applied before another", afterWrites("op", "other"), 9, OutcomeApplied},
		{"another applied instead", afterWrites("other"), 6, OutcomeNotApplied},
		{"too many writes since", afterWrites(many...), 40, OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, NewWrite("op", base, 5).Outcome(c.read, c.version))
		})
	}
}

// TestDecode guards against accepting a malformed or inconsistent ledger.
func TestDecode(t *testing.T) {
	l, err := Decode("depot", nil)
	require.NoError(t, err)
	require.Equal(t, Ledger{Service: "depot"}, l)
	value, err := ejectedLedger().Encode()
	require.NoError(t, err)
	l, err = Decode("depot", value)
	require.NoError(t, err)
	require.Equal(t, ejectedLedger(), l)
	for _, bad := range []string{
		`{`,
		`{"service":"atelier"}`,
		`{"service":"depot","entries":[{"state":"ejected","operation":"o"}]}`,
		`{"service":"depot","entries":[{"endpoint":"a","state":"gone","operation":"o"}]}`,
		`{"service":"depot","entries":[{"endpoint":"a","state":"ejected"}]}`,
		`{"service":"depot","entries":[{"endpoint":"a","state":"ejected","operation":"o"},` +
			`{"endpoint":"a","state":"returning","operation":"o"}]}`,
	} {
		_, err := Decode("depot", []byte(bad))
		require.ErrorIs(t, err, ErrInvalidLedger, bad)
	}
}

// Guards against a confirmation that shortens the validity of a copy, or that
// makes a view without a copy valid.
func TestConfirm(t *testing.T) {
	start := time.Now()
	v := NewView("depot")
	v.Confirm(start)
	require.False(t, v.Valid(start))
	require.NoError(t, v.ObservePlatform(Ledger{Service: "depot"}, 1, start, start))
	v.Confirm(start.Add(-time.Second))
	require.Equal(t, start.Add(Validity), v.ValidUntil())
	v.Confirm(start.Add(time.Second))
	require.Equal(t, start.Add(time.Second+Validity), v.ValidUntil())
}

// Guards against a copy that is still valid at or after its expiry, with and
// without a monotonic reading. A suspended VM, whose monotonic clock stops while
// the wall clock continues, cannot be simulated with time.Time values.
func TestExpiredByEitherClock(t *testing.T) {
	start := time.Now()
	until := start.Add(Validity)
	wallOnly := func(offset time.Duration) time.Time { return start.Add(offset).Round(0) }
	cases := []struct {
		name string
		now  time.Time
		want bool
	}{
		{"before", start.Add(Validity - time.Second), false},
		{"after", start.Add(Validity), true},
		{"wall clock only, before", wallOnly(Validity - time.Second), false},
		{"wall clock only, after", wallOnly(Validity), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Expired(c.now, until)) })
	}
}
