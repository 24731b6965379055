package admission

import (
	"slices"
	"time"
)

const (
	latencySamples = 256
	// latencyMinimum is the number of samples before a percentile is used.
	latencyMinimum = 32
	// latencyRefresh is the number of new samples after which the percentile is
	// computed again.
	latencyRefresh = 16
)

// latencies keeps the last service times of a class.
type latencies struct {
	samples []time.Duration
	next    int
	fresh   int
	mean    time.Duration
	p95     time.Duration
}

func (l *latencies) add(service time.Duration) {
	if len(l.samples) < latencySamples {
		l.samples = append(l.samples, service)
	} else {
		l.samples[l.next] = service
		l.next = (l.next + 1) % latencySamples
	}
	if l.mean == 0 {
		l.mean = service
	} else {
		l.mean += (service - l.mean) / 16
	}
	l.fresh++
	if l.fresh >= latencyRefresh && len(l.samples) >= latencyMinimum {
		l.fresh = 0
		sorted := slices.Clone(l.samples)
		slices.Sort(sorted)
		l.p95 = sorted[len(sorted)*95/100]
	}
}
