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
	seedFlag = flag.Uint64("seed", 1, "first seed of the randomised runs")
	runsFlag = flag.Int("runs", 1, "multiplies the number of randomised runs and fault pairs")
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards P2, P3 and P4 against two faults at once, or the same fault twice. A
// seeded sample of all pairs; -runs=600 plays about as many cases as there are.
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
					c := matrixCase{claimantIsHome: random.IntN(2) == 0}
					for range 2 {
						c.strikes = append(c.strikes, strike{
							matrixFaults[random.IntN(len(matrixFaults))],
							matrixSteps[random.IntN(len(matrixSteps))],
						})
					}
					synctest.Test(t, func(t *testing.T) { c.play(t, &seen) })
				}
			})
		}
	})
	fmt.Printf("fault pairs, seed %d: %s\n", *seedFlag, &seen)
}

// Guards against not-run on the evidence of an old copy: the claimant writes
// past the home proxy, whose copy then shows no record, and the platform fails
// before the home proxy reads again.
func TestOldCopyIsNoEvidence(t *testing.T) {
	var seen outcomes
	for _, at := range []step{backendRan, backendAnswered, settleTakenEffect, callerAnswered} {
		for _, cutName := range []string{"requests to home cut", "replies of home cut"} {
			c := matrixCase{strikes: []strike{
				{faultNamed(cutName), beforeClaim},
				{faultNamed("platform outage"), at},
			}}
			synctest.Test(t, func(t *testing.T) { c.play(t, &seen) })
		}
	}
}

func faultNamed(name string) fault {
	i := slices.IndexFunc(matrixFaults, func(f fault) bool { return f.name == name })
	return matrixFaults[i]
}

// Guards P2, P3 and P4 in a fleet under load in which several faults hold at
// the same time and callers resubmit their keys wherever they like.
func TestRandomRuns(t *testing.T) {
	const runs = 16
	var seen outcomes
	var lastSeed atomic.Uint64
	t.Run("runs", func(t *testing.T) {
		for i := range runs * *runsFlag {
			seed := *seedFlag + uint64(i)
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playRandom(t, seed, &seen) })
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
	randomStrikes = 12 // one step in this many is a fault
)

func playRandom(t *testing.T, seed uint64, seen *outcomes) {
	random := rand.New(rand.NewPCG(seed, 2))
	w := newWorld(t, randomNodes)
	for range randomSteps {
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		if random.IntN(randomStrikes) == 0 {
			w.strikeRandom(random)
			continue
		}
		key := fmt.Sprintf("key-%d", random.IntN(randomKeys))
		go w.live(random).submit(key, false)
		if random.IntN(40) == 0 {
			w.heal()
		}
	}
	time.Sleep(callerDeadline + time.Second)
	w.heal()
	time.Sleep(15 * time.Minute)
	for i := range randomKeys {
		w.live(random).submit(fmt.Sprintf("key-%d", i), false)
	}
	w.check(fmt.Sprintf("seed %d", seed))
	seen.add(w, true)
	w.stop()
}

// live returns a random process that is not dead.
func (w *world) live(random *rand.Rand) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		if n := w.members[random.IntN(len(w.members))]; !n.dead {
			return n
		}
	}
}

func (w *world) strikeRandom(random *rand.Rand) {
	n, other := w.live(random), w.live(random)
	switch random.IntN(9) {
	case 0:
		w.kill(n)
		w.start(n.address)
	case 1:
		w.pause(n, time.Duration(random.IntN(8000))*time.Millisecond)
	case 2:
		w.pause(n, 10*time.Minute)
	case 3:
		w.cutPeers(n, other, cut(1+random.IntN(2)))
	case 4:
		w.cutPlatform(n, cut(1+random.IntN(2)))
	case 5:
		w.set(func(w *world) { w.storeDown = !w.storeDown })
	case 6:
		w.set(func(w *world) { w.loseAnswers += 2 })
	case 7:
		w.set(func(w *world) { w.delayWrites += 2 })
	default:
		faults := []endpointFault{endpointSilent, endpointLate, endpointRefuses, endpointDeclines}
		w.set(func(w *world) { w.endpoint = faults[random.IntN(len(faults))] })
	}
}
