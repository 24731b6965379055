package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeReservations is the load of a service of several hundred endpoints that gets
// only requests that must not repeat. The load is a share of the slots.
func largeReservations(endpoints int, load float64) replay {
	const work = 480 * time.Millisecond
	r := reservations()
	r.endpoints, r.length = endpoints, 10*time.Second
	r.kinds = []kindOfRequest{{
		rate: load * float64(endpoints*r.slots) / work.Seconds(), work: work, spread: 0.8,
		aim: 1500 * time.Millisecond, deadline: 2500 * time.Millisecond, late: 0.1, priority: 1,
	}}
	return r
}

// sheddingShare of the arrivals at any endpoint are refused at random, although there
// is room.
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

// largeReplay is a load of a large service with the share of the worth that the
// scheduler served on it which looked at every endpoint for each request. For 525
// endpoints these are its figures for 116 under the same load of each slot.
type largeReplay struct {
	replay replay
	former float64
}

func largeReplays() map[string]largeReplay {
	return map[string]largeReplay{
		"116, half of the slots": {largeReservations(116, 0.5), 0.943},
		"116, nearly all slots":  {largeReservations(116, 0.95), 0.715},
		"116, more than all":     {largeReservations(116, 1.2), 0.573},
		"116, a part is shed":    {sheddingReservations(116), 0.684},
		"525, half of the slots": {largeReservations(525, 0.5), 0.943},
		"525, nearly all slots":  {largeReservations(525, 0.95), 0.715},
		"525, more than all":     {largeReservations(525, 1.2), 0.573},
		"525, a part is shed":    {sheddingReservations(525), 0.684},
	}
}

// qualityNoise is the difference in the share of worth served that other seeds make.
const qualityNoise = 0.01

func TestLargeServicesAreServedAsWellAsByTheFormerScheduler(t *testing.T) {
	for name, c := range largeReplays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			after := play(c.replay, 1, newLargeScheduler(c.replay.endpoints))
			t.Logf("%v", after)
			require.GreaterOrEqual(t, after.worth/float64(after.asked), c.former-qualityNoise)
		})
	}
}

// newLargeScheduler returns a scheduler with a retry budget of a service of that size.
func newLargeScheduler(endpoints int) *Scheduler {
	return New(rand.New(rand.NewPCG(1, 2)), NewBudget(0.16, 0.66*float64(endpoints), 10*time.Second, epoch), nil)
}

// BenchmarkPlaceAtSize measures a request, its placement and its end, by the number of
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
	pause := time.Duration(float64(work) / (load * float64(endpoints*slots)))
	type running struct {
		token uint64
		end   time.Time
	}
	// A ring of attempts in the order of their ends: all last the same time.
	var inFlight []running
	began := 0
	take := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Verdict == Granted {
				inFlight = append(inFlight, running{token: d.Token, end: now.Add(work)})
			}
		}
	}
	step := func(i int) {
		now = now.Add(pause)
		for began < len(inFlight) && !inFlight[began].end.After(now) {
			o := OutcomeServed
			if random.Float64() < 0.03 {
				o = OutcomeFailed
			}
			began++
			take(s.End(now, inFlight[began-1].token, o, work))
		}
		if began > 4096 {
			inFlight = append(inFlight[:0], inFlight[began:]...)
			began = 0
		}
		take([]Decision{s.Place(now, Request{
			Token: uint64(i + 1), Proxy: "p", Zone: "z1", Priority: i % 3, Repeatable: i%4 == 0,
			SoftDeadline: now.Add(1500 * time.Millisecond), Deadline: now.Add(2500 * time.Millisecond),
		})})
	}
	warm := 6 * endpoints * slots
	for i := range warm {
		step(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		step(warm + i)
	}
}
