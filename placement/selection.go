package placement

import (
	"slices"
	"time"
)

// The cost of an endpoint is measured in units of the probability that the attempt
// fails.
const (
	// repeatableRiskFactor reduces the risk of a request that can be retried.
	repeatableRiskFactor = 0.6
	// loadWeight spreads requests, so that a failing endpoint has few in flight.
	loadWeight = 0.12
	// zoneWeight is the cost of traffic between availability zones.
	zoneWeight = 0.04
	// warmingWeight is the cost of an endpoint that is slow during its warm-up.
	warmingWeight = 0.05
	// shedWeight is the cost of an attempt that the endpoint rejects.
	shedWeight = 0.3
	// idleWeight is the bonus of idle endpoints. Without requests, nothing is learned
	// about an endpoint.
	idleWeight = 0.3
)

const (
	// localSamples and otherSamples are the numbers of available endpoints that a
	// selection compares, in the zone of the proxy and in all zones. The best of so
	// many is close to the best of all.
	localSamples = 16
	otherSamples = 12
	// idleSamples is the number of idle endpoints that a selection compares.
	idleSamples = 3
	// suspectSamples is the number of suspected endpoints compared for a last resort.
	suspectSamples = 24
)

// choose returns the endpoint with a free slot and the lowest expected cost, or nil if
// the request should wait. Failing endpoints respond at once and look idle although
// their health checks pass. Even when a third of the endpoints fail like this, requests
// wait for a slot at a healthy endpoint instead of failing at one of them.
func (s *Scheduler) choose(now time.Time, req Request) *target {
	degraded := s.degraded(now)
	best := s.bestHealthy(now, req, degraded)
	if best != nil {
		if t := s.probeWithRepeatable(now, req); t != nil {
			return t
		}
	}
	if t := s.probeWhenDegraded(now, req, degraded); t != nil {
		return t
	}
	if best != nil {
		return best
	}
	if t := s.probeUnderPressure(now, req); t != nil {
		return t
	}
	t := s.leastSuspected(now, req)
	if t != nil && s.shouldWait(now, req, t) {
		return nil
	}
	return t
}

// maxLastResortRisk is the failure probability from which an endpoint is not used even
// as a last resort. A caller whose request was refused may try again; one whose
// non-repeatable request has failed may not.
const maxLastResortRisk = 0.8

// probeWhenDegraded lets a non-repeatable request probe a suspected endpoint while many
// requests are lost. Some of the suspected endpoints have recovered by then, and the
// platform requires that no part of a service stays without requests.
func (s *Scheduler) probeWhenDegraded(now time.Time, req Request, degraded bool) *target {
	if req.Repeatable || req.Retry || !degraded || !s.manyLosses(now) && !s.manyUnused(now) {
		return nil
	}
	return s.takeProbeCandidate(now, req, degradedProbeDelay)
}

const (
	// pressureProbeDelay is the minimum time after a failure before a non-repeatable
	// request probes the endpoint. After a bad spell of some seconds, the regained
	// slots serve as many requests as one second of probes loses.
	pressureProbeDelay = time.Second
	// pressureQueuePerSlot is the number of waiting requests per slot of the healthy
	// endpoints from which capacity counts as short.
	pressureQueuePerSlot = 0.25
)

// probeUnderPressure lets a request probe a suspected endpoint even if it is not
// repeatable, provided that capacity is short. Otherwise the endpoints of a service
// without repeatable requests would stay unused during an overload after their bad
// spells have ended.
func (s *Scheduler) probeUnderPressure(now time.Time, req Request) *target {
	healthy, _ := s.roomFor(now, req)
	if float64(len(s.waiting)) < pressureQueuePerSlot*healthy.slotEquivalents(s.meanServiceTime) {
		return nil
	}
	if t := s.regainingEndpoint(now, req); t != nil {
		return t
	}
	return s.takeProbeCandidate(now, req, pressureProbeDelay)
}

// regainingEndpoint returns a suspected endpoint that has served its last probe, if requests are
// refused for want of slots. One probe after another would leave its other slots unused for
// seconds after each bad spell.
func (s *Scheduler) regainingEndpoint(now time.Time, req Request) *target {
	if len(s.regaining.list) == 0 || req.NoProbe || !s.mustRefuse(now) {
		return nil
	}
	for _, t := range s.regaining.list {
		if t.eligible(now, req) {
			return t
		}
	}
	return nil
}

// takeProbeCandidate removes and returns the first probe candidate that the request may
// use, or nil. The delay counts from the last failure of the endpoint.
func (s *Scheduler) takeProbeCandidate(now time.Time, req Request, delay time.Duration) *target {
	if req.NoProbe {
		return nil
	}
	latest := now.Add(probeInterval - delay)
	for i, t := range s.probeCandidates {
		if t.inFlight > 0 || t.nextProbe.After(latest) || !t.eligible(now, req) || !t.open(now) || t.estimate.value(now) < suspicionThreshold {
			continue
		}
		s.probeCandidates = slices.Delete(s.probeCandidates, i, i+1)
		return t
	}
	return nil
}

// minWaitGain is the minimum reduction of the failure probability for which a request
// waits instead of using a free endpoint.
const minWaitGain = 0.2

// shouldWait reports whether a request should wait for another endpoint although t is
// free. An endpoint that fails at once is always free and would absorb the whole queue
// while all others, suspected or not, are busy.
func (s *Scheduler) shouldWait(now time.Time, req Request, t *target) bool {
	if !now.Before(s.lastResortTime(req)) {
		return false
	}
	better := func(other *target) bool { return other.risk < t.risk-minWaitGain && other.eligible(now, req) }
	return slices.ContainsFunc(s.healthy.list, better) || slices.ContainsFunc(s.suspects.list, better)
}

