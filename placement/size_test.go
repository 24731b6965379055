package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeReservations is the load of a service with several hundred endpoints that gets
// only non-repeatable requests. The load is a share of the slots.
func largeReservations(endpoints int, load float64) replay {
	const work = 480 * time.Millisecond
	r := reservations()
	r.endpoints, r.length = endpoints, 10*time.Second
	r.kinds = []requestKind{{
		rate: load * float64(endpoints*r.slots) / work.Seconds(), work: work, logStdDev: 0.8,
		softDeadline: 1500 * time.Millisecond, deadline: 2500 * time.Millisecond, lateBenefit: 0.1, priority: 1,
	}}
	return r
}

// sheddingShare of the requests at any endpoint are rejected at random, although slots
// are free.
const sheddingShare = 0.55

func sheddingReservations(endpoints int) replay {
	r := largeReservations(endpoints, 0.7)
	r.fault = func(at time.Duration, _ int) (float64, float64, float64) {
		if at > 3*time.Second && at < 8*time.Second {
			return 1, 0, sheddingShare
		}
		return 1, 0, 0
	}
	return r
}

// largeReplay is a load of a large service with the share of the benefit that a
// scheduler reached which compared all endpoints for each request. For 525 endpoints,
// the figures are those for 116 under the same load per slot.
type largeReplay struct {
	replay           replay
	referenceBenefit float64
}

func largeReplays() map[string]largeReplay {
	return map[string]largeReplay{
		"116, half of the slots": {largeReservations(116, 0.5), 0.943},
		"116, nearly all slots":  {largeReservations(116, 0.95), 0.715},
		"116, more than all":     {largeReservations(116, 1.2), 0.573},
		"116, part is shed":      {sheddingReservations(116), 0.684},
		"525, half of the slots": {largeReservations(525, 0.5), 0.943},
		"525, nearly all slots":  {largeReservations(525, 0.95), 0.715},
		"525, more than all":     {largeReservations(525, 1.2), 0.573},
		"525, part is shed":      {sheddingReservations(525), 0.684},
	}
}

// seedNoise is the difference in the share of benefit between seeds.
const seedNoise = 0.01

func TestLargeServicesReachReferenceBenefit(t *testing.T) {
	for name, c := range largeReplays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := play(c.replay, 1, newLargeScheduler(c.replay.endpoints))
			t.Logf("%v", result)
			require.GreaterOrEqual(t, result.benefit/float64(result.requests), c.referenceBenefit-seedNoise)
		})
	}
}

// newLargeScheduler returns a scheduler with a retry budget for a service of that size.
func newLargeScheduler(endpoints int) *Scheduler {
	return New(rand.New(rand.NewPCG(1, 2)), NewBudget(0.16, 0.66*float64(endpoints), 10*time.Second, epoch), nil)
}

// BenchmarkPlaceAtSize measures the placement and the end of a request by the number of
// endpoints and the load as a share of their slots.
func BenchmarkPlaceAtSize(b *testing.B) {
	for _, endpoints := range []int{13, 116, 525, 2000} {
		for _, load := range []float64{0.5, 0.95, 1.2} {
			b.Run(fmt.Sprintf("endpoints=%d/load=%.2f", endpoints, load), func(b *testing.B) {
				benchmarkPlace(b, endpoints, load)
			})
		}
	}
}

func benchmarkPlace(b *testing.B, endpoints int, load float64) {
	const (
		slots = 4
		work  = 480 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 3))
	s := newLargeScheduler(endpoints)
	now := epoch
	var list []Endpoint
	for i := range endpoints {
		list = append(list, NewEndpoint(fmt.Sprintf("e%04d", i), "", fmt.Sprintf("z%d", i%5), slots, time.Time{}))
	}
	s.SetEndpoints(now, list)
	interval := time.Duration(float64(work) / (load * float64(endpoints*slots)))
	type running struct {
		token uint64
		end   time.Time
	}
	// A queue of attempts in the order of their ends: all take the same time.
	var inFlight []running
	firstRunning := 0
	trackGrants := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Verdict == Granted {
				inFlight = append(inFlight, running{token: d.Token, end: now.Add(work)})
			}
		}
	}
	step := func(i int) {
		now = now.Add(interval)
		for firstRunning < len(inFlight) && !inFlight[firstRunning].end.After(now) {
			o := OutcomeServed
			if random.Float64() < 0.03 {
				o = OutcomeFailed
			}
			firstRunning++
			trackGrants(s.End(now, inFlight[firstRunning-1].token, o, work))
		}
		if firstRunning > 4096 {
			inFlight = append(inFlight[:0], inFlight[firstRunning:]...)
			firstRunning = 0
		}
		trackGrants([]Decision{s.Place(now, Request{
			Token: uint64(i + 1), Proxy: "p", Zone: "z1", Priority: i % 3, Repeatable: i%4 == 0,
			SoftDeadline: now.Add(1500 * time.Millisecond), Deadline: now.Add(2500 * time.Millisecond),
		})})
	}
	warmUpSteps := 6 * endpoints * slots
	for i := range warmUpSteps {
		step(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		step(warmUpSteps + i)
	}
}
