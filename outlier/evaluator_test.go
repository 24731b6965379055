package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
)

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	testReporters = 48
	testEndpoints = 6
	testSeed      = 11
)

// simFleet simulates a fleet that reports to one evaluator: 48 proxies in 3 zones,
// 6 endpoints, 5 requests per second and endpoint, 1 random failure in 200.
type simFleet struct {
	evaluator *Evaluator
	reporters int
	rng       *rand.Rand
	now       time.Time
	sequence  uint64
	// outcome returns the kind of one request; KindOK still fails at random.
	outcome func(since time.Duration, reporter, endpoint int) Kind
	// generation returns the generation of an endpoint.
	generation func(since time.Duration, endpoint int) int64
}

func newSimFleet(w config.Weighting, outcome func(time.Duration, int, int) Kind) *simFleet {
	return &simFleet{
		evaluator: NewEvaluator(w), reporters: testReporters, rng: rand.New(rand.NewPCG(testSeed, 0)), now: testEpoch, outcome: outcome,
		generation: func(time.Duration, int) int64 { return 1 },
	}
}

// run simulates reports for the given time and returns when each suspected
// endpoint was first suspected.
func (f *simFleet) run(length time.Duration) map[string]time.Duration {
	suspected := make(map[string]time.Duration)
	for since := time.Duration(0); since < length; since += ReportInterval {
		f.sequence++
		f.now = testEpoch.Add(since)
		reports := f.reports(since)
		for _, r := range reports {
			f.evaluator.Add(r, f.now)
			f.evaluator.Add(r, f.now) // duplicate delivery, which must be ignored
		}
		for _, s := range f.evaluator.Suspects(f.now) {
			if _, ok := suspected[s.Endpoint]; !ok {
				suspected[s.Endpoint] = since
			}
		}
	}
	return suspected
}

func (f *simFleet) reports(since time.Duration) []Report {
	reports := make([]Report, f.reporters)
	for i := range reports {
		reports[i] = Report{
			Reporter: fmt.Sprintf("p%02d", i), Zone: fmt.Sprintf("z%d", i%3), Service: "depot", Sequence: f.sequence,
		}
	}
	for e := range testEndpoints {
		for range 2 + f.rng.IntN(2) {
			r := f.rng.IntN(f.reporters)
			k := f.outcome(since, r, e)
			if k == KindOK && f.rng.IntN(200) == 0 {
				k = KindError
			}
			c := Counts{Endpoint: fmt.Sprintf("e%d", e), Generation: f.generation(since, e), Kinds: make([]uint32, kindCount)}
			c.Kinds[k]++
			reports[r].Counts = append(reports[r].Counts, c)
		}
	}
	return reports
}

func (f *simFleet) chance(p float64, k Kind) Kind {
	if f.rng.Float64() < p {
		return k
	}
	return KindOK
}

