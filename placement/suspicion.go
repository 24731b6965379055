package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Suspicion is the failure probability of one endpoint as estimated by a view.
type Suspicion struct {
	ID                 string
	FailureProbability float64
}

// minEstimateChange is the minimum difference to the estimate that other views have for
// which an endpoint is reported to them again.
const minEstimateChange = 0.15

// Suspicions returns the changes since the last call, ordered by ID, for views that
// apply all of them. Estimates decay alike in all views, so that only new evidence has
// to be sent even if hundreds of endpoints are suspected.
func (s *Scheduler) Suspicions(now time.Time) []Suspicion {
	var list []Suspicion
	add := func(t *target, probability float64) {
		list = append(list, Suspicion{ID: t.endpoint.id, FailureProbability: probability})
	}
	for t, sent := range s.sentEstimates {
		sentProbability, probability := sent.value(now), t.estimate.value(now)
		switch {
		case t.draining || sentProbability < suspicionThreshold:
			delete(s.sentEstimates, t)
		case probability < suspicionThreshold:
			delete(s.sentEstimates, t)
			add(t, probability)
		}
	}
	for _, t := range s.suspects.list {
		probability := t.estimate.value(now)
		sent, found := s.sentEstimates[t]
		if probability < suspicionThreshold || found && math.Abs(probability-sent.value(now)) < minEstimateChange {
			continue
		}
		s.sentEstimates[t] = failureEstimate{probability: probability, at: now}
		add(t, probability)
	}
	slices.SortFunc(list, func(a, b Suspicion) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// ResetSuspicions makes the next Suspicions return all suspected endpoints. It is
// needed after the other views have applied the suspicions of another view.
func (s *Scheduler) ResetSuspicions() { clear(s.sentEstimates) }

// ApplySuspicions sets the estimates that the owner of the service has sent.
func (s *Scheduler) ApplySuspicions(now time.Time, suspicions []Suspicion) {
	for _, v := range suspicions {
		if t, found := s.targets[v.ID]; found {
			s.setEstimate(now, t, v.FailureProbability)
		}
	}
}

// setEstimate replaces the estimate for an endpoint by that of another view.
func (s *Scheduler) setEstimate(now time.Time, t *target, probability float64) {
	t.estimate.set(now, probability)
	s.updateTarget(now, t)
	s.notifyObserver(now, t, Evidence{Remote: true})
}
