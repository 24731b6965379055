package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// MinWeight is the lowest weight of a suspected endpoint: 1/16 of its fair share.
const MinWeight = 1.0 / 16

// equalLoad is the difference of relative loads below which two endpoints count
// as equal: less than one request at a limit of 4, so that noise in the figures
// of the peers does not outweigh the zone.
const equalLoad = 0.2

// Result is the end of an attempt, as far as the concurrency limit is concerned.
type Result uint8

// The results of an attempt.
const (
	// ResultServed means that the endpoint worked on the request.
	ResultServed Result = iota + 1
	// ResultShed is a declared refusal; the request was not run.
	ResultShed
	// ResultFailed is any other end. It does not change the limit.
	ResultFailed
)

// Pool holds the endpoints of one service.
type Pool struct {
	zone        string
	random      *rand.Rand
	slots       []*slot
	byName      map[string]*slot
	connections int
	candidates  []*slot // reused between calls of Pick
}

// NewPool returns a pool for a proxy in zone.
func NewPool(zone string, random *rand.Rand, endpoints ...Endpoint) *Pool {
	p := &Pool{zone: zone, random: random, connections: defaultConnections}
	p.SetEndpoints(endpoints)
	return p
}

// SetEndpoints replaces the endpoints. Endpoints that stay keep their state.
func (p *Pool) SetEndpoints(endpoints []Endpoint) {
	byName := make(map[string]*slot, len(endpoints))
	p.slots = p.slots[:0:0]
	for _, e := range endpoints {
		s, ok := p.byName[e.name]
		if !ok {
			s = &slot{weight: 1, limit: newLimiter(e.slots)}
		}
		s.endpoint = e
		s.limit.most = float64(e.slots)
		byName[e.name] = s
		p.slots = append(p.slots, s)
	}
	p.byName = byName
}

// SetConnections sets the most attempts in flight per endpoint, one connection
// each; see ConnectionLimit.
func (p *Pool) SetConnections(limit int) { p.connections = max(1, limit) }

// SetEjected excludes an endpoint or admits it again.
func (p *Pool) SetEjected(name string, ejected bool) {
	if s, ok := p.byName[name]; ok {
		s.ejected = ejected
	}
}

// SetDraining excludes an endpoint that drains, or admits its next generation.
func (p *Pool) SetDraining(name string, leaving bool) {
	if s, ok := p.byName[name]; ok {
		s.leaving = leaving
	}
}

// SetWarmUpLimit bounds the attempts in flight at an endpoint that is warming up. A
// limit of 0 ends the warm-up.
func (p *Pool) SetWarmUpLimit(name string, limit int) {
	if s, ok := p.byName[name]; ok {
		s.coldLimit = max(0, limit)
	}
}

// SetWeight sets the share of an endpoint relative to the others, at least
// MinWeight and at most 1.
func (p *Pool) SetWeight(name string, weight float64) {
	if s, ok := p.byName[name]; ok {
		s.weight = min(1, max(MinWeight, weight))
	}
}

// SetPeersInFlight records the work of all other proxies at an endpoint, which
// counts until the time until.
func (p *Pool) SetPeersInFlight(name string, inFlight int, until time.Time) {
	s, ok := p.byName[name]
	if !ok {
		return
	}
	figure := float64(max(0, inFlight))
	if s.peersUntil.IsZero() {
		s.peersInFlight = figure
	}
	s.peersInFlight += peersWeight * (figure - s.peersInFlight)
	s.peersUntil = until
}

// InFlight returns the attempts of this proxy at each endpoint, for the load
// report to the peers.
func (p *Pool) InFlight() map[string]int {
	figures := make(map[string]int, len(p.slots))
	for _, s := range p.slots {
		figures[s.endpoint.name] = s.inFlight
	}
	return figures
}

// Limit returns the present concurrency limit of an endpoint, or 0 if it is
// unknown.
func (p *Pool) Limit(name string) float64 {
	if s, ok := p.byName[name]; ok {
		return s.limit.value
	}
	return 0
}

// Available reports whether Pick would return an endpoint.
func (p *Pool) Available(now time.Time) bool {
	for _, s := range p.slots {
		if s.usable(now, p.connections) {
			return true
		}
	}
	return false
}

// NextOpen returns the earliest time at which a limit below one admits another
// attempt, and false if no endpoint is waiting for that.
func (p *Pool) NextOpen(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, s := range p.slots {
		at := s.limit.openAt
		if s.ejected || s.leaving || s.inFlight > 0 || !at.After(now) {
			continue
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// Pick chooses an endpoint and counts an attempt at it, which the caller ends
// with Done. Endpoints named in tried are chosen only if no other is available.
// It returns false if no endpoint is available.
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

// Done ends an attempt that took service.
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
		s.limit.space(now, service)
	}
}

func (p *Pool) choose(now time.Time, tried []string) *slot {
	p.candidates = p.candidates[:0]
	total := 0.0
	for _, s := range p.slots {
		if s.usable(now, p.connections) && !slices.Contains(tried, s.endpoint.name) {
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
	return p.better(now, first, second)
}

// draw returns a random candidate other than except, according to the weights.
func (p *Pool) draw(total float64, except *slot) *slot {
	point := p.random.Float64() * total
	var last *slot
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

// better returns the one with less relative load, or among equals the one in the
// proxy's zone.
func (p *Pool) better(now time.Time, a, b *slot) *slot {
	difference := a.load(now) - b.load(now)
	local := b.endpoint.zone == p.zone && a.endpoint.zone != p.zone
	switch {
	case difference > equalLoad, difference > -equalLoad && local:
		return b
	default:
		return a
	}
}
