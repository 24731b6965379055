package placement

import (
	"slices"
	"time"
)

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

const (
	// localSamples and otherSamples are the endpoints with a free slot that a choice
	// looks at, in the zone of the proxy and anywhere: the best of so many is close to
	// the best of all.
	localSamples = 16
	otherSamples = 12
	// idleSamples is the number of endpoints without work that it looks at.
	idleSamples = 3
	// suspectSamples is the number of suspected endpoints that a last resort looks at.
	suspectSamples = 24
)

// choose returns the endpoint with a free slot and the lowest expected loss, or nil
// if the request should wait. It answers a third of the endpoints failing with good
// health paths: failing endpoints answer at once and look idle, so work must wait
// for a slot at the others rather than be lost there.
func (s *Scheduler) choose(now time.Time, a Request) *seat {
	distressed := s.distressed(now)
	best := s.best(now, a, distressed)
	if best != nil {
		if t := s.trial(now, a); t != nil {
			return t
		}
	}
	if t := s.probe(now, a, distressed); t != nil {
		return t
	}
	if best != nil {
		return best
	}
	if t := s.sacrifice(now, a); t != nil {
		return t
	}
	t := s.leastSuspected(now, a)
	if t != nil && s.worthWaiting(now, a, t) {
		return nil
	}
	return t
}

// lastResortRisk is the probability of failure from which an endpoint gets no work as a
// last resort: a caller that is refused may come back, one whose request that must not
// repeat has failed may not.
const lastResortRisk = 0.8

// probe lets a request that must not repeat test a suspected endpoint while much is
// lost: a part of those that are suspected are well again, and no part of a service may
// stay without work then.
func (s *Scheduler) probe(now time.Time, a Request, distressed bool) *seat {
	if a.Repeatable || a.Retry || !distressed || !s.muchLost(now) && !s.neglected(now) {
		return nil
	}
	return s.testable(now, a, distressPause)
}

const (
	// sacrificePause is the least time after a failure before a request that must
	// not repeat tests the endpoint: a spell of some seconds that has ended gives back as
	// many slots as the tests of a second cost requests.
	sacrificePause = time.Second
	// sacrificePressure is the number of waiting requests for each slot that is not
	// suspected from which capacity is short.
	sacrificePressure = 0.25
)

// sacrifice lets a request test a suspected endpoint although it cannot be sent
// again, if capacity is short. It answers services that get no repeatable requests:
// without a test, endpoints whose bad spell has ended stay unused in an overload.
func (s *Scheduler) sacrifice(now time.Time, a Request) *seat {
	well, _ := s.slotsFor(a)
	if float64(len(s.waiting)) < sacrificePressure*float64(well) {
		return nil
	}
	return s.testable(now, a, sacrificePause)
}

// testable returns the suspected endpoint with the lowest risk that a request may test,
// or nil. The pause counts from its last failure.
func (s *Scheduler) testable(now time.Time, a Request, pause time.Duration) *seat {
	if a.NoProbe {
		return nil
	}
	latest := now.Add(trialPause - pause)
	for i, t := range s.tests {
		if t.inFlight > 0 || t.nextTrial.After(latest) || !t.open(a) || t.belief.value(now) < suspected {
			continue
		}
		s.tests = slices.Delete(s.tests, i, i+1)
		return t
	}
	return nil
}

// waitGain is the least gain in the probability of failure for which a request waits
// for another endpoint than a free one.
const waitGain = 0.2

// worthWaiting reports whether a request should wait for a slot elsewhere although t
// is free. An endpoint that fails at once is always free: it would drain the queue
// while all others, suspected or not, are busy.
func (s *Scheduler) worthWaiting(now time.Time, a Request, t *seat) bool {
	if !now.Before(s.lastResort(a)) {
		return false
	}
	better := func(other *seat) bool { return other.risk < t.risk-waitGain && other.open(a) }
	return slices.ContainsFunc(s.well.list, better) || slices.ContainsFunc(s.suspects.list, better)
}

