package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

// declare makes an endpoint declare a rate limit.
func (b *testBed) declare(id string, perSecond float64) {
	b.token++
	b.s.ObserveRateLimit(b.now, b.token, id, b.now, RateLimit{Statement: LimitDeclared, PerSecond: perSecond})
}

// grants places requests every 10 ms for a time and returns the number of grants.
func (b *testBed) grants(d time.Duration) int {
	n := 0
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(10 * time.Millisecond) {
		req := b.request()
		if b.place(req).Verdict == Granted {
			n++
		}
		b.s.End(b.now, req.Token, OutcomeServed, 10*time.Millisecond)
	}
	return n
}

// The declared limits must be used and kept, whatever their value.
func TestRateLimitValues(t *testing.T) {
	const span = 20 * time.Second
	cases := map[string]struct {
		perSecond float64
		least     int
		most      int
	}{
		"zero":       {perSecond: 0, least: 4, most: 5},
		"below one":  {perSecond: 0.5, least: 9, most: 10},
		"one":        {perSecond: 1, least: 19, most: 20},
		"fraction":   {perSecond: 2.5, least: 49, most: 50},
		"many":       {perSecond: 40, least: 780, most: 810},
		"very small": {perSecond: 5e-324, least: 4, most: 5},
		"huge":       {perSecond: 1.7e308, least: 1999, most: 2000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t, 1, 4)
			b.declare("e00", c.perSecond)
			n := b.grants(span)
			require.GreaterOrEqual(t, n, c.least)
			require.LessOrEqual(t, n, c.most)
		})
	}
}

// A limit that changes applies at once, and a lower one does not leave a higher one's
// tokens.
func TestRateLimitChangesApplyAtOnce(t *testing.T) {
	b := newTestBed(t, 1, 4)
	b.declare("e00", 40)
	b.grants(5 * time.Second)
	b.now = b.now.Add(10 * time.Second)
	b.declare("e00", 1)
	require.LessOrEqual(t, b.grants(4*time.Second), 5)
	b.declare("e00", 10)
	require.GreaterOrEqual(t, b.grants(4*time.Second), 38)
}

// A burst after a quiet time must stay within the limit in any four seconds, also if all
// machines place their requests alone and have saved up for long.
func TestBurstAfterQuietTimeStaysWithinRateLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, machines := range []int{1, 3, 32, 443} {
		for _, perSecond := range []float64{0, 1, 10, 100} {
			var names []string
			for i := range machines {
				names = append(names, fmt.Sprintf("m%03d", i))
			}
			granted := 0
			for _, name := range names {
				b := newTestBed(t, 1, 1000)
				b.s.SetMembers(b.now, names)
				b.declare("e00", perSecond)
				for range 1000 {
					b.now = b.now.Add(time.Second)
					b.s.HoldShare(b.now, name)
					b.s.Advance(b.now)
					b.s.refresh(b.now)
				}
				for range 80 {
					for range 10 {
						req := b.request()
						if b.place(req).Verdict == Granted {
							granted++
						}
						b.s.End(b.now, req.Token, OutcomeNone, 0)
					}
					b.now = b.now.Add(window / 80)
					b.s.HoldShare(b.now, name)
				}
			}
			require.LessOrEqual(t, float64(granted), 1.5*max(perSecond, minRatePerSecond)*window.Seconds()+5, "%d machines, %g a second", machines, perSecond)
		}
	}
}

// Whatever shares move between views, in any window all views together use at most what
// the limit allows, one attempt for each share, and what limitBurst saves up.
func TestMovedSharesStayWithinRateLimit(t *testing.T) {
	const views, window = 20, 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.5, 1, 3, 20}).Draw(t, "limit")
		shares := rapid.IntRange(1, limitHolders+int(perSecond)).Draw(t, "shares")
		now := epoch
		buckets := make([]*rateLimit, views)
		for i := range buckets {
			buckets[i] = &rateLimit{perSecond: perSecond, at: now}
		}
		at := make([]int, shares) // view of each share
		setShares := func() {
			held := make([]int, views)
			for _, v := range at {
				held[v]++
			}
			for v, b := range buckets {
				b.setShare(now, float64(held[v])/float64(shares))
			}
		}
		setShares()
		var grants []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			at[rapid.IntRange(0, shares-1).Draw(t, "share")] = rapid.IntRange(0, views-1).Draw(t, "view")
			setShares()
			for _, b := range buckets {
				for b.open(now) && rapid.Bool().Draw(t, "take") {
					b.tokens--
					grants = append(grants, now)
				}
			}
		}
		most, first := 0, 0
		for i, g := range grants {
			for g.Sub(grants[first]) >= window {
				first++
			}
			most = max(most, i-first+1)
		}
		bound := perSecond*(window+limitBurst).Seconds() + float64(shares)
		if float64(most) > bound+tokenTolerance {
			t.Fatalf("%d attempts in %s, bound %g", most, window, bound)
		}
	})
}

