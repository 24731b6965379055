package caller

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/carawayhold/carawayhold/config"
)

// Table is an immutable routing table. A new configuration replaces the whole
// table.
type Table struct {
	revision int64
	services map[string]*service
	hosts    map[string]prefixes // the key "" holds the routes for any host
	problems []string
}

// prefixes maps a path prefix to the routes that have it.
type prefixes map[string][]route

// route is one route with its class.
type route struct {
	methods []string
	class   *class
}

// match is the result of a routing decision.
type match uint8

const (
	matchFound match = iota
	matchNoPath
	matchNoMethod
)

// Revision returns the configuration revision of the table.
func (t *Table) Revision() int64 { return t.revision }

// Problems describes the routes that were left out, because a class is missing
// or another service has the same route.
func (t *Table) Problems() []string { return t.problems }

// NewTable builds the table of a configuration. It keeps the usable part of a
// service with contradictory routes, so that one service cannot keep an
// accepted configuration from taking effect.
func NewTable(revision int64, services []config.Service, parts Parts) *Table {
	t := &Table{revision: revision, services: map[string]*service{}, hosts: map[string]prefixes{}}
	ordered := slices.Clone(services)
	slices.SortFunc(ordered, func(a, b config.Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range ordered {
		t.addService(&ordered[i], parts)
	}
	return t
}

func (t *Table) addService(c *config.Service, parts Parts) {
	s := newService(c, parts)
	t.services[c.Name] = s
	for _, r := range c.Routes {
		class, ok := s.classes[r.Class]
		if !ok {
			t.problem("service %s: route %s names the unknown class %q", c.Name, r.PathPrefix, r.Class)
			continue
		}
		t.addRoute(r, class)
	}
}

func (t *Table) addRoute(r config.Route, c *class) {
	host := hostName(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = prefixes{}
	}
	for _, v := range t.hosts[host][r.PathPrefix] {
		if overlap(v.methods, r.Methods) {
			t.problem("service %s: route %s%s is already a route of service %s",
				c.service.config.Name, r.Host, r.PathPrefix, v.class.service.config.Name)
			return
		}
	}
	t.hosts[host][r.PathPrefix] = append(t.hosts[host][r.PathPrefix], route{methods: r.Methods, class: c})
}

func (t *Table) problem(format string, values ...any) {
	t.problems = append(t.problems, fmt.Sprintf(format, values...))
}

// overlap reports whether two method lists have a method in common. An empty
// list means all methods; beside a list with methods it applies to the others.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// find returns the class of a request. Routes with the request's host come
// before those for any host, and a longer prefix before a shorter one. A
// prefix matches whole path segments: "/a" matches "/a" and "/a/b", not "/ab".
// If no route of the longest prefix has the method, shorter prefixes are not
// tried: they may belong to a class with a weaker repeat rule.
func (t *Table) find(host, path, method string) (*class, match) {
	if routes, ok := t.hosts[hostName(host)]; ok {
		if c, m := routes.find(path, method); m != matchNoPath {
			return c, m
		}
	}
	return t.hosts[""].find(path, method)
}

func (p prefixes) find(path, method string) (*class, match) {
	for end := len(path); end > 0; {
		if routes, ok := p[path[:end]]; ok {
			return selectMethod(routes, method)
		}
		end = shorter(path, end)
	}
	return nil, matchNoPath
}

// shorter returns the length of the next shorter candidate prefix: without the
// final slash, or up to and including the previous slash.
func shorter(path string, end int) int {
	if path[end-1] == '/' {
		return end - 1
	}
	return strings.LastIndexByte(path[:end], '/') + 1
}

// selectMethod prefers a route that names the method to one for all methods.
func selectMethod(routes []route, method string) (*class, match) {
	var all *class
	for _, r := range routes {
		if slices.Contains(r.methods, method) {
			return r.class, matchFound
		}
		if len(r.methods) == 0 {
			all = r.class
		}
	}
	if all == nil {
		return nil, matchNoMethod
	}
	return all, matchFound
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil && strings.Contains(host, ":") {
		host = name
	}
	return strings.ToLower(host)
}
