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

// Evaluator combines the reports of all proxies for one service and tests each
// endpoint and kind. It is not safe for concurrent use.
type Evaluator struct {
	settings  settings
	warmUp    time.Duration
	halfLife  time.Duration
	localOnly bool
	endpoints map[string]*endpointState
	// states is sorted by endpoint name, so that floating-point sums do not
	// depend on map order and a seeded run is reproducible.
	states     []*endpointState
	reporters  map[string]*reporterState
	nextForget time.Time
	startedAt  time.Time
}

type endpointState struct {
	name        string
	generation  int64
	warmUpUntil time.Time
	long        decayedCounts
	short       decayedCounts
	tests       [kindCount]*cusum
	probes      probeStreak
	ejected     bool
}

type reporterState struct {
	sequence uint64
	zone     string
	seenAt   time.Time
}

// EvaluatorOption changes an evaluator or local weights under construction.
type EvaluatorOption func(*Evaluator)

// WithWarmUp sets how long slow responses of a new generation are ignored; the
// default is DefaultWarmUp.
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

// RetainOnly drops the state of all endpoints except the given ones, which are
// those in the configuration.
func (e *Evaluator) RetainOnly(endpoints []string) {
	for name := range e.endpoints {
		if !slices.Contains(endpoints, name) {
			delete(e.endpoints, name)
		}
	}
	e.sortStates()
}

// Add adds one report. A report whose sequence is not higher than that of the
// reporter's previous one is ignored.
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

// Evidence returns the highest statistic of an endpoint, its kind, and the
// threshold at which the endpoint becomes a suspect.
func (e *Evaluator) Evidence(endpoint string, now time.Time) (evidence float64, k Kind, threshold float64) {
	s := e.endpoints[endpoint]
	if s == nil {
		return 0, KindOK, e.settings.threshold
	}
	k, evidence = e.strongest(s, now)
	return evidence, k, e.settings.threshold
}

// SetEjected sets the endpoints that the newest ledger lists as ejected. The
// evidence and probes of an endpoint are reset when it is ejected and when it
// returns, so that old evidence does not eject it again.
func (e *Evaluator) SetEjected(ejected []string) {
	for _, s := range e.states {
		if is := slices.Contains(ejected, s.name); is != s.ejected {
			s.ejected = is
			s.tests = [kindCount]*cusum{}
			s.probes = probeStreak{}
		}
	}
}

// Returnable reports whether an ejected endpoint can return to service: it has
// passed RequiredProbes consecutive probes, sent from two zones if the reporters
// are in two or more.
func (e *Evaluator) Returnable(endpoint string, earlierEjections int) bool {
	s := e.endpoints[endpoint]
	if s == nil {
		return false
	}
	return s.probes.sufficient(RequiredProbes(earlierEjections), e.zoneCount())
}

func (e *Evaluator) addCounts(r Report, c Counts, now time.Time) {
	s := e.stateFor(c, now)
	if s == nil {
		return
	}
	s.probes.add(r.Zone, c)
	evaluated := c.evaluated()
	if evaluated == 0 {
		return
	}
	for _, k := range suspectKinds {
		if k == KindSlow && now.Before(s.warmUpUntil) {
			continue
		}
		e.updateTest(s, k, r, float64(c.Count(k)), evaluated, now)
	}
	for _, d := range []*decayedCounts{&s.long, &s.short} {
		d.decay(now)
		d.add(c)
	}
}

// stateFor returns the endpoint state that the counts belong to, and nil if they
// are of an older generation.
func (e *Evaluator) stateFor(c Counts, now time.Time) *endpointState {
	s := e.endpoints[c.Endpoint]
	if s != nil && c.Generation != 0 && c.Generation < s.generation {
		return nil
	}
	if s != nil && c.Generation <= s.generation {
		return s
	}
	// An evaluator that has just started cannot tell a new endpoint from one
	// whose first report has not arrived yet.
	isNew := s == nil && now.Sub(e.startedAt) > e.warmUp
	isReplaced := s != nil && s.generation != 0
	ejected := s != nil && s.ejected
	s = newEndpointState(c.Endpoint, c.Generation, now)
	s.ejected = ejected
	if isNew || isReplaced {
		s.warmUpUntil = now.Add(e.warmUp)
	}
	e.endpoints[c.Endpoint] = s
	e.sortStates()
	return s
}

func (e *Evaluator) sortStates() {
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
		long:       decayedCounts{halfLife: longHalfLife, updatedAt: now},
		short:      decayedCounts{halfLife: shortHalfLife, updatedAt: now},
	}
}

