package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Suspicion is the belief of a view in one endpoint.
type Suspicion struct {
	ID                 string
	FailureProbability float64
}

// toldDifference is the least difference between a belief and the one that other views
// have, for which they are told again.
const toldDifference = 0.15

// Suspicions returns what changed since the last call, for views that learn all that is
// returned here. It answers hundreds of suspected endpoints and of views: beliefs fade
// alike in all of them, so that only new evidence has to be told.
func (s *Scheduler) Suspicions(now time.Time) []Suspicion {
	var list []Suspicion
	tell := func(t *seat, failing float64) {
		list = append(list, Suspicion{ID: t.endpoint.id, FailureProbability: failing})
	}
	for t, held := range s.told {
		known, failing := held.value(now), t.belief.value(now)
		switch {
		case t.leaving || known < suspected:
			delete(s.told, t)
		case failing < suspected:
			delete(s.told, t)
			tell(t, failing)
		}
	}
	for _, t := range s.suspects.list {
		failing := t.belief.value(now)
		held, found := s.told[t]
		if failing < suspected || found && math.Abs(failing-held.value(now)) < toldDifference {
			continue
		}
		s.told[t] = belief{failing: failing, at: now}
		tell(t, failing)
	}
	slices.SortFunc(list, func(a, b Suspicion) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// ResetSuspicions makes the next Suspicions tell all that this view suspects, because others
// have learnt from another one meanwhile.
func (s *Scheduler) ResetSuspicions() { clear(s.told) }

// ApplySuspicions takes what the view that places requests has told.
func (s *Scheduler) ApplySuspicions(now time.Time, suspicions []Suspicion) {
	for _, v := range suspicions {
		if t, found := s.seats[v.ID]; found {
			s.believe(now, t, v.FailureProbability)
		}
	}
}

// believe replaces the belief in an endpoint by one that another view has formed.
func (s *Scheduler) believe(now time.Time, t *seat, failing float64) {
	t.belief.set(now, failing)
	s.look(now, t)
	s.report(now, t, Evidence{Remote: true})
}
