package balance

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// endpointConnections is the number of connections that an endpoint takes
	// from the whole fleet.
	endpointConnections = 300
	// subsetConnections is the target while each proxy uses only a subset. The
	// number of proxies that choose an endpoint varies by about its square root,
	// so the target leaves three standard deviations below endpointConnections.
	subsetConnections = 250
	// minSubset lets a request be tried at a second endpoint.
	minSubset = 2
	// defaultConnections applies until the number of live proxies is known.
	defaultConnections = 8
)

// ConnectionLimit returns the most connections that one of live proxies opens to
// an endpoint: an equal share of 300, at least 1.
func ConnectionLimit(live int) int {
	return max(1, endpointConnections/max(1, live))
}

// Subset returns the endpoints that the proxy named proxy uses when live proxies
// share them: all of them up to 300 proxies, beyond that as many as keep the
// connections per endpoint under about 300, but at least 2. The choice is by
// rendezvous hashing, so a change of the fleet or of the endpoints moves few.
func Subset(proxy string, live int, endpoints []Endpoint) []Endpoint {
	if live <= endpointConnections || len(endpoints) <= minSubset {
		return endpoints
	}
	size := max(minSubset, len(endpoints)*subsetConnections/live)
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
