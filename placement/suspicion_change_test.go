package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recorder records the changes that it is notified of.
type recorder struct {
	list   []SuspicionChange
	limits []RateLimitChange
}

func (r *recorder) SuspicionChanged(c SuspicionChange) { r.list = append(r.list, c) }
func (r *recorder) RateLimitChanged(c RateLimitChange) { r.limits = append(r.limits, c) }

func TestSuspicionChangesAreReportedOnceWithEvidence(t *testing.T) {
	r := &recorder{}
	now := epoch
	s := New(rand.New(rand.NewPCG(1, 2)), NewBudget(0.2, 56, 10*time.Second, epoch), r)
	s.SetEndpoints(now, []Endpoint{NewEndpoint("e00", "", "z", 4, time.Time{})})
	request := Request{Token: 7, Zone: "z", SoftDeadline: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
	require.Equal(t, Granted, s.Place(now, request).Verdict)
	s.End(now, 7, OutcomeFailed, 20*time.Millisecond)
	s.Observe(now, "e00", 8, OutcomeFailed)
	require.Len(t, r.list, 1)
	require.True(t, r.list[0].Suspected)
	require.Equal(t, Evidence{Outcome: OutcomeFailed, Token: 7}, r.list[0].Evidence)

	s.ApplySuspicions(now, []Suspicion{{ID: "e00", FailureProbability: priorFailureProbability}})
	require.Len(t, r.list, 2)
	require.False(t, r.list[1].Suspected)
	require.True(t, r.list[1].Evidence.Remote)

	s.Observe(now, "e00", 9, OutcomeFailed)
	now = now.Add(time.Minute)
	s.ReportDecayed(now)
	s.ReportDecayed(now)
	require.Len(t, r.list, 4)
	require.False(t, r.list[3].Suspected)
	require.Equal(t, Evidence{}, r.list[3].Evidence)
}

func TestStats(t *testing.T) {
	b := newTestBed(t, 3, 2)
	for range 7 {
		b.place(b.request())
	}
	b.s.Observe(b.now, "e00", 0, OutcomeFailed)
	b.s.SetEndpoints(b.now, b.endpoints(2, 2))
	stats := b.s.Stats(b.now)
	require.Equal(t, Stats{
		Endpoints: 2, Draining: 1, Suspected: 1, Slots: 4, InFlight: 6, Waiting: 1, RetriesLeft: 56 + 0.2*7,
	}, stats)
}