func (e *Evaluator) updateTest(s *endpointState, k Kind, r Report, failures, evaluated float64, now time.Time) {
	t := s.tests[k]
	if t == nil {
		if failures == 0 {
			return
		}
		t = newCUSUM(e.halfLife, now)
		s.tests[k] = t
	}
	p0 := e.nullRate(s, k, now)
	if p0 > maxNullRate {
		t.clear()
		return
	}
	p1 := alternativeRate(k, p0)
	ratio := failures*math.Log(p1/p0) + (evaluated-failures)*math.Log((1-p1)/(1-p0))
	l := limits{total: e.settings.threshold * maxEvidenceRatio, reporter: math.Inf(1)}
	if k.pathRelated() && !e.localOnly {
		l.reporter = e.settings.threshold * e.reporterCap()
	}
	t.add(r.Reporter, ratio, l, now)
}

// nullRate returns the failure rate of the service's other endpoints: the higher
// of the rates over longHalfLife and shortHalfLife.
func (e *Evaluator) nullRate(self *endpointState, k Kind, now time.Time) float64 {
	minRate := minNullRate
	if k == KindInvalid {
		minRate = minInvalidNullRate
	}
	var longFailures, longEvaluated, shortFailures, shortEvaluated float64
	for _, s := range e.states {
		if s == self {
			continue
		}
		s.long.decay(now)
		s.short.decay(now)
		longFailures += s.long.kinds[k]
		longEvaluated += s.long.evaluated
		shortFailures += s.short.kinds[k]
		shortEvaluated += s.short.evaluated
	}
	long := smoothed(longFailures, longEvaluated, minRate, longPriorWeight)
	short := smoothed(shortFailures, shortEvaluated, minRate, shortPriorWeight)
	return max(minRate, long, short)
}

// smoothed returns a failure rate that starts at minRate, which counts as
// priorWeight requests.
func smoothed(failures, evaluated, minRate, priorWeight float64) float64 {
	return (failures + priorWeight*minRate) / (evaluated + priorWeight)
}

func alternativeRate(k Kind, p0 float64) float64 {
	if k == KindInvalid {
		return min(maxAlternative, max(p0*alternativeRatio, invalidAlternative))
	}
	return min(maxAlternative, max(p0*alternativeRatio, p0+alternativeStep))
}

// reporterCap returns the share of the threshold that one reporter can contribute
// to path-related evidence. It is higher in a small fleet, where two reporters
// must suffice, but at most 0.6, so that one alone never does.
func (e *Evaluator) reporterCap() float64 {
	return min(0.6, max(largeFleetReporterCap, 2/float64(max(1, len(e.reporters)))))
}

// strongest returns the kind with the highest statistic. Evidence that is not
// sufficient for an ejection is capped below the threshold.
func (e *Evaluator) strongest(s *endpointState, now time.Time) (Kind, float64) {
	best, evidence := KindOK, 0.0
	for _, k := range suspectKinds {
		t := s.tests[k]
		if t == nil {
			continue
		}
		v := t.value(now)
		if highest := e.settings.threshold * maxInsufficientShare; v > highest && !e.sufficient(t, k, now) {
			v = highest
		}
		if v > evidence {
			best, evidence = k, v
		}
	}
	return best, evidence
}

// sufficient reports whether strong evidence points to this endpoint: it has
// lasted longer than a tolerated interruption, path-related kinds are seen from
// two zones, and the service as a whole is not overloaded. Invalid responses are
// always sufficient.
func (e *Evaluator) sufficient(t *cusum, k Kind, now time.Time) bool {
	if e.localOnly {
		return true
	}
	if k == KindInvalid {
		return true
	}
	if t.sumWithoutWorstWindow(e.settings.maxInterruption) < e.settings.threshold*minRemainingShare {
		return false
	}
	if k.pathRelated() && !e.seenFromTwoZones(t) {
		return false
	}
	return !e.overloaded(now)
}

// overloaded reports whether so many endpoints currently fail, with any kind of
// failure, that the cause is the service rather than an endpoint.
func (e *Evaluator) overloaded(now time.Time) bool {
	affected := 0
	for _, s := range e.states {
		s.short.decay(now)
		if f := s.short.failures(); f >= 1 && f >= overloadFailureRate*s.short.evaluated {
			affected++
		}
	}
	return float64(affected) > max(1, overloadEndpointShare*float64(len(e.states)))
}

// seenFromTwoZones reports whether at least two zones contribute minZoneShare of
// the threshold.
func (e *Evaluator) seenFromTwoZones(t *cusum) bool {
	byZone := make(map[string]float64)
	for _, reporter := range slices.Sorted(maps.Keys(t.shares)) {
		if rs, v := e.reporters[reporter], t.shares[reporter]; rs != nil && v > 0 {
			byZone[rs.zone] += v
		}
	}
	zones := 0
	for _, v := range byZone {
		if v >= e.settings.threshold*minZoneShare {
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

// forgetReporters drops reporters that have sent nothing for reporterRetention.
func (e *Evaluator) forgetReporters(now time.Time) {
	if now.Before(e.nextForget) {
		return
	}
	e.nextForget = now.Add(reporterRetention / 4)
	for name, rs := range e.reporters {
		if now.Sub(rs.seenAt) > reporterRetention {
			delete(e.reporters, name)
		}
	}
}
