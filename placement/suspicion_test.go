package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A view that applies only the changes must suspect the same endpoints as the view that
// places the requests. An endpoint must be sent again only after new evidence.
func TestChangedSuspicionsKeepAnotherViewUpToDate(t *testing.T) {
	const endpoints, steps = 200, 400
	random := rand.New(rand.NewPCG(5, 6))
	placing, learning := newTestBed(t, endpoints, 4), newTestBed(t, endpoints, 4)
	now, sent, suspectedTotal := epoch, 0, 0
	for range steps {
		now = now.Add(20 * time.Millisecond)
		for _, e := range placing.s.all.list {
			if random.IntN(100) == 0 {
				placing.s.Observe(now, e.endpoint.id, 1, []Outcome{OutcomeServed, OutcomeFailed}[random.IntN(2)])
			}
		}
		if now.Sub(epoch)%(500*time.Millisecond) != 0 {
			continue
		}
		list := placing.s.Suspicions(now)
		learning.s.ApplySuspicions(now, list)
		sent += len(list)
		for id, e := range placing.s.targets {
			probability, learned := e.estimate.value(now), learning.s.targets[id].estimate.value(now)
			if probability >= suspicionThreshold {
				suspectedTotal++
			}
			if probability >= suspicionThreshold+minEstimateChange || learned >= suspicionThreshold+minEstimateChange {
				require.InDelta(t, probability, learned, minEstimateChange+0.001, id)
			}
		}
	}
	require.Less(t, sent, suspectedTotal*2/3)
	require.Empty(t, placing.s.Suspicions(now), "nothing has changed")
	placing.s.ResetSuspicions()
	require.NotEmpty(t, placing.s.Suspicions(now))
}

// An endpoint that is no longer suspected must be reported once.
func TestClearedSuspicionIsReportedOnce(t *testing.T) {
	b := newTestBed(t, 2, 4)
	b.suspect("e01")
	require.Len(t, b.s.Suspicions(b.now), 1)
	b.s.setEstimate(b.now, b.s.targets["e01"], minFailureProbability)
	require.Equal(t, []Suspicion{{ID: "e01", FailureProbability: minFailureProbability}}, b.s.Suspicions(b.now))
	require.Empty(t, b.s.Suspicions(b.now))
}