// TestEvaluatorDetectsGrayFailures guards against undetected gray failures, and
// against suspicions caused by a network path or a short interruption. Endpoint 0
// is affected after 2 minutes.
func TestEvaluatorDetectsGrayFailures(t *testing.T) {
	t.Logf("seed %d", testSeed)
	const onset = 2 * time.Minute
	cases := []struct {
		name    string
		outcome func(f *simFleet, since time.Duration, reporter, endpoint int) Kind
		found   bool
	}{
		{"healthy", func(*simFleet, time.Duration, int, int) Kind { return KindOK }, false},
		{"errors, all", func(_ *simFleet, _ time.Duration, _, _ int) Kind { return KindError }, true},
		{"errors, 20%", func(f *simFleet, _ time.Duration, _, _ int) Kind { return f.chance(0.2, KindError) }, true},
		{"invalid, 5%", func(f *simFleet, _ time.Duration, _, _ int) Kind { return f.chance(0.05, KindInvalid) }, true},
		{"slow, 60%", func(f *simFleet, _ time.Duration, _, _ int) Kind { return f.chance(0.6, KindSlow) }, true},
		{"unresponsive, 50%", func(f *simFleet, _ time.Duration, _, _ int) Kind { return f.chance(0.5, KindUnresponsive) }, true},
		{"refused, all", func(*simFleet, time.Duration, int, int) Kind { return KindRefused }, true},
		{"shed, all", func(*simFleet, time.Duration, int, int) Kind { return KindShed }, false},
		{"shed, half", func(f *simFleet, _ time.Duration, _, _ int) Kind { return f.chance(0.5, KindShed) }, false},
		{"errors, all that are not shed", func(f *simFleet, _ time.Duration, _, _ int) Kind {
			return max(KindError, f.chance(0.95, KindShed))
		}, true},
		{"timeouts at one reporter", onlyAt(func(r int) bool { return r == 4 }), false},
		{"timeouts in one zone", onlyAt(func(r int) bool { return r%3 == 1 }), false},
		{"timeouts at five reporters in two zones", onlyAt(func(r int) bool { return r < 8 && r%3 != 0 }), false},
		{"timeouts in two zones", onlyAt(func(r int) bool { return r%3 != 1 }), true},
		{"interruption of 3 s", func(_ *simFleet, since time.Duration, _, _ int) Kind {
			if since < onset+3*time.Second {
				return KindError
			}
			return KindOK
		}, false},
	}
	for _, w := range []config.Weighting{config.WeightingBalanced, config.WeightingFalseEjections} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s/%s", w, c.name), func(t *testing.T) {
				var f *simFleet
				f = newSimFleet(w, func(since time.Duration, reporter, endpoint int) Kind {
					if since < onset || endpoint != 0 {
						return KindOK
					}
					return c.outcome(f, since, reporter, endpoint)
				})
				suspected := f.run(onset + time.Minute)
				require.NotContains(t, suspected, "e1")
				if !c.found {
					require.Empty(t, suspected)
					return
				}
				require.Contains(t, suspected, "e0")
				require.Greater(t, suspected["e0"], onset)
				require.Less(t, suspected["e0"], onset+45*time.Second, "an earlier healthy period must not delay detection")
			})
		}
	}
}

func onlyAt(affected func(reporter int) bool) func(*simFleet, time.Duration, int, int) Kind {
	return func(_ *simFleet, _ time.Duration, reporter, _ int) Kind {
		if affected(reporter) {
			return KindTimeout
		}
		return KindOK
	}
}

// TestSmallFleetNeedsTwoReporters guards against a cap per reporter with which
// two or three proxies together never reach the threshold, or one reaches it alone.
func TestSmallFleetNeedsTwoReporters(t *testing.T) {
	for _, reporters := range []int{2, 3} {
		for _, affected := range []int{1, reporters} {
			f := newSimFleet(config.WeightingBalanced, func(_ time.Duration, reporter, endpoint int) Kind {
				if endpoint == 0 && reporter < affected {
					return KindRefused
				}
				return KindOK
			})
			f.reporters = reporters
			require.Equal(t, affected > 1, len(f.run(time.Minute)) > 0, "%d of %d", affected, reporters)
		}
	}
}

// TestNoSuspectsWhileAllEndpointsFail guards against ejections while all endpoints
// fail, suddenly or gradually, which would remove capacity from an overloaded service.
func TestNoSuspectsWhileAllEndpointsFail(t *testing.T) {
	for _, rise := range []time.Duration{0, 5 * time.Second} {
		var f *simFleet
		f = newSimFleet(config.WeightingDetection, func(since time.Duration, _, endpoint int) Kind {
			level := 0.2 + 0.05*float64(endpoint)
			if since < 30*time.Second+rise {
				level *= max(0, (since-30*time.Second).Seconds()/max(1, rise.Seconds()))
			}
			return f.chance(level, KindError)
		})
		require.Empty(t, f.run(2*time.Minute), "rise %v", rise)
	}
}

