package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ejectedLedger() Ledger {
	return entries(Entry{Endpoint: "a", State: StateEjected, Evidence: 5}, Entry{Endpoint: "b", State: StateEjected, Evidence: 9})
}

// TestViewValidity guards against copies that count from the response instead of
// the request, outlive Validity through a peer, or are replaced by older ones.
func TestViewValidity(t *testing.T) {
	sent, received := simEpoch, simEpoch.Add(10*time.Second)
	v := NewView("depot")
	require.False(t, v.Ejected("a", sent), "a proxy without a copy must use every endpoint")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 7, sent, received))
	require.True(t, v.Ejected("a", sent.Add(Validity-1)))
	require.False(t, v.Ejected("a", sent.Add(Validity)))

	c, ok := v.PeerCopy(received.Add(500 * time.Microsecond))
	require.True(t, ok)
	require.EqualValues(t, 10_001, c.AgeMillis, "the age must be rounded up")
	peer := NewView("depot")
	require.NoError(t, peer.ObservePeer(c, received, received.Add(time.Second)))
	require.Equal(t, received.Add(Validity-10_001*time.Millisecond), peer.ValidUntil())

	require.NoError(t, v.ObservePlatform(entries(), 6, received, received))
	require.True(t, v.Ejected("a", received), "an older version must not replace a newer one")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 7, received, received))
	require.True(t, v.Ejected("a", sent.Add(Validity)), "the same version extends the validity")
	_, ok = v.PeerCopy(received.Add(Validity - time.Microsecond))
	require.False(t, ok, "the rounded age must be one that the peer accepts")

	require.ErrorIs(t, v.ObservePlatform(entries(), 8, received, sent), ErrInvalidCopy)
	require.ErrorIs(t, v.ObservePeer(PeerCopy{Version: 8, AgeMillis: -1}, sent, sent), ErrInvalidCopy)
	require.ErrorIs(t, v.ObservePeer(PeerCopy{Version: 8, AgeMillis: 30_000}, sent, sent), ErrInvalidCopy)
	require.ErrorIs(t, v.ObservePeer(PeerCopy{Version: 8, Value: []byte("{")}, sent, sent), ErrInvalidLedger)
}

// TestRemoveHold guards against a hold that carries over from one return of an
// endpoint to the next, as after a pause of the proxy.
func TestRemoveHold(t *testing.T) {
	returning := entries(Entry{Endpoint: "a", State: StateReturning})
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

// TestEjectedWithin guards against a proxy that follows an old ledger below a
// floor it already knows.
func TestEjectedWithin(t *testing.T) {
	v := NewView("depot")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 1, simEpoch, simEpoch))
	for floor, want := range map[int][]string{3: {"a", "b"}, 4: {"b"}, 5: nil} {
		require.Equal(t, want, v.EjectedWithin(NewPool(4, floor, draftEndpoints), simEpoch), "floor %d", floor)
	}
	require.Nil(t, v.EjectedWithin(NewPool(4, 3, draftEndpoints), simEpoch.Add(Validity)))
}

// TestCheck guards against a ledger that breaks its own configuration's floor
// and is not noticed.
func TestCheck(t *testing.T) {
	v := NewView("depot")
	require.NoError(t, v.ObservePlatform(ejectedLedger(), 1, simEpoch, simEpoch))
	require.NoError(t, v.Check(NewPool(3, 3, draftEndpoints)))
	require.NoError(t, v.Check(NewPool(4, 5, draftEndpoints)), "a newer floor is restored first")
	require.ErrorIs(t, v.Check(NewPool(3, 4, draftEndpoints)), ErrFloorViolated)
	require.EqualValues(t, 1, v.Violations())
}

// TestWriteOutcome guards against a lost response that is taken for success or
// failure wrongly.
func TestWriteOutcome(t *testing.T) {
	base := entries()
	signed := func(operations ...string) Ledger {
		l := base.clone()
		for _, o := range operations {
			l.sign(o)
		}
		return l
	}
	many := make([]string, recentLimit)
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
		{"applied", signed("op"), 6, OutcomeApplied},
		{"applied under another", signed("op", "other"), 9, OutcomeApplied},
		{"another first", signed("other"), 6, OutcomeNotApplied},
		{"no trace left", signed(many...), 40, OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, NewWrite("op", base, 5).Outcome(c.read, c.version))
		})
	}
}

// TestDecode guards against a damaged value that is taken for a ledger.
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

// Guards against a confirmation that shortens the validity of a copy, or makes
// one valid that is not held.
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

// Guards against a copy that counts as valid at its end or after it, with and
// without a monotonic reading. A suspended VM, whose monotonic clock stands still
// while the wall clock goes on, cannot be made with time.Time values.
func TestLapsedByEitherClock(t *testing.T) {
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
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, Lapsed(c.now, until)) })
	}
}
