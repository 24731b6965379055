package overload

import (
	"maps"
	"slices"
	"time"
)

// waitSteps are the upper ends of the histogram of waits.
var waitSteps = []time.Duration{
	time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond,
}

// Result counts what became of the requests of one or several runs.
type Result struct {
	kinds     map[string]*kindResult
	causes    map[string]int
	bySecond  map[int]int // unserved
	waits     []int
	refusals  []time.Duration
	possible  float64 // worth of all requests
	earned    float64
	requests  int
	servedAll int
}

// kindResult counts the requests of a kind.
type kindResult struct {
	requests, onTime, late int
}

func newResult(s *Scenario) *Result {
	r := &Result{kinds: map[string]*kindResult{}, causes: map[string]int{}, bySecond: map[int]int{}, waits: make([]int, len(waitSteps)+1)}
	for _, k := range s.kinds {
		r.kinds[k.name] = &kindResult{}
	}
	return r
}

func (r *Result) arrived(k kind) {
	r.requests++
	r.possible += k.worth
	r.kinds[k.name].requests++
}

func (r *Result) served(k kind, after time.Duration) {
	r.servedAll++
	if after <= k.aim {
		r.kinds[k.name].onTime++
		r.earned += k.worth
		return
	}
	r.kinds[k.name].late++
	r.earned += k.lateWorth
}

func (r *Result) unserved(k kind, cause string, at time.Duration) {
	r.causes[k.name+" "+cause]++
	r.bySecond[int(at/time.Second)]++
}

func (r *Result) waited(d time.Duration) {
	step, _ := slices.BinarySearch(waitSteps, d)
	r.waits[step]++
}

func (r *Result) refusedAfter(d time.Duration) { r.refusals = append(r.refusals, d) }

// Add adds the counts of another run of the same scenario.
func (r *Result) Add(other *Result) {
	for name, k := range other.kinds {
		sum := r.kinds[name]
		sum.requests += k.requests
		sum.onTime += k.onTime
		sum.late += k.late
	}
	for cause, count := range other.causes {
		r.causes[cause] += count
	}
	for second, count := range other.bySecond {
		r.bySecond[second] += count
	}
	for i, count := range other.waits {
		r.waits[i] += count
	}
	r.refusals = append(r.refusals, other.refusals...)
	r.possible += other.possible
	r.earned += other.earned
	r.requests += other.requests
	r.servedAll += other.servedAll
}

// Worth returns the worth earned as a share of that of all requests.
func (r *Result) Worth() float64 { return r.earned / r.possible }

// Served returns the share of the requests that were served, on time or late.
func (r *Result) Served() float64 { return float64(r.servedAll) / float64(r.requests) }

// KindServed returns the share of the requests of a kind that were served on time, and late.
func (r *Result) KindServed(name string) (onTime, late float64) {
	k := r.kinds[name]
	return float64(k.onTime) / float64(max(1, k.requests)), float64(k.late) / float64(max(1, k.requests))
}

// Kinds returns the names of the kinds.
func (r *Result) Kinds() []string { return slices.Sorted(maps.Keys(r.kinds)) }

// Causes returns the share of all requests that was not served, by cause.
func (r *Result) Causes() map[string]float64 {
	shares := map[string]float64{}
	for cause, count := range r.causes {
		shares[cause] = float64(count) / float64(r.requests)
	}
	return shares
}

// Unserved returns the number of requests that were not served, by the second in which that was
// decided.
func (r *Result) Unserved() map[int]int { return r.bySecond }

// WaitStep is a step of the histogram of the times that requests waited for an endpoint.
type WaitStep struct {
	upTo  time.Duration // 0 for the last one, which has no end
	share float64       // of the requests that got an endpoint
}

// UpTo returns the end of the step, or 0 if it has none.
func (w WaitStep) UpTo() time.Duration { return w.upTo }

// Share returns the share of the requests that waited so long.
func (w WaitStep) Share() float64 { return w.share }

// Waits returns the histogram of the times that requests waited for their first endpoint.
func (r *Result) Waits() []WaitStep {
	total := 0
	for _, count := range r.waits {
		total += count
	}
	steps := make([]WaitStep, len(r.waits))
	for i, count := range r.waits {
		steps[i].share = float64(count) / float64(max(1, total))
		if i < len(waitSteps) {
			steps[i].upTo = waitSteps[i]
		}
	}
	return steps
}

// RefusalTime returns the time after which a share of the refusals of requests that got no
// endpoint were sent, or 0 without refusals.
func (r *Result) RefusalTime(share float64) time.Duration {
	if len(r.refusals) == 0 {
		return 0
	}
	slices.Sort(r.refusals)
	return r.refusals[min(len(r.refusals)-1, int(share*float64(len(r.refusals))))]
}
