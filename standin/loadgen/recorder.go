package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carawayhold/carawayhold/standin/loadplan"
)

const (
	histogramMin    = 1          // microseconds
	histogramMax    = 60_000_000 // microseconds
	histogramDigits = 3
)

type flowRecord struct {
	flow      loadplan.Flow
	first     map[result]int
	final     map[result]int
	keys      map[string]result
	broken    map[string]int          // attempts without a complete response, by target
	latency   *hdrhistogram.Histogram // of complete first responses, in microseconds
	perSecond []map[result]int        // first responses by second of arrival
	overflow  int                     // requests not sent because maxOutstanding was reached
}

// recorder counts the results of all requests. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	flows   []*flowRecord
}

func newRecorder(flows []loadplan.Flow, started time.Time) *recorder {
	rec := &recorder{started: started}
	for _, f := range flows {
		rec.flows = append(rec.flows, &flowRecord{
			flow: f, first: map[result]int{}, final: map[result]int{}, keys: map[string]result{},
			broken:  map[string]int{},
			latency: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		})
	}
	return rec
}

// recordFirst records the result of the first attempt of a request.
func (r *recorder) recordFirst(index int, a attempt, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[index]
	f.first[a.result]++
	if a.result == resultWhole {
		// Latencies above the range of the histogram are recorded as its maximum.
		_ = f.latency.RecordValue(min(latency.Microseconds(), histogramMax))
	}
	second := int(time.Since(r.started).Seconds())
	for len(f.perSecond) <= second {
		f.perSecond = append(f.perSecond, map[result]int{})
	}
	f.perSecond[second][a.result]++
}

// recordAttempt counts attempts that ended without a complete response. The target is
// empty if no proxy was ready.
func (r *recorder) recordAttempt(index int, a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.result == resultBroken {
		r.flows[index].broken[a.target]++
	}
}

// recordFinal records the result of the last attempt of a request.
func (r *recorder) recordFinal(index int, key string, last result, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[index]
	f.final[last]++
	if key != "" {
		f.keys[key] = last
	}
}

func (r *recorder) recordOverflow(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows[index].overflow++
}

// flowResult is the entry of one flow in results.json.
type flowResult struct {
	Name      string            `json:"name"`
	Sent      int               `json:"sent"`
	Overflow  int               `json:"overflow"`
	First     map[result]int    `json:"first"`
	Final     map[result]int    `json:"final"`
	P50Micros int64             `json:"p50Micros"`
	P99Micros int64             `json:"p99Micros"`
	MaxMicros int64             `json:"maxMicros"`
	Keys      map[string]result `json:"keys,omitempty"`
	Broken    map[string]int    `json:"broken"`
	PerSecond []map[result]int  `json:"perSecond"`
	Curve     []curvePoint      `json:"curve"`
}

type curvePoint struct {
	Percentile float64 `json:"percentile"`
	Micros     int64   `json:"micros"`
}

type runResults struct {
	Flows []flowResult `json:"flows"`
}

var curvePercentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100}

func (r *recorder) results() runResults {
	r.mu.Lock()
	defer r.mu.Unlock()
	var results runResults
	for _, f := range r.flows {
		one := flowResult{
			Name: f.flow.Name, Overflow: f.overflow, First: f.first, Final: f.final, Keys: f.keys, Broken: f.broken,
			P50Micros: f.latency.ValueAtQuantile(50), P99Micros: f.latency.ValueAtQuantile(99),
			MaxMicros: f.latency.Max(), PerSecond: f.perSecond,
		}
		for _, n := range f.final {
			one.Sent += n
		}
		for _, p := range curvePercentiles {
			one.Curve = append(one.Curve, curvePoint{Percentile: p, Micros: f.latency.ValueAtQuantile(p)})
		}
		results.Flows = append(results.Flows, one)
	}
	return results
}

// table formats the results for the terminal.
func (r runResults) table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-26s %7s %9s %9s %9s  %s\n", "flow", "sent", "p50 ms", "p99 ms", "max ms", "final results")
	for _, f := range r.Flows {
		fmt.Fprintf(&b, "%-26s %7d %9.2f %9.2f %9.2f  %s\n", f.Name, f.Sent,
			millis(f.P50Micros), millis(f.P99Micros), millis(f.MaxMicros), formatCounts(f.Final))
	}
	return b.String()
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}

func formatCounts(counts map[result]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
