package placement

import (
	"math"
	"time"
)

const (
	// degradedLossShare is the share of lost attempts from which even suspected
	// endpoints get requests. At a tenth, the platform requires requests at most
	// endpoints within 2 s.
	degradedLossShare = 0.1
	// degradedProbeDelay is the time after a failure before an endpoint is probed in
	// this state.
	degradedProbeDelay = time.Second
	// degradedMinResults is the number of recent results from which the share is
	// significant.
	degradedMinResults = 8.0
	// recentTimeConstant is the time constant with which recent events decay.
	recentTimeConstant = time.Second
)

// degraded reports whether many recent attempts have failed or were refused.
func (s *Scheduler) degraded(now time.Time) bool {
	results := s.results.current(now)
	return results >= degradedMinResults && s.losses.current(now) > degradedLossShare*results
}

// countOutcome adds an ended attempt to the recent results. Callers leave out probes of
// suspected endpoints, because their failures would cause more probes.
func (s *Scheduler) countOutcome(now time.Time, o Outcome) {
	if o == OutcomeNone || o == OutcomeUnreachable {
		return
	}
	s.results.add(now)
	if o == OutcomeFailed || o == OutcomeBroken || o == OutcomeTimeout {
		s.losses.add(now)
	}
}

// countRefusal adds a refusal to the recent results as a loss: the platform requires
// requests at most endpoints also while requests are refused.
func (s *Scheduler) countRefusal(now time.Time) {
	s.results.add(now)
	s.losses.add(now)
}

const (
	// A service is overloaded if the arriving requests exceed overloadFactor times the
	// attempts that end.
	overloadFactor = 1.1
	// overloadMinDeviations is the number of standard deviations by which arrivals must
	// exceed this limit, because random bursts occur at a service with low load.
	overloadMinDeviations = 2
)

// overloaded reports whether requests wait and more arrive than end.
func (s *Scheduler) overloaded(now time.Time) bool {
	if len(s.waiting) == 0 {
		return false
	}
	return s.arrivalsExceedEnds(now, overloadMinDeviations)
}

// arrivalsExceedEnds reports whether arrivals exceed the ends by more than overloadFactor and a
// number of standard deviations.
func (s *Scheduler) arrivalsExceedEnds(now time.Time, deviations float64) bool {
	arrivals, completions := s.arrivals.current(now), s.completions.current(now)
	return arrivals > overloadFactor*completions+deviations*math.Sqrt(arrivals)
}

// decayingCount counts recent events. The count decays exponentially.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) current(now time.Time) float64 {
	return decay(c.value, now.Sub(c.at), recentTimeConstant)
}

func (c *decayingCount) add(now time.Time) { c.value, c.at = c.current(now)+1, now }

// minLossesForProbes is the number of recent losses from which degradation is certain
// enough to probe suspected endpoints, however many endpoints are unused. At a service
// with low load, a few failures already exceed degradedLossShare.
const minLossesForProbes = 5.0

// manyLosses reports whether many attempts were lost recently, not only a large share
// of them.
func (s *Scheduler) manyLosses(now time.Time) bool {
	return s.losses.current(now) >= minLossesForProbes
}

const (
	// unusedAfter is the time without requests from which an endpoint counts as unused,
	// half of the time within which the platform requires requests at most endpoints.
	unusedAfter = time.Second
	// maxUnusedShare is half of the share of unused endpoints that the platform allows.
	maxUnusedShare = 0.15
)

// manyUnused reports whether many endpoints have had no recent requests.
func (s *Scheduler) manyUnused(now time.Time) bool {
	s.refresh(now)
	return float64(s.unused) > maxUnusedShare*float64(len(s.healthy.list)+len(s.suspects.list))
}
