package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// MinWeight is the lowest weight of a suspected endpoint, relative to its fair share.
const MinWeight = 1.0 / 16

// loadTolerance is the difference of relative loads below which two endpoints count
// as equally loaded: less than one request at a limit of 4, so that noise in the
// load from other proxies does not override the zone preference.
const loadTolerance = 0.2

// Result is the result of an attempt with regard to the concurrency limit.
type Result uint8

// The results of an attempt.
const (
	// ResultServed means that the endpoint processed the request.
	ResultServed Result = iota + 1
	// ResultShed is a declared refusal; the request was not run.
	ResultShed
	// ResultFailed is any other result. It does not change the limit.
	ResultFailed
)

// Pool holds the endpoints of one service.
type Pool struct {
	zone           string
	random         *rand.Rand
	endpoints      []*endpointState
	byName         map[string]*endpointState
	maxConnections int
	candidates     []*endpointState // reused between calls of Pick
}

// NewPool returns a pool for a proxy in zone.
func NewPool(zone string, random *rand.Rand, endpoints ...Endpoint) *Pool {
	p := &Pool{zone: zone, random: random, maxConnections: defaultConnections}
	p.SetEndpoints(endpoints)
	return p
}

// SetEndpoints replaces the endpoints. Those that remain keep their state.
func (p *Pool) SetEndpoints(endpoints []Endpoint) {
	byName := make(map[string]*endpointState, len(endpoints))
	p.endpoints = p.endpoints[:0:0]
	for _, e := range endpoints {
		s, ok := p.byName[e.name]
		if !ok {
			s = &endpointState{weight: 1, limit: newLimiter(e.slots)}
		}
		s.endpoint = e
		s.limit.maxValue = float64(e.slots)
		byName[e.name] = s
		p.endpoints = append(p.endpoints, s)
	}
	p.byName = byName
}

// SetConnections sets the maximum number of attempts in flight per endpoint, each of
// which needs a connection; see ConnectionLimit.
func (p *Pool) SetConnections(limit int) { p.maxConnections = max(1, limit) }

// SetEjected excludes an endpoint, or includes it again.
func (p *Pool) SetEjected(name string, ejected bool) {
	if s, ok := p.byName[name]; ok {
		s.ejected = ejected
	}
}

// SetDraining excludes a draining endpoint, or includes its next generation.
func (p *Pool) SetDraining(name string, draining bool) {
	if s, ok := p.byName[name]; ok {
		s.draining = draining
	}
}

// SetWarmUpLimit bounds the attempts in flight at an endpoint that is warming up. A
// limit of 0 ends the warm-up.
func (p *Pool) SetWarmUpLimit(name string, limit int) {
	if s, ok := p.byName[name]; ok {
		s.warmUpLimit = max(0, limit)
	}
}

// SetWeight sets the weight of an endpoint relative to the others, between MinWeight
// and 1.
func (p *Pool) SetWeight(name string, weight float64) {
	if s, ok := p.byName[name]; ok {
		s.weight = min(1, max(MinWeight, weight))
	}
}

// SetPeersInFlight sets the number of requests of all other proxies at an endpoint,
// which is used until the time until.
func (p *Pool) SetPeersInFlight(name string, inFlight int, until time.Time) {
	s, ok := p.byName[name]
	if !ok {
		return
	}
	value := float64(max(0, inFlight))
	if s.peersUntil.IsZero() {
		s.peersInFlight = value
	}
	s.peersInFlight += peerLoadWeight * (value - s.peersInFlight)
	s.peersUntil = until
}

// InFlight returns the number of attempts in flight at each endpoint, for the load
// report to the other proxies.
func (p *Pool) InFlight() map[string]int {
	inFlight := make(map[string]int, len(p.endpoints))
	for _, s := range p.endpoints {
		inFlight[s.endpoint.name] = s.inFlight
	}
	return inFlight
}

// Limit returns the current concurrency limit of an endpoint, or 0 if it is unknown.
func (p *Pool) Limit(name string) float64 {
	if s, ok := p.byName[name]; ok {
		return s.limit.value
	}
	return 0
}

// Available reports whether Pick would return an endpoint.
func (p *Pool) Available(now time.Time) bool {
	for _, s := range p.endpoints {
		if s.usable(now, p.maxConnections) {
			return true
		}
	}
	return false
}

// NextOpen returns the earliest time at which an endpoint with a limit below one
// accepts another attempt, and false if there is no such endpoint.
func (p *Pool) NextOpen(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, s := range p.endpoints {
		at := s.limit.nextAttemptAt
		if s.ejected || s.draining || s.inFlight > 0 || !at.After(now) {
			continue
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// Pick picks an endpoint and counts an attempt in flight, which the caller ends with
// Done. Endpoints named in tried are picked only if no other is available. It
// returns false if no endpoint is available.
func (p *Pool) Pick(now time.Time, tried ...string) (Endpoint, bool) {
	chosen := p.choose(now, tried)
	if chosen == nil && len(tried) > 0 {
		chosen = p.choose(now, nil)
	}
	if chosen == nil {
		return Endpoint{}, false
	}
	chosen.inFlight++
	return chosen.endpoint, true
}

// Done records the end of an attempt and its duration service.
func (p *Pool) Done(now time.Time, name string, result Result, service time.Duration) {
	s, ok := p.byName[name]
	if !ok {
		return
	}
	inUse := s.limit.value < 1 || float64(s.inFlight+1) > s.limit.value
	s.inFlight = max(0, s.inFlight-1)
	switch result {
	case ResultServed:
		s.limit.served(now, service, inUse)
	case ResultShed:
		s.limit.shed(now)
	default:
		s.limit.delayNextAttempt(now, service)
	}
}

func (p *Pool) choose(now time.Time, tried []string) *endpointState {
	p.candidates = p.candidates[:0]
	total := 0.0
	for _, s := range p.endpoints {
		if s.usable(now, p.maxConnections) && !slices.Contains(tried, s.endpoint.name) {
			p.candidates = append(p.candidates, s)
			total += s.weight
		}
	}
	if len(p.candidates) == 0 {
		return nil
	}
	first := p.draw(total, nil)
	if len(p.candidates) == 1 {
		return first
	}
	second := p.draw(total-first.weight, first)
	return p.lessLoaded(now, first, second)
}

// draw returns a random candidate other than except, according to the weights.
func (p *Pool) draw(total float64, except *endpointState) *endpointState {
	point := p.random.Float64() * total
	var last *endpointState
	for _, s := range p.candidates {
		if s == except {
			continue
		}
		last = s
		if point -= s.weight; point < 0 {
			return s
		}
	}
	return last
}

// lessLoaded returns the endpoint with the lower relative load, or among equally
// loaded ones the one in the zone of the proxy.
func (p *Pool) lessLoaded(now time.Time, a, b *endpointState) *endpointState {
	difference := a.load(now) - b.load(now)
	local := b.endpoint.zone == p.zone && a.endpoint.zone != p.zone
	switch {
	case difference > loadTolerance, difference > -loadTolerance && local:
		return b
	default:
		return a
	}
}
