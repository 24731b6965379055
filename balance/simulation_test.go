package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	longRuns = flag.Bool("balance.long", false, "simulate five minutes instead of 20 s")
	seedFlag = flag.Uint64("balance.seed", 1, "seed of the simulation")
)

// attempt is one request at an endpoint of the simulation.
type attempt struct {
	pool     int
	endpoint string
	from     time.Time
	until    time.Time // end at the endpoint
	freed    bool
	result   Result
}

// simulation is a fleet of proxies that always have requests to send, in front of
// endpoints with 4 slots and no queue. It advances in steps of half a millisecond.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	pools   []*Pool
	running []*attempt
	busy    map[string]int // slots in use
	served  []int          // by proxy
	sheds   int
}

func newSimulation(t *testing.T, seed uint64, proxies int) *simulation {
	t.Logf("seed %d", seed)
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: epoch, busy: map[string]int{}, served: make([]int, proxies)}
	for i := range proxies {
		random := rand.New(rand.NewPCG(seed, uint64(i+1)))
		s.pools = append(s.pools, NewPool(fmt.Sprintf("zone-%d", i%3), random, endpoints(13)...))
	}
	return s
}

func (s *simulation) step(active int) {
	s.now = s.now.Add(500 * time.Microsecond)
	s.running = slices.DeleteFunc(s.running, func(a *attempt) bool {
		if s.now.Before(a.until) {
			return false
		}
		if a.result == ResultServed && !a.freed {
			s.busy[a.endpoint]--
			s.served[a.pool]++
			a.freed = true
		}
		if s.now.Before(a.until.Add(time.Millisecond)) {
			return false // the response is on its way
		}
		s.pools[a.pool].Done(s.now, a.endpoint, a.result, s.now.Sub(a.from))
		return true
	})
	for _, i := range s.random.Perm(active) {
		for {
			e, ok := s.pools[i].Pick(s.now)
			if !ok {
				break
			}
			s.running = append(s.running, s.start(i, e.Name()))
		}
	}
}

func (s *simulation) start(pool int, endpoint string) *attempt {
	a := &attempt{pool: pool, endpoint: endpoint, from: s.now, until: s.now.Add(time.Millisecond), result: ResultShed}
	if s.busy[endpoint] >= 4 {
		s.sheds++
		return a
	}
	s.busy[endpoint]++
	a.result = ResultServed
	service := time.Duration((10 + 10*s.random.ExpFloat64()) * float64(time.Millisecond))
	a.until = s.now.Add(service)
	return a
}

func (s *simulation) run(d time.Duration, active int) (served, sheds int, perProxy []int) {
	clear(s.served)
	s.sheds = 0
	for range int(d / (500 * time.Microsecond)) {
		s.step(active)
	}
	for _, n := range s.served {
		served += n
	}
	return served, s.sheds, slices.Clone(s.served[:active])
}

// Guards against a fleet that leaves slots idle, floods the endpoints with attempts
// that they shed, or lets some proxies use the slots of others; and against limits
// that do not recover when the other proxies become idle.
func TestFleetSharesTheSlots(t *testing.T) {
	length := 20 * time.Second
	if *longRuns {
		length = 5 * time.Minute
	}
	s := newSimulation(t, *seedFlag, 32)
	s.run(5*time.Second, 32)
	served, sheds, perProxy := s.run(length, 32)
	capacity := 2600 * length.Seconds()
	share := float64(served) / capacity
	attempts := float64(served + sheds)
	t.Logf("32 proxies: %.0f%% of the capacity, %.0f%% of the attempts shed, %d to %d served per proxy",
		100*share, 100*float64(sheds)/attempts, slices.Min(perProxy), slices.Max(perProxy))
	require.Greater(t, share, 0.75)
	require.Less(t, float64(sheds)/attempts, 0.55)
	require.Less(t, slices.Max(perProxy), 2*slices.Min(perProxy))

	s.run(5*time.Second, 2)
	served, sheds, _ = s.run(length, 2)
	share = float64(served) / capacity
	t.Logf("2 proxies left: %.0f%% of the capacity, %.0f%% of the attempts shed", 100*share, 100*float64(sheds)/float64(served+sheds))
	require.Greater(t, share, 0.85)
}
