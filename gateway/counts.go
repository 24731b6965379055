package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counts are the metrics of the request path. It is safe for concurrent use.
type counts struct {
	set         *metrics.Set
	hedges      *metrics.Counter
	queued      *metrics.Counter
	alone       *metrics.Counter
	lostReports *metrics.Counter
	counters    sync.Map // of *metrics.Counter, by counterKey
	histograms  sync.Map // of *metrics.Histogram, by histogramKey
}

// counterKey names a counter: a format and the label values that it takes.
type counterKey struct {
	format string
	labels [maxLabels]string
}

const maxLabels = 4

type histogramKey struct{ name, service string }

// The formats of the names of counters.
const (
	requestsFormat = `carawayhold_requests_total{kind=%q,route=%q,outcome=%q,reason=%q}`
	attemptsFormat = `carawayhold_attempts_total{service=%q,repeat=%q,outcome=%q}`
	storeFormat    = `carawayhold_store_calls_total{call=%q,kind=%q,result=%q}`
	repeatsFormat  = `carawayhold_repeats_refused_total{service=%q}`
)

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set:         set,
		hedges:      set.NewCounter("carawayhold_hedges_total"),
		queued:      set.NewCounter("carawayhold_queued_total"),
		alone:       set.NewCounter("carawayhold_placed_alone_total"),
		lostReports: set.NewCounter("carawayhold_reports_lost_total"),
	}
}

// counter returns the counter with these labels, whose name is built once.
func (c *counts) counter(format string, labels ...string) *metrics.Counter {
	k := counterKey{format: format}
	copy(k.labels[:], labels)
	if held, found := c.counters.Load(k); found {
		return held.(*metrics.Counter)
	}
	values := make([]any, len(labels))
	for i, l := range labels {
		values[i] = l
	}
	made := c.set.GetOrCreateCounter(fmt.Sprintf(format, values...))
	c.counters.Store(k, made)
	return made
}

// observe adds the seconds since a time to a histogram of a service.
func (c *counts) observe(name, service string, since time.Time) {
	k := histogramKey{name: name, service: service}
	held, found := c.histograms.Load(k)
	if !found {
		held = c.set.GetOrCreateHistogram(fmt.Sprintf(`%s{service=%q}`, name, service))
		c.histograms.Store(k, held)
	}
	held.(*metrics.Histogram).UpdateDuration(since)
}

// request counts the end of a request and its whole time.
func (c *counts) request(r *Route, service, outcome, reason string, arrival time.Time) {
	kind, name := "none", "none"
	if r != nil {
		kind, name = r.kind(), r.Name
	}
	c.counter(requestsFormat, kind, name, outcome, reason).Inc()
	if service != "" {
		c.observe("carawayhold_request_seconds", service, arrival)
	}
}

// placed takes the time in which a request obtained an endpoint or a refusal.
func (c *counts) placed(service string, asked time.Time) {
	c.observe("carawayhold_queue_seconds", service, asked)
}

// attempt counts the end of an attempt and its time at the endpoint.
func (c *counts) attempt(service string, r repeat, outcome string, started time.Time) {
	c.counter(attemptsFormat, service, string(r), outcome).Inc()
	c.observe("carawayhold_endpoint_seconds", service, started)
}

// repeatRefused counts a repeat that the retry budget did not allow.
func (c *counts) repeatRefused(service string) {
	c.counter(repeatsFormat, service).Inc()
}

// storeCall counts a call to the store.
func (c *counts) storeCall(call string, kind Kind, result string) {
	c.counter(storeFormat, call, kind.String(), result).Inc()
}

// serveService registers the figures of a service, which are read when they are asked
// for.
func (c *counts) serveService(service string, figures func() serviceFigures) {
	for name, value := range map[string]func(serviceFigures) float64{
		"endpoints":         func(f serviceFigures) float64 { return float64(f.Endpoints) },
		"endpoints_leaving": func(f serviceFigures) float64 { return float64(f.Draining) },
		"endpoints_suspect": func(f serviceFigures) float64 { return float64(f.Suspected) },
		"slots":             func(f serviceFigures) float64 { return float64(f.Slots) },
		"in_flight":         func(f serviceFigures) float64 { return float64(f.InFlight) },
		"waiting":           func(f serviceFigures) float64 { return float64(f.Waiting) },
		"repeats_left":      func(f serviceFigures) float64 { return f.repeatsLeft },
		"placed_here":       func(f serviceFigures) float64 { return f.placedHere },
	} {
		c.set.NewGauge(fmt.Sprintf(`carawayhold_service_%s{service=%q}`, name, service),
			func() float64 { return value(figures()) })
	}
}
