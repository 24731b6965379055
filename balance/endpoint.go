package balance

import "time"

// peerLoadWeight is the weight of a new value in the moving average of the load from
// other proxies. The values are snapshots of requests that take some 20 ms,
// exchanged twice a second: unsmoothed, they send all proxies to the same endpoint
// until the next exchange.
const peerLoadWeight = 0.125

// Endpoint describes one backend server to a Pool.
type Endpoint struct {
	name  string
	zone  string
	slots int
}

// NewEndpoint returns an endpoint that processes up to slots requests at the same
// time. Values below 1 count as 1.
func NewEndpoint(name, zone string, slots int) Endpoint {
	return Endpoint{name: name, zone: zone, slots: max(1, slots)}
}

// Name returns the configured name.
func (e Endpoint) Name() string { return e.name }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.zone }

// Slots returns the number of requests that the endpoint processes at the same time.
func (e Endpoint) Slots() int { return e.slots }

// endpointState is the state of one endpoint in a pool.
type endpointState struct {
	endpoint Endpoint
	limit    limiter
	inFlight int
	weight   float64
	ejected  bool
	draining bool
	// warmUpLimit is the maximum number of requests in flight while the endpoint
	// warms up; zero if it is not warming up.
	warmUpLimit int
	// peersInFlight is the smoothed number of requests in flight from all other
	// proxies, valid until peersUntil.
	peersInFlight float64
	peersUntil    time.Time
}

// usable reports whether the endpoint can take an attempt now.
func (s *endpointState) usable(now time.Time, maxConnections int) bool {
	if s.ejected || s.draining || s.inFlight >= maxConnections {
		return false
	}
	if s.warmUpLimit > 0 && s.inFlight >= s.warmUpLimit {
		return false
	}
	return s.limit.allows(now, s.inFlight)
}

// load returns the requests in flight relative to the limit. While the load from
// other proxies is known, their share of the slots is added.
func (s *endpointState) load(now time.Time) float64 {
	own := float64(s.inFlight) / s.limit.value
	if now.Before(s.peersUntil) {
		own += s.peersInFlight / float64(s.endpoint.slots)
	}
	return own
}