// If rate limits bind at all endpoints, the room is known: requests beyond it are refused
// at once and told to return at different times, when there is likely room.
func TestRequestsBeyondAllRateLimitsAreRefusedAtOnce(t *testing.T) {
	b := newTestBed(t, 4, 4)
	for i := range 4 {
		b.declare(fmt.Sprintf("e%02d", i), 1)
	}
	var after []time.Duration
	queued := 0
	for range 40 {
		d := b.place(b.request())
		switch d.Verdict {
		case Queued:
			queued++
		case Refused:
			require.Equal(t, ReasonRateLimit, d.Reason)
			after = append(after, d.RetryAfter)
		}
	}
	require.InDelta(t, 4, queued, 1, "4 a second until the last start that meets the soft deadline, after 1.1 s")
	slices.Sort(after)
	require.GreaterOrEqual(t, after[0], time.Second)
	require.Greater(t, after[len(after)-1]-after[0], time.Second)
	due, waiting := b.s.NextDue()
	require.True(t, waiting)
	require.WithinDuration(t, b.now.Add(time.Second), due, 10*time.Millisecond)
	require.Len(t, b.s.Advance(due.Add(time.Millisecond)), 4)
	require.Equal(t, 40, b.s.Stats(b.now).HeldByLimits)
}

// A limit is no evidence of failure.
func TestRateLimitIsNoSuspicion(t *testing.T) {
	b := newTestBed(t, 1, 4)
	before := b.s.targets["e00"].estimate
	b.declare("e00", 1)
	require.Equal(t, before, b.s.targets["e00"].estimate)
	require.Zero(t, b.s.Stats(b.now).Suspected)
}

// A new owner learns the limits from the members, but not one that has ended since.
func TestNewOwnerLearnsRateLimits(t *testing.T) {
	old, successor := newTestBed(t, 2, 4), newTestBed(t, 2, 4)
	old.declare("e00", 2)
	old.declare("e01", 3)
	limits := old.s.KnownLimits(old.now)
	require.Len(t, limits, 2)
	successor.now = old.now.Add(time.Second)
	successor.declare("e01", 5)
	successor.s.ObserveRateLimit(successor.now.Add(time.Millisecond), 99, "e01", successor.now.Add(time.Millisecond), RateLimit{Statement: LimitAbsent})
	successor.s.ApplyKnownLimits(successor.now, limits)
	require.True(t, successor.s.HasRateLimit("e00"))
	require.False(t, successor.s.HasRateLimit("e01"))
	require.Empty(t, old.s.KnownLimits(old.now.Add(knownLimitMaxAge)))
}

// Endpoints with a rate limit are healthy. While more than a tenth of the requests fail,
// the platform requires requests at 70% of the healthy endpoints in any 2 s.
func TestEndpointsWithRateLimitStayInUse(t *testing.T) {
	const endpoints, limited, step, work = 13, 6, 20 * time.Millisecond, 400 * time.Millisecond
	const window, floorShare = 2 * time.Second, 0.7
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 9))
		b := newTestBed(t, endpoints, 6)
		type running struct {
			token uint64
			id    string
			end   time.Time
		}
		var inFlight []running
		lastSent := map[string]time.Time{}
		start := b.now
		for i := range limited {
			b.declare(fmt.Sprintf("e%02d", i), 1)
		}
		send := func(d Decision) {
			if d.Verdict == Granted {
				lastSent[d.Endpoint.ID()] = b.now
				inFlight = append(inFlight, running{token: d.Token, id: d.Endpoint.ID(), end: b.now.Add(work)})
			}
		}
		for b.now.Sub(start) < 20*time.Second {
			b.now = b.now.Add(step)
			send(b.place(b.request()))
			for len(inFlight) > 0 && !b.now.Before(inFlight[0].end) {
				r := inFlight[0]
				inFlight = inFlight[1:]
				o := OutcomeServed
				if random.Float64() < 0.2 {
					o = OutcomeFailed
				}
				if r.id < fmt.Sprintf("e%02d", limited) {
					b.s.ObserveRateLimit(b.now, r.token, r.id, b.now, RateLimit{Statement: LimitDeclared, PerSecond: 1})
				}
				for _, d := range b.s.End(b.now, r.token, o, work) {
					send(d)
				}
			}
			if b.now.Sub(start) < 2*window {
				continue
			}
			used := 0
			for _, at := range lastSent {
				if b.now.Sub(at) < window {
					used++
				}
			}
			require.GreaterOrEqual(t, float64(used), floorShare*endpoints, "seed %d at %s", seed, b.now.Sub(start))
		}
	}
}

// An endpoint with one overdue attempt counts as suspected until the attempt ends. If the
// other endpoints have rate limits, requests must wait for it: they were refused at once,
// because the limits were taken for all the room there is.
func TestRequestsWaitForSuspectedEndpointBesideRateLimit(t *testing.T) {
	const waiting = 6
	b := newTestBed(t, 2, 10)
	for range 5 {
		b.s.Observe(b.now, "e00", 0, OutcomeServed)
		b.s.Observe(b.now, "e01", 0, OutcomeServed)
	}
	b.declare("e00", 1)
	overdue := b.request()
	require.Equal(t, "e01", b.place(overdue).Endpoint.ID())
	b.now = b.now.Add(overdueFactor*initialServiceTime + 50*time.Millisecond)
	for range waiting {
		require.Equal(t, Queued, b.place(b.request()).Verdict)
	}
	decisions := b.s.End(b.now.Add(100*time.Millisecond), overdue.Token, OutcomeServed, time.Second)
	require.Len(t, decisions, waiting)
	for _, d := range decisions {
		require.Equal(t, Granted, d.Verdict)
	}
}
