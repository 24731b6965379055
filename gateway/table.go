package gateway

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"

	"github.com/carawayhold/carawayhold/protocol/caller/http1"
)

// table is the routing table of one version of the configuration.
type table struct {
	version     uint64
	activeSince instant            // when this version was applied
	hosts       map[string][]Route // longest prefix first
	services    map[string]Service
	limits      http1.Limits
}

func newTable(c *Configuration) *table {
	t := &table{
		version: c.Version, activeSince: bootTime(), hosts: map[string][]Route{}, services: map[string]Service{},
		limits: http1.Limits{
			HeaderBytes: c.Limits.HeaderBytes, BodyBytes: c.Limits.BodyBytes,
			HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout,
		},
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// find returns the route of the host with the longest path prefix that matches the target,
// or nil.
func (t *table) find(host, target string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ := strings.Cut(target, "?")
	routes := t.hosts[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// pickService returns a random service of the route, in proportion to the weights.
func (r *Route) pickService() string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point := rand.Float64() * total
	for _, s := range r.Services {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
