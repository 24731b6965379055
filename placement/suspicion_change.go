package placement

import "time"

// Evidence is the cause of a changed estimate.
type Evidence struct {
	// Outcome is that of the attempt with this Token. It is OutcomeNone if the estimate
	// came from another view or has decayed.
	Outcome Outcome
	Token   uint64
	// Remote is set if the estimate came from another view.
	Remote bool
}

// SuspicionChange reports that an endpoint became suspected or is no longer.
type SuspicionChange struct {
	Endpoint  string
	Suspected bool
	// FailureProbability, 0 to 1, is the probability that the endpoint fails a request.
	FailureProbability float64
	InFlight           int
	Evidence           Evidence
}

// Observer is notified of changes synchronously. It must not call the scheduler.
type Observer interface {
	SuspicionChanged(c SuspicionChange)
	RateLimitChanged(c RateLimitChange)
}

// notifyObserver reports the endpoint if it became suspected or is no longer.
func (s *Scheduler) notifyObserver(now time.Time, t *target, e Evidence) {
	probability := t.estimate.value(now)
	if probability >= suspicionThreshold == s.reportedSuspected[t] {
		return
	}
	if probability >= suspicionThreshold {
		s.reportedSuspected[t] = true
	} else {
		delete(s.reportedSuspected, t)
	}
	if s.observer != nil {
		s.observer.SuspicionChanged(SuspicionChange{
			Endpoint: t.endpoint.id, Suspected: probability >= suspicionThreshold, FailureProbability: probability,
			InFlight: t.inFlight, Evidence: e,
		})
	}
}

// ReportDecayed reports endpoints that are no longer suspected because their evidence
// has decayed.
func (s *Scheduler) ReportDecayed(now time.Time) {
	for t := range s.reportedSuspected {
		if t.draining {
			delete(s.reportedSuspected, t)
			continue
		}
		s.notifyObserver(now, t, Evidence{})
	}
}
