package placement

import "time"

// Evidence is what changed a belief.
type Evidence struct {
	// Outcome of the attempt with this Token; OutcomeNone if the belief came from
	// another view or has faded.
	Outcome Outcome
	Token   uint64
	// Remote is set for a belief that another view has formed.
	Remote bool
}

// SuspicionChange is an endpoint that became suspected, or is no longer.
type SuspicionChange struct {
	Endpoint  string
	Suspected bool
	// FailureProbability is the probability that the endpoint fails its requests, 0 to 1.
	FailureProbability float64
	InFlight           int
	Evidence           Evidence
}

// Observer is told of transitions while they happen. It must not call the scheduler.
type Observer interface {
	Changed(t SuspicionChange)
}

// report tells the observer if the endpoint became suspected or is no longer.
func (s *Scheduler) report(now time.Time, t *seat, e Evidence) {
	failing := t.belief.value(now)
	if failing >= suspected == s.doubted[t] {
		return
	}
	if failing >= suspected {
		s.doubted[t] = true
	} else {
		delete(s.doubted, t)
	}
	if s.observer != nil {
		s.observer.Changed(SuspicionChange{
			Endpoint: t.endpoint.id, Suspected: failing >= suspected, FailureProbability: failing,
			InFlight: t.inFlight, Evidence: e,
		})
	}
}

// Decay reports endpoints that are no longer suspected because the evidence is old.
func (s *Scheduler) Decay(now time.Time) {
	for t := range s.doubted {
		if t.leaving {
			delete(s.doubted, t)
			continue
		}
		s.report(now, t, Evidence{})
	}
}
