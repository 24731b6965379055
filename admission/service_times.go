package admission

import (
	"slices"
	"time"
)

const (
	maxSamples = 256
	// minSamples is the number of samples from which the percentile is computed.
	minSamples = 32
	// refreshSamples is the number of new samples after which the percentile is
	// computed again.
	refreshSamples = 16
)

// serviceTimes keeps the most recent service times of a class.
type serviceTimes struct {
	samples      []time.Duration
	next         int
	sinceRefresh int
	mean         time.Duration
	p95          time.Duration
}

func (s *serviceTimes) add(service time.Duration) {
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, service)
	} else {
		s.samples[s.next] = service
		s.next = (s.next + 1) % maxSamples
	}
	if s.mean == 0 {
		s.mean = service
	} else {
		s.mean += (service - s.mean) / 16
	}
	s.sinceRefresh++
	if s.sinceRefresh >= refreshSamples && len(s.samples) >= minSamples {
		s.sinceRefresh = 0
		sorted := slices.Clone(s.samples)
		slices.Sort(sorted)
		s.p95 = sorted[len(sorted)*95/100]
	}
}