// eligible reports whether the endpoint may be used for req now.
func (t *target) eligible(now time.Time, req Request) bool {
	return t.usable(req) && !t.restsFor(now, req.Proxy)
}

// usable reports whether the endpoint may be used for req at all.
func (t *target) usable(req Request) bool {
	return !t.draining && !slices.Contains(req.Avoid, t.endpoint.id)
}

// bestHealthy returns the endpoint with the lowest cost in a sample of the healthy
// endpoints that have a free slot.
func (s *Scheduler) bestHealthy(now time.Time, req Request, degraded bool) *target {
	sel := selection{now: now, request: req, maxRisk: 1}
	sel.preferIdle = req.Repeatable || degraded || s.manyUnused(now)
	if len(s.available.list) <= localSamples+otherSamples {
		sel.sample(s, s.available.list, len(s.available.list))
		return sel.best
	}
	sel.sample(s, s.availableInZone(req.Zone).list, localSamples)
	sel.sample(s, s.available.list, otherSamples)
	if sel.preferIdle {
		sel.sampleIdle(s)
	}
	if sel.best == nil && len(s.resting) > 0 {
		// The samples may consist of endpoints that rest.
		sel.sample(s, s.available.list, len(s.available.list))
	}
	return sel.best
}

// leastSuspected returns the endpoint with the lowest cost in a sample of the suspected
// endpoints that have a free slot.
func (s *Scheduler) leastSuspected(now time.Time, req Request) *target {
	sel := selection{now: now, request: req, maxRisk: maxLastResortRisk}
	sel.sample(s, s.suspects.list, suspectSamples)
	return sel.best
}

// selection is a search for the endpoint with the lowest cost.
type selection struct {
	now        time.Time
	request    Request
	preferIdle bool    // gives endpoints without recent requests a bonus
	maxRisk    float64 // exclusive upper bound of the risk
	best       *target
	lowestCost float64
}

// sample considers up to count endpoints of a list, starting at a random one.
func (sel *selection) sample(s *Scheduler, list []*target, count int) {
	if len(list) == 0 {
		return
	}
	offset := s.random.IntN(len(list))
	for i := range min(count, len(list)) {
		sel.consider(list[(offset+i)%len(list)])
	}
}

// sampleIdle considers idle endpoints, which the other samples may not find in time.
func (sel *selection) sampleIdle(s *Scheduler) {
	for tried := 0; tried < idleSamples && len(s.idle) > 0; tried++ {
		i := s.random.IntN(len(s.idle))
		t := s.idle[i]
		if t.inFlight > 0 || t.position[setAvailable] == 0 {
			s.idle = slices.Delete(s.idle, i, i+1)
			continue
		}
		sel.consider(t)
	}
}

func (sel *selection) consider(t *target) {
	if t.inFlight >= t.capacity || t.risk >= sel.maxRisk || !t.eligible(sel.now, sel.request) || !t.open(sel.now) {
		return
	}
	cost := t.cost(sel.now, sel.request) - t.idleBonus(sel.now, sel.request, sel.preferIdle)
	if sel.best == nil || cost < sel.lowestCost {
		sel.best, sel.lowestCost = t, cost
	}
}

// cost is the expected loss of an attempt at the endpoint.
func (t *target) cost(now time.Time, req Request) float64 {
	risk := t.risk
	if req.Repeatable && !req.Retry {
		risk *= repeatableRiskFactor
	}
	cost := risk + loadWeight*float64(t.inFlight)/float64(t.endpoint.slots) + shedWeight*t.shedRisk
	if t.endpoint.zone != req.Zone {
		cost += zoneWeight
	}
	if now.Before(t.endpoint.warmUpEnd) {
		cost += warmingWeight
	}
	return cost
}

const (
	// newEndpointDelay reserves the first request at a new endpoint for a repeatable
	// one, if there is any.
	newEndpointDelay = 1500 * time.Millisecond
	// idleAfter is the time without requests after which an endpoint gets a bonus. The
	// platform requires requests at most endpoints of a service within 2 s.
	idleAfter = time.Second
)

// idleBonus lowers the cost of endpoints without recent requests. If requests were
// concentrated on few endpoints and these failed, no other endpoint would be in use.
// While the service is healthy and few endpoints are idle, only repeatable requests get
// the bonus: a bad spell of an idle endpoint does no harm until a request is sent
// there.
func (t *target) idleBonus(now time.Time, req Request, preferIdle bool) float64 {
	idle, after := now.Sub(t.lastUsed), idleAfter
	switch {
	case t.lastUsed.IsZero():
		idle, after = now.Sub(t.joinedAt), newEndpointDelay
		if req.Repeatable {
			after = 0
		}
	case !preferIdle:
		return 0
	}
	if idle < after {
		return 0
	}
	return idleWeight
}

const (
	// suspicionThreshold is the failure probability from which an endpoint is suspected
	// and gets requests only as probes or as a last resort.
	suspicionThreshold = 0.3
	// probeInterval is the minimum time between a failure of an endpoint and the next
	// probe.
	probeInterval = time.Second
	// probeTimeFactor times the mean service time must be left until the soft deadline
	// of a probing request, so that it can be retried in time after a failure.
	probeTimeFactor = 1.6
)

// probeWithRepeatable lets a repeatable request probe a suspected endpoint, so that its
// capacity is regained after its bad spell has ended.
func (s *Scheduler) probeWithRepeatable(now time.Time, req Request) *target {
	if !req.Repeatable || req.Retry || req.Rerouted || req.SoftDeadline.Sub(now) < time.Duration(probeTimeFactor*float64(s.meanServiceTime)) {
		return nil
	}
	return s.takeProbeCandidate(now, req, probeInterval)
}
