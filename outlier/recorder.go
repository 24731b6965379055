package outlier

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// ReportInterval is how often a proxy drains its recorder and sends reports.
const ReportInterval = 500 * time.Millisecond

type endpointKey struct {
	service  string
	endpoint string
}

type endpointCounts struct {
	generation      int64
	kinds           [kindCount]uint32
	probesSucceeded uint32
	probesFailed    uint32
}

// Recorder counts outcomes in one proxy. It is safe for concurrent use, because
// requests of one proxy end on many goroutines.
type Recorder struct {
	reporter string
	zone     string

	mu        sync.Mutex
	counts    map[endpointKey]*endpointCounts
	sequences map[string]uint64
}

// NewRecorder returns a recorder for a proxy. The reporter is the incarnation of
// its process.
func NewRecorder(reporter, zone string) *Recorder {
	return &Recorder{
		reporter:  reporter,
		zone:      zone,
		counts:    make(map[endpointKey]*endpointCounts),
		sequences: make(map[string]uint64),
	}
}

// Record counts the outcome of one request. The generation identifies the
// endpoint process that received it, 0 if unknown. Outcomes of an older
// generation than the newest recorded one are dropped.
func (r *Recorder) Record(service, endpoint string, generation int64, k Kind) {
	if k >= kindCount {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.countsFor(service, endpoint, generation); c != nil {
		c.kinds[k]++
	}
}

// RecordProbe counts the result of one probe of an ejected endpoint. Probes of an
// older generation than the newest recorded one are dropped.
func (r *Recorder) RecordProbe(service, endpoint string, generation int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsFor(service, endpoint, generation)
	if c == nil {
		return
	}
	if ok {
		c.probesSucceeded++
		return
	}
	c.probesFailed++
}

// Drain returns one report per service that has counts, and resets the counts.
// Call it every ReportInterval.
func (r *Recorder) Drain() []Report {
	r.mu.Lock()
	counts := r.counts
	r.counts = make(map[endpointKey]*endpointCounts, len(counts))
	r.mu.Unlock()

	byService := make(map[string][]Counts)
	for key, c := range counts {
		byService[key.service] = append(byService[key.service], c.export(key.endpoint))
	}
	reports := make([]Report, 0, len(byService))
	for service, cs := range byService {
		slices.SortFunc(cs, func(a, b Counts) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		reports = append(reports, Report{
			Reporter: r.reporter, Zone: r.zone, Service: service,
			Sequence: r.nextSequence(service), Counts: cs,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

func (r *Recorder) countsFor(service, endpoint string, generation int64) *endpointCounts {
	key := endpointKey{service: service, endpoint: endpoint}
	c := r.counts[key]
	switch {
	case c == nil || (c.generation != 0 && generation > c.generation):
		c = &endpointCounts{generation: generation}
		r.counts[key] = c
	case generation != 0 && generation < c.generation:
		return nil
	case c.generation == 0:
		c.generation = generation
	}
	return c
}

func (r *Recorder) nextSequence(service string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequences[service]++
	return r.sequences[service]
}

func (c *endpointCounts) export(endpoint string) Counts {
	last := len(c.kinds)
	for last > 0 && c.kinds[last-1] == 0 {
		last--
	}
	return Counts{
		Endpoint: endpoint, Generation: c.generation, Kinds: slices.Clone(c.kinds[:last]),
		ProbesSucceeded: c.probesSucceeded, ProbesFailed: c.probesFailed,
	}
}
