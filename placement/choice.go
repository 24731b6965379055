package placement

import (
	"slices"
	"time"
)

// slots counts the slots of the endpoints that a may use: of those that are not
// suspected, and of all.
func (s *Scheduler) slots(now time.Time, a Ask) (well, all int) {
	for _, t := range s.order {
		if !t.open(a) {
			continue
		}
		n := t.capacity(now)
		all += n
		if s.failing(now, t) < suspected {
			well += n
		}
	}
	return well, all
}

// open reports whether the endpoint may be used for a at all.
func (t *seat) open(a Ask) bool { return !t.leaving && !slices.Contains(a.Avoid, t.endpoint.id) }

// free reports whether the endpoint has a slot for a.
func (t *seat) free(now time.Time, a Ask) bool { return t.open(a) && t.inFlight < t.capacity(now) }

// The weights of the score of an endpoint, in units of the probability that the
// attempt fails.
const (
	// repeatableRisk scales the risk of a request that can be sent again.
	repeatableRisk = 0.6
	// loadWeight spreads work, so that a failure meets few requests in flight.
	loadWeight = 0.12
	// zoneWeight is the cost of bytes between zones.
	zoneWeight = 0.04
	// warmWeight is the cost of an endpoint that is slow after its start.
	warmWeight = 0.05
	// shedWeight is the cost of an attempt that the endpoint refuses.
	shedWeight = 0.3
	// unusedWeight draws a first request to an endpoint that joined: nothing is
	// learnt about an endpoint without work.
	unusedWeight = 0.3
)

// choose returns the endpoint with a free slot and the lowest expected loss, or nil
// if the request should wait. It answers a third of the endpoints failing with good
// health paths: failing endpoints answer at once and look idle, so work must wait
// for a slot at the others rather than be lost there.
func (s *Scheduler) choose(now time.Time, a Ask) *seat {
	distressed := s.distressed(now)
	best := s.best(now, a, distressed, false)
	if best != nil {
		if t := s.trial(now, a); t != nil {
			return t
		}
		if !a.Repeatable && !a.Again && distressed && (s.muchLost(now) || s.neglected(now)) {
			if t := s.testable(now, a, distressPause); t != nil {
				return t
			}
		}
		return best
	}
	if t := s.sacrifice(now, a); t != nil {
		return t
	}
	t := s.best(now, a, distressed, true)
	if t != nil && s.worthWaiting(now, a, t) {
		return nil
	}
	return t
}

const (
	// sacrificePause is the least time after a failure before a request that must
	// not repeat tests the endpoint. Spells last several seconds.
	sacrificePause = 3 * time.Second
	// sacrificePressure is the number of waiting requests for each slot that is not
	// suspected from which capacity is short.
	sacrificePressure = 0.25
)

// sacrifice lets a request test a suspected endpoint although it cannot be sent
// again, if capacity is short. It answers services that get no repeatable requests:
// without a test, endpoints whose bad spell has ended stay unused in an overload.
func (s *Scheduler) sacrifice(now time.Time, a Ask) *seat {
	well, _ := s.slots(now, a)
	if float64(len(s.waiting)) < sacrificePressure*float64(well) {
		return nil
	}
	return s.testable(now, a, sacrificePause)
}

// testable returns the suspected endpoint that a request which cannot be sent again
// may test, or nil. The pause counts from its last failure.
func (s *Scheduler) testable(now time.Time, a Ask, pause time.Duration) *seat {
	if a.NoTest {
		return nil
	}
	var best *seat
	for _, t := range s.order {
		if !t.open(a) || t.inFlight > 0 || now.Before(t.nextTrial.Add(pause-trialPause)) {
			continue
		}
		if t.belief.value(now) < suspected {
			continue
		}
		if best == nil || t.belief.value(now) < best.belief.value(now) {
			best = t
		}
	}
	return best
}

// waitGain is the least gain in the probability of failure for which a request waits
// for another endpoint than a free one.
const waitGain = 0.2

