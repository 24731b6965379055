package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counts are the metrics of the request path.
type counts struct {
	set         *metrics.Set
	attempts    *metrics.Counter
	hedges      *metrics.Counter
	queued      *metrics.Counter
	alone       *metrics.Counter
	lostReports *metrics.Counter
}

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set:         set,
		attempts:    set.NewCounter("carawayhold_attempts_total"),
		hedges:      set.NewCounter("carawayhold_hedges_total"),
		queued:      set.NewCounter("carawayhold_queued_total"),
		alone:       set.NewCounter("carawayhold_placed_alone_total"),
		lostReports: set.NewCounter("carawayhold_reports_lost_total"),
	}
}

// outcome counts the end of a request and its time.
func (c *counts) outcome(r *Route, outcome string, arrival time.Time) {
	name := "none"
	if r != nil {
		name = r.Name
	}
	c.set.GetOrCreateCounter(fmt.Sprintf(`carawayhold_requests_total{route=%q,outcome=%q}`, name, outcome)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`carawayhold_request_seconds{route=%q}`, name)).UpdateDuration(arrival)
}
