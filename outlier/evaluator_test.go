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

// feed is a small fleet that reports to one evaluator: 48 proxies in 3 zones, 6
// endpoints, 5 requests per second and endpoint, one failure in 200.
type feed struct {
	evaluator *Evaluator
	reporters int
	rng       *rand.Rand
	now       time.Time
	sequence  uint64
	// fails returns the kind of one request, OK to leave it to chance.
	fails func(since time.Duration, reporter, endpoint int) Kind
	// generation returns the generation of an endpoint.
	generation func(since time.Duration, endpoint int) int64
}

func newFeed(w config.Weighting, fails func(time.Duration, int, int) Kind) *feed {
	return &feed{
		evaluator: NewEvaluator(w), reporters: testReporters, rng: rand.New(rand.NewPCG(testSeed, 0)), now: testEpoch, fails: fails,
		generation: func(time.Duration, int) int64 { return 1 },
	}
}

// run reports for the given time and returns who was suspected, and when first.
func (f *feed) run(length time.Duration) map[string]time.Duration {
	suspected := make(map[string]time.Duration)
	for since := time.Duration(0); since < length; since += ReportInterval {
		f.sequence++
		f.now = testEpoch.Add(since)
		reports := f.reports(since)
		for _, r := range reports {
			f.evaluator.Add(r, f.now)
			f.evaluator.Add(r, f.now) // a second delivery must not count
		}
		for _, s := range f.evaluator.Suspects(f.now) {
			if _, ok := suspected[s.Endpoint]; !ok {
				suspected[s.Endpoint] = since
			}
		}
	}
	return suspected
}

func (f *feed) reports(since time.Duration) []Report {
	reports := make([]Report, f.reporters)
	for i := range reports {
		reports[i] = Report{
			Reporter: fmt.Sprintf("p%02d", i), Zone: fmt.Sprintf("z%d", i%3), Service: "depot", Sequence: f.sequence,
		}
	}
	for e := range testEndpoints {
		for range 2 + f.rng.IntN(2) {
			r := f.rng.IntN(f.reporters)
			k := f.fails(since, r, e)
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

func (f *feed) chance(p float64, k Kind) Kind {
	if f.rng.Float64() < p {
		return k
	}
	return KindOK
}

// TestEvaluator guards against gray failures that go unnoticed, and against
// trouble of a path, of the whole service or of a moment that is held against
// an endpoint. Endpoint 0 is affected after 2 minutes.
func TestEvaluator(t *testing.T) {
	t.Logf("seed %d", testSeed)
	const onset = 2 * time.Minute
	cases := []struct {
		name  string
		fails func(f *feed, since time.Duration, reporter, endpoint int) Kind
		found bool
	}{
		{"healthy", func(*feed, time.Duration, int, int) Kind { return KindOK }, false},
		{"errors, all", func(_ *feed, _ time.Duration, _, _ int) Kind { return KindError }, true},
		{"errors, 20%", func(f *feed, _ time.Duration, _, _ int) Kind { return f.chance(0.2, KindError) }, true},
		{"wrong, 5%", func(f *feed, _ time.Duration, _, _ int) Kind { return f.chance(0.05, KindInvalid) }, true},
		{"slow, 60%", func(f *feed, _ time.Duration, _, _ int) Kind { return f.chance(0.6, KindSlow) }, true},
		{"silent, 50%", func(f *feed, _ time.Duration, _, _ int) Kind { return f.chance(0.5, KindUnresponsive) }, true},
		{"refused, all", func(*feed, time.Duration, int, int) Kind { return KindRefused }, true},
		{"shed, all", func(*feed, time.Duration, int, int) Kind { return KindShed }, false},
		{"shed, half", func(f *feed, _ time.Duration, _, _ int) Kind { return f.chance(0.5, KindShed) }, false},
		{"errors, all that are not shed", func(f *feed, _ time.Duration, _, _ int) Kind {
			return max(KindError, f.chance(0.95, KindShed))
		}, true},
		{"timeouts at one reporter", onlyAt(func(r int) bool { return r == 4 }), false},
		{"timeouts in one zone", onlyAt(func(r int) bool { return r%3 == 1 }), false},
		{"timeouts at five reporters in two zones", onlyAt(func(r int) bool { return r < 8 && r%3 != 0 }), false},
		{"timeouts in two zones", onlyAt(func(r int) bool { return r%3 != 1 }), true},
		{"interruption of 3 s", func(_ *feed, since time.Duration, _, _ int) Kind {
			if since < onset+3*time.Second {
				return KindError
			}
			return KindOK
		}, false},
	}
	for _, w := range []config.Weighting{config.WeightingBalanced, config.WeightingFalseEjections} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s/%s", w, c.name), func(t *testing.T) {
				var f *feed
				f = newFeed(w, func(since time.Duration, reporter, endpoint int) Kind {
					if since < onset || endpoint != 0 {
						return KindOK
					}
					return c.fails(f, since, reporter, endpoint)
				})
				suspected := f.run(onset + time.Minute)
				require.NotContains(t, suspected, "e1")
				if !c.found {
					require.Empty(t, suspected)
					return
				}
				require.Contains(t, suspected, "e0")
				require.Greater(t, suspected["e0"], onset)
				require.Less(t, suspected["e0"], onset+45*time.Second, "healthy time must not delay detection")
			})
		}
	}
}

