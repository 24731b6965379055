package caller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// classMetrics are the metrics of one class.
type classMetrics struct {
	answered *metrics.Counter
	notRun   *metrics.Counter
	unknown  *metrics.Counter
	attempts *metrics.Counter
	latency  *metrics.Histogram
}

func newClassMetrics(service, class string) *classMetrics {
	labels := fmt.Sprintf("service=%q,class=%q", service, class)
	outcome := func(o Outcome) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`carawayhold_requests_total{%s,outcome=%q}`, labels, o))
	}
	return &classMetrics{
		answered: outcome(OutcomeAnswered),
		notRun:   outcome(OutcomeNotRun),
		unknown:  outcome(OutcomeUnknown),
		attempts: metrics.GetOrCreateCounter(fmt.Sprintf(`carawayhold_attempts_total{%s}`, labels)),
		latency:  metrics.GetOrCreateHistogram(fmt.Sprintf(`carawayhold_request_seconds{%s}`, labels)),
	}
}

// record counts a finished request and its latency since arrival.
func (c *classMetrics) record(o Outcome, arrival time.Time) {
	switch o {
	case OutcomeAnswered:
		c.answered.Inc()
	case OutcomeNotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
	c.latency.UpdateDuration(arrival)
}
