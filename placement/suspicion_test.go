package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A view that learns only the changes suspects what the view that places requests
// does, and hears of an endpoint only when there is new evidence.
func TestChangedSuspicionsKeepAnotherViewUpToDate(t *testing.T) {
	const endpoints, steps = 200, 400
	random := rand.New(rand.NewPCG(5, 6))
	placing, learning := newBench(t, endpoints, 4), newBench(t, endpoints, 4)
	now, told, whole := epoch, 0, 0
	for range steps {
		now = now.Add(20 * time.Millisecond)
		for _, seat := range placing.s.all.list {
			if random.IntN(100) == 0 {
				placing.s.Observe(now, seat.endpoint.id, 1, []Outcome{OutcomeServed, OutcomeFailed}[random.IntN(2)])
			}
		}
		if now.Sub(epoch)%(500*time.Millisecond) != 0 {
			continue
		}
		list := placing.s.Suspicions(now)
		learning.s.ApplySuspicions(now, list)
		told += len(list)
		for id, seat := range placing.s.seats {
			failing, learnt := seat.belief.value(now), learning.s.seats[id].belief.value(now)
			if failing >= suspected {
				whole++
			}
			if failing >= suspected+toldDifference || learnt >= suspected+toldDifference {
				require.InDelta(t, failing, learnt, toldDifference+0.001, id)
			}
		}
	}
	require.Less(t, told, whole*2/3)
	require.Empty(t, placing.s.Suspicions(now), "nothing has changed")
	placing.s.ResetSuspicions()
	require.NotEmpty(t, placing.s.Suspicions(now))
}

// An endpoint that is cleared is told once.
func TestClearedSuspicionIsTold(t *testing.T) {
	b := newBench(t, 2, 4)
	b.fail("e01")
	require.Len(t, b.s.Suspicions(b.now), 1)
	b.s.believe(b.now, b.s.seats["e01"], leastFailing)
	require.Equal(t, []Suspicion{{ID: "e01", FailureProbability: leastFailing}}, b.s.Suspicions(b.now))
	require.Empty(t, b.s.Suspicions(b.now))
}