func onlyAt(cut func(reporter int) bool) func(*feed, time.Duration, int, int) Kind {
	return func(_ *feed, _ time.Duration, reporter, _ int) Kind {
		if cut(reporter) {
			return KindTimeout
		}
		return KindOK
	}
}

// TestSmallFleet guards against a cap per reporter that a fleet of two or three
// proxies could never reach together, or that one of them reaches alone.
func TestSmallFleet(t *testing.T) {
	for _, reporters := range []int{2, 3} {
		for _, cut := range []int{1, reporters} {
			f := newFeed(config.WeightingBalanced, func(_ time.Duration, reporter, endpoint int) Kind {
				if endpoint == 0 && reporter < cut {
					return KindRefused
				}
				return KindOK
			})
			f.reporters = reporters
			require.Equal(t, cut > 1, len(f.run(time.Minute)) > 0, "%d of %d", cut, reporters)
		}
	}
}

// TestOverload guards against ejections while all endpoints fail alike, at once
// or rising, which would take capacity from a service that lacks it.
func TestOverload(t *testing.T) {
	for _, rise := range []time.Duration{0, 5 * time.Second} {
		var f *feed
		f = newFeed(config.WeightingDetection, func(since time.Duration, _, endpoint int) Kind {
			level := 0.2 + 0.05*float64(endpoint)
			if since < 30*time.Second+rise {
				level *= max(0, (since-30*time.Second).Seconds()/max(1, rise.Seconds()))
			}
			return f.chance(level, KindError)
		})
		require.Empty(t, f.run(2*time.Minute), "rise %v", rise)
	}
}

// TestGenerations guards against slowness of a cold start that is held against
// the endpoint, slowness after it that is not, and counts of an old process.
func TestGenerations(t *testing.T) {
	for slowFor, found := range map[time.Duration]bool{9 * time.Second: false, 40 * time.Second: true} {
		f := newFeed(config.WeightingBalanced, func(since time.Duration, _, endpoint int) Kind {
			if endpoint == 0 && since >= 30*time.Second && since < 30*time.Second+slowFor {
				return KindSlow
			}
			return KindOK
		})
		f.generation = func(since time.Duration, _ int) int64 { return 1 + int64(since/(30*time.Second)) }
		require.Equal(t, found, len(f.run(time.Minute-ReportInterval)) > 0, "slow for %v", slowFor)
	}

	f := newFeed(config.WeightingBalanced, func(time.Duration, int, int) Kind { return KindOK })
	f.run(30 * time.Second)
	f.evaluator.Add(Report{Reporter: "new", Sequence: 1, Counts: []Counts{{Endpoint: "e0", Generation: 2, Kinds: []uint32{1}}}}, f.now)
	old := Report{Reporter: "old", Sequence: 1, Counts: []Counts{{Endpoint: "e0", Generation: 1, Kinds: []uint32{0, 50}}}}
	f.evaluator.Add(old, f.now)
	evidence, _, _ := f.evaluator.Evidence("e0", f.now)
	require.Zero(t, evidence)
}

// TestReturn guards against a return without enough consecutive trials from two
// zones, and against evidence that survives an ejection or a return.
func TestReturn(t *testing.T) {
	f := newFeed(config.WeightingBalanced, func(_ time.Duration, _, endpoint int) Kind {
		if endpoint == 0 {
			return KindError
		}
		return KindOK
	})
	require.Contains(t, f.run(30*time.Second), "e0")
	f.evaluator.SetEjected([]string{"e0"})
	require.Empty(t, f.evaluator.Suspects(f.now))

	trials := func(reporter int, ok, failed uint32) {
		f.sequence++
		f.evaluator.Add(Report{
			Reporter: fmt.Sprintf("p%02d", reporter), Zone: fmt.Sprintf("z%d", reporter%3), Sequence: f.sequence,
			Counts: []Counts{{Endpoint: "e0", Generation: 1, ProbesSucceeded: ok, ProbesFailed: failed}},
		}, f.now)
	}
	trials(0, trialsBase, 0)
	require.False(t, f.evaluator.Returnable("e0", 0), "one zone")
	trials(1, 1, 1)
	trials(0, trialsBase-1, 0)
	trials(1, 0, 0)
	require.False(t, f.evaluator.Returnable("e0", 0), "a failed trial starts the count anew")
	trials(1, 1, 0)
	require.True(t, f.evaluator.Returnable("e0", 0))
	require.False(t, f.evaluator.Returnable("e0", 1), "the second return needs more")
	f.evaluator.SetEjected(nil)
	require.False(t, f.evaluator.Returnable("e0", 0))
	for earlier, want := range []int{trialsBase, 2 * trialsBase, 4 * trialsBase, 8 * trialsBase, trialsLimit, trialsLimit} {
		require.Equal(t, want, RequiredProbes(earlier))
	}
}

// TestProbeDue guards against probes that come from one zone only, from several
// proxies at once, or from none.
func TestProbeDue(t *testing.T) {
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
