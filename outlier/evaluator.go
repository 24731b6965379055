package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/config"
)

// Suspect is an endpoint whose evidence has reached the threshold.
type Suspect struct {
	Endpoint string
	Kind     Kind
	// Evidence is the statistic of the sequential test, a log-likelihood ratio.
	Evidence float64
}

// Evaluator sums the reports of all proxies for one service and tests each
// endpoint and kind. It is not safe for concurrent use.
type Evaluator struct {
	settings  settings
	warmUp    time.Duration
	halfLife  time.Duration
	localOnly bool
	endpoints map[string]*endpointState
	reporters map[string]*reporterState
}

type endpointState struct {
	generation int64
	warmUntil  time.Time
	long       decayed
	short      decayed
	tests      [kindCount]*cusum
	trial      trial
}

type reporterState struct {
	sequence uint64
	zone     string
	seenAt   time.Time
}

// EvaluatorOption changes an evaluator.
type EvaluatorOption func(*Evaluator)

// WithWarmUp sets how long slowness of a new generation does not count.
func WithWarmUp(d time.Duration) EvaluatorOption {
	return func(e *Evaluator) { e.warmUp = d }
}

// NewEvaluator returns an evaluator for one service.
func NewEvaluator(w config.Weighting, opts ...EvaluatorOption) *Evaluator {
	e := &Evaluator{
		settings:  settingsFor(w),
		warmUp:    DefaultWarmUp,
		halfLife:  evidenceHalfLife,
		endpoints: make(map[string]*endpointState),
		reporters: make(map[string]*reporterState),
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Retain forgets all endpoints but the given, which are those configured.
func (e *Evaluator) Retain(endpoints []string) {
	for name := range e.endpoints {
		if !slices.Contains(endpoints, name) {
			delete(e.endpoints, name)
		}
	}
}

// Add takes one report. A report whose sequence was already seen is ignored.
func (e *Evaluator) Add(r Report, now time.Time) {
	rs := e.reporters[r.Reporter]
	if rs == nil {
		rs = &reporterState{zone: r.Zone}
		e.reporters[r.Reporter] = rs
	}
	if r.Sequence <= rs.sequence {
		return
	}
	rs.sequence = r.Sequence
	rs.seenAt = now
	e.forgetReporters(now)
	for _, c := range r.Counts {
		e.addCounts(r, c, now)
	}
}

// Suspects returns the endpoints to propose for ejection, the strongest
// evidence first.
func (e *Evaluator) Suspects(now time.Time) []Suspect {
	var suspects []Suspect
	for name, s := range e.endpoints {
		k, evidence := e.strongest(s, now)
		if evidence >= e.settings.threshold {
			suspects = append(suspects, Suspect{Endpoint: name, Kind: k, Evidence: evidence})
		}
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		if c := cmp.Compare(b.Evidence, a.Evidence); c != 0 {
			return c
		}
		return cmp.Compare(a.Endpoint, b.Endpoint)
	})
	return suspects
}

// Evidence returns the strongest statistic of an endpoint, its kind, and the
// threshold.
func (e *Evaluator) Evidence(endpoint string, now time.Time) (evidence float64, k Kind, threshold float64) {
	s := e.endpoints[endpoint]
	if s == nil {
		return 0, OK, e.settings.threshold
	}
	k, evidence = e.strongest(s, now)
	return evidence, k, e.settings.threshold
}

// Reset forgets the evidence and trials of an endpoint. Call it when the ledger
// shows that the endpoint was ejected or started to return.
func (e *Evaluator) Reset(endpoint string) {
	s := e.endpoints[endpoint]
	if s == nil {
		return
	}
	s.tests = [kindCount]*cusum{}
	s.trial = trial{}
}

// Returnable reports whether an ejected endpoint has given enough proof for a
// return: consecutive successful trials, doubled for each earlier ejection, from
// two zones where reporters have two.
func (e *Evaluator) Returnable(endpoint string, earlierEjections int) bool {
	s := e.endpoints[endpoint]
	if s == nil {
		return false
	}
	return s.trial.enough(RequiredTrials(earlierEjections), e.zoneCount())
}

func (e *Evaluator) addCounts(r Report, c Counts, now time.Time) {
	s := e.state(c, now)
	if s == nil {
		return
	}
	s.trial.add(r.Zone, c)
	judged := c.judged()
	if judged == 0 {
		return
	}
	for _, k := range suspectKinds {
		if k == Slow && now.Before(s.warmUntil) {
			continue
		}
		e.test(s, k, r, float64(c.Of(k)), judged, now)
	}
	for _, d := range []*decayed{&s.long, &s.short} {
		d.fade(now)
		d.add(c)
	}
}

// state returns the state for counts, nil if they are of an older generation.
func (e *Evaluator) state(c Counts, now time.Time) *endpointState {
	s := e.endpoints[c.Endpoint]
	if s != nil && c.Generation != 0 && c.Generation < s.generation {
		return nil
	}
	if s == nil {
		s = newEndpointState(c.Generation, now)
		e.endpoints[c.Endpoint] = s
		return s
	}
	if c.Generation > s.generation {
		known := s.generation != 0
		s = newEndpointState(c.Generation, now)
		if known {
			s.warmUntil = now.Add(e.warmUp)
		}
		e.endpoints[c.Endpoint] = s
	}
	return s
}

func newEndpointState(generation int64, now time.Time) *endpointState {
	return &endpointState{
		generation: generation,
		long:       decayed{halfLife: nullHalfLife, at: now},
		short:      decayed{halfLife: overloadHalfLife, at: now},
	}
}

func (e *Evaluator) test(s *endpointState, k Kind, r Report, failures, judged float64, now time.Time) {
	t := s.tests[k]
	if t == nil {
		if failures == 0 {
			return
		}
		t = newCUSUM(e.halfLife, now)
		s.tests[k] = t
	}
	p0 := e.nullRate(s, k, now)
	if p0 > nullLimit {
		return
	}
	p1 := alternative(p0)
	ratio := failures*math.Log(p1/p0) + (judged-failures)*math.Log((1-p1)/(1-p0))
	limits := limits{
		step:     e.settings.threshold / e.settings.intervals,
		total:    e.settings.threshold * 1.25,
		reporter: math.Inf(1),
	}
	if k.path() && !e.localOnly {
		limits.reporter = e.settings.threshold * e.reporterShare()
	}
	t.add(r.Reporter, ratio, limits, now)
}

// nullRate is the failure rate of the service's other endpoints, the higher one
// of a long and a short memory.
func (e *Evaluator) nullRate(self *endpointState, k Kind, now time.Time) float64 {
	least := nullMinimum
	if k == Wrong {
		least = wrongNullMinimum
	}
	var longFailures, longJudged, shortFailures, shortJudged float64
	for _, s := range e.endpoints {
		if s == self {
			continue
		}
		s.long.fade(now)
		s.short.fade(now)
		longFailures += s.long.kinds[k]
		longJudged += s.long.judged
		shortFailures += s.short.kinds[k]
		shortJudged += s.short.judged
	}
	long := smoothed(longFailures, longJudged, least)
	short := smoothed(shortFailures, shortJudged, least)
	return max(least, long, short)
}

func smoothed(failures, judged, least float64) float64 {
	return (failures + nullPrior*least) / (judged + nullPrior)
}

func alternative(p0 float64) float64 {
	return min(alternativeMaximum, max(p0*alternativeRatio, p0+alternativeStep))
}

// reporterShare is the share of the threshold one reporter's path evidence can
// reach. In a small fleet it grows so that two reporters suffice.
func (e *Evaluator) reporterShare() float64 {
	return min(0.6, max(reporterCap, 2/float64(max(1, len(e.reporters)))))
}

// strongest returns the kind with the highest statistic, path evidence capped
// below the threshold unless two zones contribute.
func (e *Evaluator) strongest(s *endpointState, now time.Time) (Kind, float64) {
	best, evidence := OK, 0.0
	for _, k := range suspectKinds {
		t := s.tests[k]
		if t == nil {
			continue
		}
		v := t.value(now)
		if k.path() && !e.localOnly && !e.twoZones(t) {
			v = min(v, e.settings.threshold*pathCap)
		}
		if v > evidence {
			best, evidence = k, v
		}
	}
	return best, evidence
}

// twoZones reports whether at least two zones contribute a fair share.
func (e *Evaluator) twoZones(t *cusum) bool {
	byZone := make(map[string]float64)
	for reporter, v := range t.shares {
		if rs := e.reporters[reporter]; rs != nil && v > 0 {
			byZone[rs.zone] += v
		}
	}
	zones := 0
	for _, v := range byZone {
		if v >= e.settings.threshold*twoZoneShare {
			zones++
		}
	}
	return zones >= 2
}

func (e *Evaluator) zoneCount() int {
	zones := make(map[string]bool)
	for _, rs := range e.reporters {
		zones[rs.zone] = true
	}
	return len(zones)
}

// forgetReporters drops reporters that were replaced or are gone.
func (e *Evaluator) forgetReporters(now time.Time) {
	for name, rs := range e.reporters {
		if now.Sub(rs.seenAt) > reporterMemory {
			delete(e.reporters, name)
		}
	}
}
