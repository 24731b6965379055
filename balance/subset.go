package balance

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// maxEndpointConnections is the number of connections that an endpoint accepts
	// from the whole fleet.
	maxEndpointConnections = 300
	// targetEndpointConnections is the target while each proxy uses only a subset of
	// the endpoints. The number of proxies that select an endpoint varies by about
	// its square root, so the target is three standard deviations below
	// maxEndpointConnections.
	targetEndpointConnections = 250
	// minSubset leaves a second endpoint for a retry.
	minSubset = 2
	// defaultConnections applies until the number of live proxies is known.
	defaultConnections = 8
)

// ConnectionLimit returns the maximum number of connections that each of live proxies
// opens to an endpoint: an equal share of 300, at least 1.
func ConnectionLimit(live int) int {
	return max(1, maxEndpointConnections/max(1, live))
}

// Subset returns the endpoints that the proxy named proxy uses in a fleet of live
// proxies: all of them up to 300 proxies, beyond that as many as keep the
// connections per endpoint under about 300, but at least 2. It uses rendezvous
// hashing, so that a change of the fleet or of the endpoints moves few.
func Subset(proxy string, live int, endpoints []Endpoint) []Endpoint {
	if live <= maxEndpointConnections || len(endpoints) <= minSubset {
		return endpoints
	}
	size := max(minSubset, len(endpoints)*targetEndpointConnections/live)
	seed := xxh3.HashString(proxy)
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b Endpoint) int {
		scoreA, scoreB := xxh3.HashStringSeed(a.name, seed), xxh3.HashStringSeed(b.name, seed)
		if order := cmp.Compare(scoreB, scoreA); order != 0 {
			return order
		}
		return cmp.Compare(a.name, b.name)
	})
	return ranked[:min(size, len(ranked))]
}