// worthWaiting reports whether a request should wait for a slot elsewhere although t
// is free. An endpoint that fails at once is always free: it would drain the queue
// while all others, suspected or not, are busy.
func (s *Scheduler) worthWaiting(now time.Time, a Ask, t *seat) bool {
	if !now.Before(s.lastResort(a)) {
		return false
	}
	risk := s.failing(now, t)
	return slices.ContainsFunc(s.order, func(other *seat) bool {
		return other.open(a) && s.failing(now, other) < risk-waitGain
	})
}

// best returns the endpoint with a free slot and the lowest cost, among those that
// are suspected or those that are not.
func (s *Scheduler) best(now time.Time, a Ask, distressed, suspects bool) *seat {
	var best *seat
	lowest := 0.0
	offset := 0
	if len(s.order) > 0 {
		offset = s.random.IntN(len(s.order))
	}
	for i := range s.order {
		t := s.order[(i+offset)%len(s.order)]
		if !t.free(now, a) {
			continue
		}
		risk := s.failing(now, t)
		if risk >= suspected != suspects {
			continue
		}
		if cost := t.cost(now, a, risk) - t.staleBonus(now, a, distressed); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// cost is the expected loss of an attempt at the endpoint.
func (t *seat) cost(now time.Time, a Ask, risk float64) float64 {
	if a.Repeatable && !a.Again {
		risk *= repeatableRisk
	}
	cost := risk + loadWeight*float64(t.inFlight)/float64(t.endpoint.slots) + shedWeight*t.shedShare(now)
	if t.endpoint.zone != a.Zone {
		cost += zoneWeight
	}
	if now.Before(t.endpoint.warmAt) {
		cost += warmWeight
	}
	return cost
}

const (
	// unusedPause leaves the first request at a new endpoint to one that can be sent
	// again, if there is any.
	unusedPause = 1500 * time.Millisecond
	// stalePause is the time without work after which an endpoint is drawn into use
	// again: the platform asks for requests at most endpoints of a service within 2 s.
	stalePause = time.Second
)

// staleBonus lowers the cost of endpoints that have had no work for some time. It
// answers a failure of the endpoints in use: work that is concentrated on few of them
// would have nowhere else to go. While all is well, only requests that can be sent
// again are drawn there, because a bad spell of an idle endpoint harms nobody until a
// request finds it.
func (t *seat) staleBonus(now time.Time, a Ask, distressed bool) float64 {
	idle, pause := now.Sub(t.lastUsed), stalePause
	switch {
	case t.lastUsed.IsZero():
		idle, pause = now.Sub(t.joined), unusedPause
		if a.Repeatable {
			pause = 0
		}
	case !a.Repeatable && !distressed:
		return 0
	}
	if idle < pause {
		return 0
	}
	return unusedWeight
}

// failing returns the probability that an attempt at the endpoint fails. Attempts
// that are overdue count before they end: an endpoint that hangs reports nothing.
func (s *Scheduler) failing(now time.Time, t *seat) float64 {
	p := t.belief.value(now)
	if p >= overdueFailing || t.inFlight == 0 {
		return p
	}
	overdue := 0
	for _, since := range t.since {
		if now.Sub(since) > overdueFactor*s.service {
			overdue++
		}
	}
	switch {
	case overdue >= 2:
		return overdueFailing
	case overdue == 1:
		return max(p, suspected)
	}
	return p
}

const (
	// suspected is the belief from which an endpoint gets work only as a trial, or
	// when nothing else is left.
	suspected = 0.3
	// trialPause is the least time between a failed trial of an endpoint and the next.
	trialPause = time.Second
	// trialRoom times the mean service time must be left of the aim, so that a
	// failed trial does no harm.
	trialRoom = 1.6
)

// trial lets a request that can be sent again test a suspected endpoint, so that
// its capacity returns when its bad spell has ended.
func (s *Scheduler) trial(now time.Time, a Ask) *seat {
	if a.NoTest || !a.Repeatable || a.Again || a.Moved || a.Aim.Sub(now) < time.Duration(trialRoom*float64(s.service)) {
		return nil
	}
	for _, t := range s.order {
		if t.open(a) && t.inFlight == 0 && !now.Before(t.nextTrial) && t.belief.value(now) >= suspected {
			return t
		}
	}
	return nil
}
