package detection

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// cell accumulates the runs of one mode in one group.
type cell struct {
	detection []time.Duration
	exposure  []float64
	removed   float64
	hours     float64
	missed    int
}

func (c *cell) add(o outcome) {
	c.detection = append(c.detection, o.detection...)
	for _, d := range o.detection {
		if d >= grayDuration {
			c.missed++
		}
	}
	if len(o.detection) > 0 {
		c.exposure = append(c.exposure, o.exposure)
	}
	c.removed += o.falseEjections
	c.hours += o.healthyHours
}

// quantile returns a quantile of the detection times in seconds, NaN if there
// are none.
func (c *cell) quantile(q float64) float64 {
	if len(c.detection) == 0 {
		return math.NaN()
	}
	slices.Sort(c.detection)
	return c.detection[min(len(c.detection)-1, int(q*float64(len(c.detection))))].Seconds()
}

func (c *cell) meanExposure() float64 {
	total := 0.0
	for _, e := range c.exposure {
		total += e
	}
	return total / float64(len(c.exposure))
}

func (c *cell) falseRate() float64 { return c.removed / c.hours }

func (c *cell) missedShare() float64 { return float64(c.missed) / float64(len(c.detection)) }

// Result holds the results of a measurement.
type Result struct {
	cells map[cellKey]*cell
}

// cellKey identifies a group of runs of one mode. Groups are scenarios,
// services, users, and all runs.
type cellKey struct {
	mode  string
	group string
}

const groupAll = "all"

type job struct {
	service  service
	scenario scenario
	mode     mode
	seed     uint64
}

// Measure runs every scenario for every service and mode, the given number of
// times each, in parallel workers. The runs with the same index see the same
// requests and failures in all modes until the decisions of the modes differ.
// It panics if a run violates an invariant.
func Measure(seed uint64, runs, workers int) *Result {
	jobs := make(chan job)
	r := &Result{cells: make(map[cellKey]*cell)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for j := range jobs {
				o := j.run()
				mu.Lock()
				r.add(j, o)
				mu.Unlock()
			}
		})
	}
	for _, s := range services {
		for _, sc := range scenarios {
			for i := range runs {
				runSeed := xxh3.HashStringSeed(s.name+"/"+sc.name, seed+uint64(i))
				for _, m := range modes {
					jobs <- job{service: s, scenario: sc, mode: m, seed: runSeed}
				}
			}
		}
	}
	close(jobs)
	wg.Wait()
	return r
}

func (j job) run() outcome {
	if j.mode.baseline {
		return newRun(j.service, j.scenario, newBaseline(j.service), j.seed).measure()
	}
	f := newFleet(j.service, j.mode.weighting, j.seed)
	o := newRun(j.service, j.scenario, f, j.seed).measure()
	if f.firstError != nil {
		panic(f.firstError)
	}
	return o
}

func (r *Result) add(j job, o outcome) {
	for _, group := range []string{groupAll, j.scenario.name, j.service.name, "user " + j.service.user} {
		key := cellKey{mode: j.mode.name, group: group}
		if r.cells[key] == nil {
			r.cells[key] = &cell{}
		}
		r.cells[key].add(o)
	}
}

func (r *Result) cell(m mode, group string) *cell {
	return r.cells[cellKey{mode: m.name, group: group}]
}
