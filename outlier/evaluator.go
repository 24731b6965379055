package outlier

import (
	"cmp"
	"maps"
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
	// states lists endpoints in order of name. Sums over it do not depend on map
	// order, so that a seeded run gives the same figures each time.
	states    []*endpointState
	reporters map[string]*reporterState
	forgetAt  time.Time
	startedAt time.Time
}

type endpointState struct {
	name       string
	generation int64
	warmUntil  time.Time
	long       decayed
	short      decayed
	tests      [kindCount]*cusum
	trial      trial
	ejected    bool
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

// RetainOnly forgets all endpoints but the given, which are those configured.
func (e *Evaluator) RetainOnly(endpoints []string) {
	for name := range e.endpoints {
		if !slices.Contains(endpoints, name) {
			delete(e.endpoints, name)
		}
	}
	e.order()
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
	if e.startedAt.IsZero() {
		e.startedAt = now
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
	for _, s := range e.states {
		k, evidence := e.strongest(s, now)
		if evidence >= e.settings.threshold {
			suspects = append(suspects, Suspect{Endpoint: s.name, Kind: k, Evidence: evidence})
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
		return 0, KindOK, e.settings.threshold
	}
	k, evidence = e.strongest(s, now)
	return evidence, k, e.settings.threshold
}

// SetEjected takes the endpoints that the newest ledger lists as ejected. The
// evidence and probes of an endpoint start anew when it is ejected and when it
// returns, so that old evidence does not eject it again.
func (e *Evaluator) SetEjected(ejected []string) {
	for _, s := range e.states {
		if is := slices.Contains(ejected, s.name); is != s.ejected {
			s.ejected = is
			s.tests = [kindCount]*cusum{}
			s.trial = trial{}
		}
	}
}

// Returnable reports whether an ejected endpoint has given enough proof for a
// return: consecutive successful trials, doubled for each earlier ejection, from
// two zones where reporters have two.
func (e *Evaluator) Returnable(endpoint string, earlierEjections int) bool {
	s := e.endpoints[endpoint]
	if s == nil {
		return false
	}
	return s.trial.enough(RequiredProbes(earlierEjections), e.zoneCount())
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
		if k == KindSlow && now.Before(s.warmUntil) {
			continue
		}
		e.test(s, k, r, float64(c.Count(k)), judged, now)
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
	if s != nil && c.Generation <= s.generation {
		return s
	}
	// An evaluator that has just started cannot tell a new endpoint from one it
	// has not heard of yet.
	isNew := s == nil && now.Sub(e.startedAt) > e.warmUp
	isReplaced := s != nil && s.generation != 0
	ejected := s != nil && s.ejected
	s = newEndpointState(c.Endpoint, c.Generation, now)
	s.ejected = ejected
	if isNew || isReplaced {
		s.warmUntil = now.Add(e.warmUp)
	}
	e.endpoints[c.Endpoint] = s
	e.order()
	return s
}

func (e *Evaluator) order() {
	e.states = e.states[:0]
	for _, s := range e.endpoints {
		e.states = append(e.states, s)
	}
	slices.SortFunc(e.states, func(a, b *endpointState) int { return cmp.Compare(a.name, b.name) })
}

func newEndpointState(name string, generation int64, now time.Time) *endpointState {
	return &endpointState{
		name:       name,
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
		t.clear()
		return
	}
	p1 := alternative(k, p0)
	ratio := failures*math.Log(p1/p0) + (judged-failures)*math.Log((1-p1)/(1-p0))
	l := limits{total: e.settings.threshold * evidenceLimit, reporter: math.Inf(1)}
	if k.path() && !e.localOnly {
		l.reporter = e.settings.threshold * e.reporterShare()
	}
	t.add(r.Reporter, ratio, l, now)
}

// nullRate is the failure rate of the service's other endpoints, the higher one
// of a long and a short memory.
func (e *Evaluator) nullRate(self *endpointState, k Kind, now time.Time) float64 {
	least := nullMinimum
	if k == KindInvalid {
		least = wrongNullMinimum
	}
	var longFailures, longJudged, shortFailures, shortJudged float64
	for _, s := range e.states {
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
	long := smoothed(longFailures, longJudged, least, nullPrior)
	short := smoothed(shortFailures, shortJudged, least, overloadPrior)
	return max(least, long, short)
}

func smoothed(failures, judged, least, prior float64) float64 {
	return (failures + prior*least) / (judged + prior)
}

func alternative(k Kind, p0 float64) float64 {
	if k == KindInvalid {
		return min(alternativeMaximum, max(p0*alternativeRatio, wrongAlternative))
	}
	return min(alternativeMaximum, max(p0*alternativeRatio, p0+alternativeStep))
}

// reporterShare is the share of the threshold one reporter's path evidence can
// reach. In a small fleet it grows so that two reporters suffice.
func (e *Evaluator) reporterShare() float64 {
	return min(0.6, max(reporterCap, 2/float64(max(1, len(e.reporters)))))
}

// strongest returns the kind with the highest statistic. It stays below the
// threshold for evidence that does not suffice for an ejection.
func (e *Evaluator) strongest(s *endpointState, now time.Time) (Kind, float64) {
	best, evidence := KindOK, 0.0
	for _, k := range suspectKinds {
		t := s.tests[k]
		if t == nil {
			continue
		}
		v := t.value(now)
		if highest := e.settings.threshold * insufficientCap; v > highest && !e.sufficient(t, k, now) {
			v = highest
		}
		if v > evidence {
			best, evidence = k, v
		}
	}
	return best, evidence
}

// sufficient reports whether evidence that is strong enough is also about this
// endpoint: it has lasted, more than one zone sees it, and the other endpoints
// do not have the same trouble.
func (e *Evaluator) sufficient(t *cusum, k Kind, now time.Time) bool {
	if e.localOnly {
		return true
	}
	if k == KindInvalid {
		return true
	}
	if t.withoutWorst(e.settings.interruption) < e.settings.threshold*remainder {
		return false
	}
	if k.path() && !e.twoZones(t) {
		return false
	}
	return !e.overloaded(now)
}

// overloaded reports whether so many endpoints fail at the moment, in whatever
// way, that the service as a whole is in trouble.
func (e *Evaluator) overloaded(now time.Time) bool {
	affected := 0
	for _, s := range e.states {
		s.short.fade(now)
		if f := s.short.failures(); f >= 1 && f >= troubleRate*s.short.judged {
			affected++
		}
	}
	return float64(affected) > max(1, troubleShare*float64(len(e.states)))
}

// twoZones reports whether at least two zones contribute a fair share.
func (e *Evaluator) twoZones(t *cusum) bool {
	byZone := make(map[string]float64)
	for _, reporter := range slices.Sorted(maps.Keys(t.shares)) {
		if rs, v := e.reporters[reporter], t.shares[reporter]; rs != nil && v > 0 {
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
	if now.Before(e.forgetAt) {
		return
	}
	e.forgetAt = now.Add(reporterMemory / 4)
	for name, rs := range e.reporters {
		if now.Sub(rs.seenAt) > reporterMemory {
			delete(e.reporters, name)
		}
	}
}
