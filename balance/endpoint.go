package balance

import "time"

// peersWeight is the weight of a new figure of the peers. The figures are
// snapshots of work that takes some 20 ms, exchanged twice a second: unsmoothed
// they send all proxies to the same endpoint until the next exchange.
const peersWeight = 0.125

// Endpoint describes one backend server to a Pool.
type Endpoint struct {
	name  string
	zone  string
	slots int
}

// NewEndpoint describes an endpoint with the number of requests that it works on
// at the same time. Slots below 1 count as 1.
func NewEndpoint(name, zone string, slots int) Endpoint {
	return Endpoint{name: name, zone: zone, slots: max(1, slots)}
}

// Name returns the configured name.
func (e Endpoint) Name() string { return e.name }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.zone }

// Slots returns the number of requests the endpoint works on at the same time.
func (e Endpoint) Slots() int { return e.slots }

// slot is the state of one endpoint in a pool.
type slot struct {
	endpoint Endpoint
	limit    limiter
	inFlight int
	weight   float64
	ejected  bool
	leaving  bool
	// coldLimit is the most requests in flight while the endpoint is cold; zero
	// if it is warm.
	coldLimit int
	// peersInFlight is the smoothed work in flight of all other proxies, valid
	// until peersUntil.
	peersInFlight float64
	peersUntil    time.Time
}

// usable reports whether the endpoint can take an attempt now.
func (s *slot) usable(now time.Time, connections int) bool {
	if s.ejected || s.leaving || s.inFlight >= connections {
		return false
	}
	if s.coldLimit > 0 && s.inFlight >= s.coldLimit {
		return false
	}
	return s.limit.allows(now, s.inFlight)
}

// load is the work in flight relative to the limit. While fresh figures of the
// peers are held, the occupancy of the endpoint by the fleet is added.
func (s *slot) load(now time.Time) float64 {
	own := float64(s.inFlight) / s.limit.value
	if now.Before(s.peersUntil) {
		own += s.peersInFlight / float64(s.endpoint.slots)
	}
	return own
}