// open reports whether the endpoint may be used for a at all.
func (t *seat) open(a Request) bool { return !t.leaving && !slices.Contains(a.Avoid, t.endpoint.id) }

// best returns the endpoint that is not suspected, has a free slot and has the lowest
// cost of those that it looks at.
func (s *Scheduler) best(now time.Time, a Request, distressed bool) *seat {
	c := choice{now: now, ask: a, mostRisk: 1}
	c.drawsIdle = a.Repeatable || distressed || s.neglected(now)
	if len(s.ready.list) <= localSamples+otherSamples {
		c.sample(s, s.ready.list, len(s.ready.list))
		return c.best
	}
	c.sample(s, s.local(a.Zone).list, localSamples)
	c.sample(s, s.ready.list, otherSamples)
	if c.drawsIdle {
		c.sampleIdle(s)
	}
	return c.best
}

// leastSuspected returns the suspected endpoint with a free slot and the lowest cost of
// those that it looks at.
func (s *Scheduler) leastSuspected(now time.Time, a Request) *seat {
	c := choice{now: now, ask: a, mostRisk: lastResortRisk}
	c.sample(s, s.suspects.list, suspectSamples)
	return c.best
}

// choice is a search for the endpoint with the lowest cost.
type choice struct {
	now       time.Time
	ask       Request
	drawsIdle bool    // to endpoints that have had no work for some time
	mostRisk  float64 // of an endpoint that may be chosen
	best      *seat
	lowest    float64
}

// sample considers so many endpoints of a list, from a random one on.
func (c *choice) sample(s *Scheduler, list []*seat, count int) {
	if len(list) == 0 {
		return
	}
	offset := s.random.IntN(len(list))
	for i := range min(count, len(list)) {
		c.consider(list[(offset+i)%len(list)])
	}
}

// sampleIdle considers endpoints without work, which no sample may find in time.
func (c *choice) sampleIdle(s *Scheduler) {
	for looked := 0; looked < idleSamples && len(s.idle) > 0; looked++ {
		i := s.random.IntN(len(s.idle))
		t := s.idle[i]
		if t.inFlight > 0 || t.place[setReady] == 0 {
			s.idle = slices.Delete(s.idle, i, i+1)
			continue
		}
		c.consider(t)
	}
}

func (c *choice) consider(t *seat) {
	if t.inFlight >= t.capacity || t.risk >= c.mostRisk || !t.open(c.ask) {
		return
	}
	cost := t.cost(c.now, c.ask) - t.staleBonus(c.now, c.ask, c.drawsIdle)
	if c.best == nil || cost < c.lowest {
		c.best, c.lowest = t, cost
	}
}

// cost is the expected loss of an attempt at the endpoint.
func (t *seat) cost(now time.Time, a Request) float64 {
	risk := t.risk
	if a.Repeatable && !a.Retry {
		risk *= repeatableRisk
	}
	cost := risk + loadWeight*float64(t.inFlight)/float64(t.endpoint.slots) + shedWeight*t.shedRisk
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
// would have nowhere else to go. While all is well and few endpoints are idle, only
// requests that can be sent again are drawn there, because a bad spell of an idle
// endpoint harms nobody until a request finds it.
func (t *seat) staleBonus(now time.Time, a Request, drawn bool) float64 {
	idle, pause := now.Sub(t.lastUsed), stalePause
	switch {
	case t.lastUsed.IsZero():
		idle, pause = now.Sub(t.joined), unusedPause
		if a.Repeatable {
			pause = 0
		}
	case !drawn:
		return 0
	}
	if idle < pause {
		return 0
	}
	return unusedWeight
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
func (s *Scheduler) trial(now time.Time, a Request) *seat {
	if !a.Repeatable || a.Retry || a.Rerouted || a.SoftDeadline.Sub(now) < time.Duration(trialRoom*float64(s.service)) {
		return nil
	}
	return s.testable(now, a, trialPause)
}
