package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A response that was on its way when the limit was declared must not end the limit.
func TestOnlyLaterAttemptsEndRateLimit(t *testing.T) {
	b := newTestBed(t, 1, 4)
	first, second := b.request(), b.request()
	b.place(first)
	b.place(second)
	b.now = b.now.Add(100 * time.Millisecond)
	b.s.ObserveRateLimit(b.now, first.Token, "e00", epoch, RateLimit{Statement: LimitDeclared, PerSecond: 3})
	require.True(t, b.s.HasRateLimit("e00"))
	b.s.ObserveRateLimit(b.now, second.Token, "e00", b.now.Add(time.Second), RateLimit{Statement: LimitAbsent})
	require.True(t, b.s.HasRateLimit("e00"), "the attempt began before the declaration")
	b.s.ObserveRateLimit(b.now, 99, "e00", b.now.Add(time.Millisecond), RateLimit{})
	require.True(t, b.s.HasRateLimit("e00"), "no valid response")
	b.s.ObserveRateLimit(b.now, 99, "e00", b.now.Add(time.Millisecond), RateLimit{Statement: LimitAbsent})
	require.False(t, b.s.HasRateLimit("e00"))
	b.s.ObserveRateLimit(b.now, 99, "unknown", b.now, RateLimit{Statement: LimitDeclared, PerSecond: 3})
	require.False(t, b.s.HasRateLimit("unknown"))
}

// Each new limit and the end of the limit are reported once.
func TestRateLimitChangesAreReportedOnce(t *testing.T) {
	r := &recorder{}
	b := newTestBed(t, 1, 4)
	b.s.observer = r
	for i, perSecond := range []float64{3, 3, 2} {
		b.now = b.now.Add(time.Second)
		b.s.ObserveRateLimit(b.now, uint64(i+100), "e00", b.now, RateLimit{Statement: LimitDeclared, PerSecond: perSecond})
	}
	require.Len(t, r.limits, 2)
	require.True(t, r.limits[0].Limited)
	require.InDelta(t, 2, r.limits[1].PerSecond, 0)
	require.Equal(t, uint64(102), r.limits[1].Token)
	b.now = b.now.Add(time.Second)
	b.s.ObserveRateLimit(b.now, 103, "e00", b.now, RateLimit{Statement: LimitAbsent})
	require.Len(t, r.limits, 3)
	require.False(t, r.limits[2].Limited)
	require.Equal(t, epoch.Add(time.Second), r.limits[2].Since)
}
