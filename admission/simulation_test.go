package admission

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	longRuns = flag.Bool("admission.long", false, "simulate ten minutes instead of 30 s")
	seedFlag = flag.Uint64("admission.seed", 1, "seed of the simulation")
)

// simulation is one proxy in front of two slots with a mean service time of 20 ms. It
// advances in steps of one millisecond.
type simulation struct {
	control *Controller
	random  *rand.Rand
	now     time.Time
	running []run
	offered map[string]int
	good    map[string]int
	late    int
	// waited is the longest time from the arrival of a request until it was dropped.
	waited map[string]time.Duration
	stall  bool
}

type run struct {
	ticket *Ticket
	from   time.Time
	until  time.Time
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		control: New(rand.New(rand.NewPCG(seed, 1)), testClasses()),
		random:  rand.New(rand.NewPCG(seed, 2)), now: epoch,
		offered: map[string]int{}, good: map[string]int{}, waited: map[string]time.Duration{},
	}
}

// step advances the simulation by one millisecond, with the given arrivals per second.
func (s *simulation) step(t *testing.T, rates map[string]float64) {
	s.now = s.now.Add(time.Millisecond)
	s.running = slices.DeleteFunc(s.running, func(r run) bool {
		if s.stall || s.now.Before(r.until) {
			return false
		}
		s.control.Done(s.now, r.ticket, OutcomeServed, s.now.Sub(r.from))
		if s.now.After(r.ticket.Deadline()) {
			s.late++
		} else {
			s.good[r.ticket.Class()]++
		}
		return true
	})
	for _, class := range []string{"booking", "prompt", "browse"} {
		if s.random.Float64() < rates[class]/1000 {
			s.offered[class]++
			s.recordDropped(admit(t, s.control, s.now, class).Displaced())
		}
	}
	s.recordDropped(s.control.Expire(s.now))
	for len(s.running) < 2 {
		ticket, ok := s.control.Next(s.now)
		if !ok {
			break
		}
		service := time.Duration((10 + 10*s.random.ExpFloat64()) * float64(time.Millisecond))
		s.running = append(s.running, run{ticket: ticket, from: s.now, until: s.now.Add(service)})
	}
}

func (s *simulation) recordDropped(dropped []Dropped) {
	for _, d := range dropped {
		class := d.Ticket().Class()
		s.waited[class] = max(s.waited[class], s.now.Sub(d.Ticket().Arrived()))
	}
}

func (s *simulation) percent(class string) float64 {
	return 100 * float64(s.good[class]) / float64(s.offered[class])
}

func runLength() int {
	if *longRuns {
		return 600_000
	}
	return 30_000
}

// Guards against an overload of browsing requests that affects bookings and stock
// checks, starves browsing completely, or lets callers wait beyond their deadline.
func TestOverloadAffectsLowestClassFirst(t *testing.T) {
	t.Logf("seed %d", *seedFlag)
	for _, factor := range []float64{0.5, 1, 2, 4} {
		s := newSimulation(*seedFlag)
		rates := map[string]float64{"booking": 5, "prompt": 15, "browse": 100*factor - 20}
		for range runLength() {
			s.step(t, rates)
		}
		t.Logf("%.1f times capacity: booking %.1f%%, prompt %.1f%%, browse %.1f%% (%d), late %d, dropped after at most %v",
			factor, s.percent("booking"), s.percent("prompt"), s.percent("browse"), s.good["browse"], s.late, s.waited)
		require.Greater(t, s.percent("booking"), 99.0)
		require.Greater(t, s.percent("prompt"), 98.0)
		require.Greater(t, s.good["browse"], runLength()*60/1000*min(2, int(2*factor))/2*6/10, "slots must not be left idle")
		require.Less(t, float64(s.late), 0.02*float64(s.good["browse"]))
		for class, waited := range s.waited {
			require.LessOrEqual(t, waited, s.control.byName[class].class.deadline, class)
		}
	}
}

// Guards against a controller that admits too many requests after a stall of all
// endpoints, or refuses all requests forever.
func TestRecoversFromAStall(t *testing.T) {
	t.Logf("seed %d", *seedFlag)
	s := newSimulation(*seedFlag)
	rates := map[string]float64{"booking": 5, "prompt": 15, "browse": 40}
	for range 5000 {
		s.step(t, rates)
	}
	s.stall = true
	for range 5000 {
		s.step(t, rates)
	}
	s.stall = false
	for range 1000 {
		s.step(t, rates)
	}
	clear(s.offered)
	clear(s.good)
	for range 10_000 {
		s.step(t, rates)
	}
	for _, class := range []string{"booking", "prompt", "browse"} {
		require.Greater(t, s.percent(class), 97.0, class)
	}
}
