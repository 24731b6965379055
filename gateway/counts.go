package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// counts holds the metrics of the request path. It is safe for concurrent use.
type counts struct {
	set              *metrics.Set
	hedges           *metrics.Counter
	queued           *metrics.Counter
	placedWithoutHub *metrics.Counter
	lostReports      *metrics.Counter
	counters         sync.Map // of *metrics.Counter, by counterKey
	histograms       sync.Map // of *metrics.Histogram, by histogramKey
}

// counterKey identifies a counter by the format of its name and the label values.
type counterKey struct {
	format string
	labels [maxLabels]string
}

const maxLabels = 4

type histogramKey struct{ name, service string }

// Formats of the names of counters.
const (
	requestsFormat       = `carawayhold_requests_total{kind=%q,route=%q,outcome=%q,reason=%q}`
	attemptsFormat       = `carawayhold_attempts_total{service=%q,repeat=%q,outcome=%q}`
	storeFormat          = `carawayhold_store_calls_total{call=%q,kind=%q,result=%q}`
	retriesRefusedFormat = `carawayhold_repeats_refused_total{service=%q}`
	relayedFormat        = `carawayhold_relayed_connections_total{result=%q}`
	unsolicitedFormat    = `carawayhold_unsolicited_responses_total{kind=%q}`
	limitedFormat        = `carawayhold_attempts_limited_total{service=%q}`
	noticesFormat        = `carawayhold_endpoint_notices_total{service=%q,kind=%q}`
	violatedFormat       = `carawayhold_notice_violations_total{service=%q,kind=%q}`
	cutFormat            = `carawayhold_attempts_cut_total{service=%q}`
	outdatedFormat       = `carawayhold_outdated_requests_total{kind=%q}`
)

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set:              set,
		hedges:           set.NewCounter("carawayhold_hedges_total"),
		queued:           set.NewCounter("carawayhold_queued_total"),
		placedWithoutHub: set.NewCounter("carawayhold_placed_alone_total"),
		lostReports:      set.NewCounter("carawayhold_reports_lost_total"),
	}
}

// counter returns the counter with the label values. Counters are cached so that a name is
// formatted only once.
func (c *counts) counter(format string, labels ...string) *metrics.Counter {
	k := counterKey{format: format}
	copy(k.labels[:], labels)
	if cached, found := c.counters.Load(k); found {
		return cached.(*metrics.Counter)
	}
	values := make([]any, len(labels))
	for i, l := range labels {
		values[i] = l
	}
	created := c.set.GetOrCreateCounter(fmt.Sprintf(format, values...))
	c.counters.Store(k, created)
	return created
}

// observe adds the seconds since a time to the histogram of a service.
func (c *counts) observe(name, service string, since time.Time) {
	k := histogramKey{name: name, service: service}
	cached, found := c.histograms.Load(k)
	if !found {
		cached = c.set.GetOrCreateHistogram(fmt.Sprintf(`%s{service=%q}`, name, service))
		c.histograms.Store(k, cached)
	}
	cached.(*metrics.Histogram).UpdateDuration(since)
}

// request records the end of a request and its total duration.
func (c *counts) request(r *Route, service, outcome, reason string, arrival time.Time) {
	kind, name := "none", "none"
	if r != nil {
		kind, name = r.metricKind(), r.Name
	}
	c.counter(requestsFormat, kind, name, outcome, reason).Inc()
	if service != "" {
		c.observe("carawayhold_request_seconds", service, arrival)
	}
}

// placement records the time until a request got an endpoint or was refused.
func (c *counts) placement(service string, requestedAt time.Time) {
	c.observe("carawayhold_queue_seconds", service, requestedAt)
}

// attempt records the end of an attempt and its duration at the endpoint.
func (c *counts) attempt(service string, r attemptKind, outcome string, startedAt time.Time) {
	c.counter(attemptsFormat, service, string(r), outcome).Inc()
	c.observe("carawayhold_endpoint_seconds", service, startedAt)
}

// retryRefused counts an attempt refused for lack of retry budget.
func (c *counts) retryRefused(service string) {
	c.counter(retriesRefusedFormat, service).Inc()
}

// limitedAttempt counts an attempt granted at an endpoint that declares a rate limit.
func (c *counts) limitedAttempt(service string) {
	c.counter(limitedFormat, service).Inc()
}

// The kinds of notices in metrics.
const (
	noticeLeaving = "leaving"
	noticeRest    = "rest"
)

// notice counts a response in which an endpoint describes itself.
func (c *counts) notice(service, kind string) { c.counter(noticesFormat, service, kind).Inc() }

// noticeViolated counts a request that was written although an earlier response forbade it.
func (c *counts) noticeViolated(service, kind string) { c.counter(violatedFormat, service, kind).Inc() }

// cutByStop counts an attempt in progress that the end of a graceful stop cancelled.
func (c *counts) cutByStop(service string) { c.counter(cutFormat, service).Inc() }

// outdatedRequest counts a request that was handled by state that may be outdated, and returns
// their number.
func (c *counts) outdatedRequest(kind Kind) uint64 {
	counter := c.counter(outdatedFormat, kind.String())
	counter.Inc()
	return counter.Get()
}

// unsolicited counts bytes of an endpoint that are not the response to a request.
func (c *counts) unsolicited(kind endpoint.Unsolicited) {
	c.counter(unsolicitedFormat, string(kind)).Inc()
}

// relayed counts a connection to an endpoint through a relay.
func (c *counts) relayed(result string) { c.counter(relayedFormat, result).Inc() }

// storeCall counts a call to the store.
func (c *counts) storeCall(call string, kind Kind, result string) {
	c.counter(storeFormat, call, kind.String(), result).Inc()
}

// registerService registers the gauges of a service. The function is called at each scrape.
func (c *counts) registerService(service string, stats func() serviceStats) {
	for name, value := range map[string]func(serviceStats) float64{
		"endpoints":         func(f serviceStats) float64 { return float64(f.Endpoints) },
		"endpoints_leaving": func(f serviceStats) float64 { return float64(f.Draining) },
		"endpoints_suspect": func(f serviceStats) float64 { return float64(f.Suspected) },
		"endpoints_limited": func(f serviceStats) float64 { return float64(f.Limited) },
		"slots":             func(f serviceStats) float64 { return float64(f.Slots) },
		"in_flight":         func(f serviceStats) float64 { return float64(f.InFlight) },
		"limit_held":        func(f serviceStats) float64 { return float64(f.HeldByLimits) },
		"waiting":           func(f serviceStats) float64 { return float64(f.Waiting) },
		"repeats_left":      func(f serviceStats) float64 { return f.totalRetriesLeft },
		"placed_here":       func(f serviceStats) float64 { return f.placedHere },
	} {
		c.set.NewGauge(fmt.Sprintf(`carawayhold_service_%s{service=%q}`, name, service),
			func() float64 { return value(stats()) })
	}
}