// TestWarmUpAndOldGenerations guards against suspicions caused by slow responses
// during warm-up, slow responses after it that are ignored, and counts of an
// earlier process of the endpoint.
func TestWarmUpAndOldGenerations(t *testing.T) {
	for slowFor, found := range map[time.Duration]bool{9 * time.Second: false, 40 * time.Second: true} {
		f := newSimFleet(config.WeightingBalanced, func(since time.Duration, _, endpoint int) Kind {
			if endpoint == 0 && since >= 30*time.Second && since < 30*time.Second+slowFor {
				return KindSlow
			}
			return KindOK
		})
		f.generation = func(since time.Duration, _ int) int64 { return 1 + int64(since/(30*time.Second)) }
		require.Equal(t, found, len(f.run(time.Minute-ReportInterval)) > 0, "slow for %v", slowFor)
	}

	f := newSimFleet(config.WeightingBalanced, func(time.Duration, int, int) Kind { return KindOK })
	f.run(30 * time.Second)
	f.evaluator.Add(Report{Reporter: "new", Sequence: 1, Counts: []Counts{{Endpoint: "e0", Generation: 2, Kinds: []uint32{1}}}}, f.now)
	old := Report{Reporter: "old", Sequence: 1, Counts: []Counts{{Endpoint: "e0", Generation: 1, Kinds: []uint32{0, 50}}}}
	f.evaluator.Add(old, f.now)
	evidence, _, _ := f.evaluator.Evidence("e0", f.now)
	require.Zero(t, evidence)
}

// TestReturnNeedsProbesFromTwoZones guards against a return without enough
// consecutive successful probes from two zones, and against evidence that
// survives an ejection or a return.
func TestReturnNeedsProbesFromTwoZones(t *testing.T) {
	f := newSimFleet(config.WeightingBalanced, func(_ time.Duration, _, endpoint int) Kind {
		if endpoint == 0 {
			return KindError
		}
		return KindOK
	})
	require.Contains(t, f.run(30*time.Second), "e0")
	f.evaluator.SetEjected([]string{"e0"})
	require.Empty(t, f.evaluator.Suspects(f.now))

	sendProbes := func(reporter int, ok, failed uint32) {
		f.sequence++
		f.evaluator.Add(Report{
			Reporter: fmt.Sprintf("p%02d", reporter), Zone: fmt.Sprintf("z%d", reporter%3), Sequence: f.sequence,
			Counts: []Counts{{Endpoint: "e0", Generation: 1, ProbesSucceeded: ok, ProbesFailed: failed}},
		}, f.now)
	}
	sendProbes(0, baseRequiredProbes, 0)
	require.False(t, f.evaluator.Returnable("e0", 0), "one zone")
	sendProbes(1, 1, 1)
	sendProbes(0, baseRequiredProbes-1, 0)
	sendProbes(1, 0, 0)
	require.False(t, f.evaluator.Returnable("e0", 0), "a failed probe resets the count")
	sendProbes(1, 1, 0)
	require.True(t, f.evaluator.Returnable("e0", 0))
	require.False(t, f.evaluator.Returnable("e0", 1), "the second return requires more probes")
	f.evaluator.SetEjected(nil)
	require.False(t, f.evaluator.Returnable("e0", 0))
	for earlier, want := range []int{baseRequiredProbes, 2 * baseRequiredProbes, 4 * baseRequiredProbes, 8 * baseRequiredProbes, maxRequiredProbes, maxRequiredProbes} {
		require.Equal(t, want, RequiredProbes(earlier))
	}
}

// TestProbesAlternateBetweenZones guards against probes that come from only one
// zone, from several proxies in the same interval, or from none.
func TestProbesAlternateBetweenZones(t *testing.T) {
	var probers []Prober
	for i := range testReporters {
		probers = append(probers, Prober{Name: fmt.Sprintf("p%02d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	seen := make(map[string]bool)
	previous := ""
	for turn := range 5 * testReporters {
		now := testEpoch.Add(time.Duration(turn) * ProbeInterval)
		chosen := ""
		for _, p := range probers {
			if ProbeDue(p.Name, probers, "depot", "e0", now) {
				require.Empty(t, chosen)
				chosen = p.Zone
				seen[p.Name] = true
			}
		}
		require.NotEmpty(t, chosen)
		require.NotEqual(t, previous, chosen, "successive probes must come from different zones")
		previous = chosen
	}
	require.Greater(t, len(seen), testReporters/2)
	require.False(t, ProbeDue("p00", nil, "depot", "e0", testEpoch))
}
