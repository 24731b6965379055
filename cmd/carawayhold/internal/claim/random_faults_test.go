package claim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

var (
	seedFlag = flag.Uint64("seed", 1, "first seed of the randomized runs")
	runsFlag = flag.Int("runs", 1, "factor for the number of randomized runs and fault pairs")
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Checks the guarantees of simulation.check with two injected faults, possibly the
// same one twice, for a seeded sample of all pairs. -runs=600 runs about as many
// cases as there are pairs.
func TestFaultPairs(t *testing.T) {
	const pairs = 200
	var seen outcomes
	t.Run("pairs", func(t *testing.T) {
		for group := range 10 * *runsFlag {
			seed := *seedFlag + uint64(group)
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(seed, 1))
				for range pairs / 10 {
					c := faultCase{claimantIsHome: random.IntN(2) == 0}
					for range 2 {
						c.injections = append(c.injections, injection{
							allFaults[random.IntN(len(allFaults))],
							faultSteps[random.IntN(len(faultSteps))],
						})
					}
					synctest.Test(t, func(t *testing.T) { c.run(t, &seen) })
				}
			})
		}
	})
	fmt.Printf("fault pairs, seed %d: %s\n", *seedFlag, &seen)
}

// Guards against not-run based on a stale cached partition: the claimant writes
// the record directly, so that the home proxy's copy lacks it, and the platform
// fails before the home proxy reads again.
func TestStaleCopyIsNoEvidenceOfNotRun(t *testing.T) {
	var seen outcomes
	for _, at := range []step{backendRan, backendAnswered, settleWritten, callerAnswered} {
		for _, lossName := range []string{"requests to home lost", "replies from home lost"} {
			c := faultCase{injections: []injection{
				{faultNamed(lossName), beforeClaim},
				{faultNamed("platform outage"), at},
			}}
			synctest.Test(t, func(t *testing.T) { c.run(t, &seen) })
		}
	}
}

func faultNamed(name string) fault {
	i := slices.IndexFunc(allFaults, func(f fault) bool { return f.name == name })
	return allFaults[i]
}

// Checks the guarantees of simulation.check under load with several concurrent
// random faults, while callers resubmit keys to random proxies.
func TestRandomRuns(t *testing.T) {
	const runs = 16
	var seen outcomes
	var lastSeed atomic.Uint64
	t.Run("runs", func(t *testing.T) {
		for i := range runs * *runsFlag {
			seed := *seedFlag + uint64(i)
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runRandom(t, seed, &seen) })
				lastSeed.Store(max(lastSeed.Load(), seed))
			})
		}
	})
	fmt.Printf("random runs, seeds %d to %d: %s\n", *seedFlag, lastSeed.Load(), &seen)
}

const (
	randomSteps   = 300
	randomNodes   = 4
	randomKeys    = 60
	stepsPerFault = 12 // mean number of steps per injected fault
)

func runRandom(t *testing.T, seed uint64, seen *outcomes) {
	random := rand.New(rand.NewPCG(seed, 2))
	sim := newSimulation(t, randomNodes)
	for range randomSteps {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if random.IntN(stepsPerFault) == 0 {
			sim.injectRandomFault(random)
			continue
		}
		key := fmt.Sprintf("key-%d", random.IntN(randomKeys))
		go sim.randomNode(random).submit(key, false)
		if random.IntN(40) == 0 {
			sim.heal()
		}
	}
	time.Sleep(callerDeadline + time.Second)
	sim.heal()
	time.Sleep(15 * time.Minute)
	for i := range randomKeys {
		sim.randomNode(random).submit(fmt.Sprintf("key-%d", i), false)
	}
	sim.check(fmt.Sprintf("seed %d", seed))
	seen.add(sim, true)
	sim.stop()
}

// randomNode returns a random live process.
func (sim *simulation) randomNode(random *rand.Rand) *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for {
		if n := sim.members[random.IntN(len(sim.members))]; !n.dead {
			return n
		}
	}
}

func (sim *simulation) injectRandomFault(random *rand.Rand) {
	n, other := sim.randomNode(random), sim.randomNode(random)
	switch random.IntN(9) {
	case 0:
		sim.kill(n)
		sim.start(n.address)
	case 1:
		sim.pause(n, time.Duration(random.IntN(8000))*time.Millisecond)
	case 2:
		sim.pause(n, 10*time.Minute)
	case 3:
		sim.breakPeerLink(n, other, linkState(1+random.IntN(2)))
	case 4:
		sim.breakPlatformLink(n, linkState(1+random.IntN(2)))
	case 5:
		sim.set(func(sim *simulation) { sim.storeDown = !sim.storeDown })
	case 6:
		sim.set(func(sim *simulation) { sim.loseReplies += 2 })
	case 7:
		sim.set(func(sim *simulation) { sim.delayWrites += 2 })
	default:
		faults := []endpointFault{endpointSilent, endpointLate, endpointRefuses, endpointDeclines}
		sim.set(func(sim *simulation) { sim.endpoint = faults[random.IntN(len(faults))] })
	}
}
