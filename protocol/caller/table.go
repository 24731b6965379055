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
	shards   map[shardKey]prefixes
	problems []string
}

// shardKey names the part of a table that holds the routes of one host, ""
// for any host, whose path prefixes have the same first segment. A change
// copies only the shards that it touches.
type shardKey struct {
	host    string
	segment string
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
	t := &Table{revision: revision, services: map[string]*service{}, shards: map[shardKey]prefixes{}}
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
	key := shardOf(r)
	if t.shards[key] == nil {
		t.shards[key] = prefixes{}
	}
	present := t.shards[key][r.PathPrefix]
	for _, v := range present {
		if overlap(v.methods, r.Methods) {
			t.problem("service %s: route %s%s is already a route of service %s",
				c.service.config.Name, r.Host, r.PathPrefix, v.class.service.config.Name)
			return
		}
	}
	// The present routes may belong to the table that this one was made from.
	t.shards[key][r.PathPrefix] = append(slices.Clip(present), route{methods: r.Methods, class: c})
}

func shardOf(r config.Route) shardKey {
	return shardKey{host: hostName(r.Host), segment: firstSegment(r.PathPrefix)}
}

// firstSegment returns the first segment of a path, without slashes.
func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	if end := strings.IndexByte(path, '/'); end >= 0 {
		path = path[:end]
	}
	return path
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
	if c, m := t.findHost(hostName(host), path, method); m != matchNoPath {
		return c, m
	}
	return t.findHost("", path, method)
}

func (t *Table) findHost(host, path, method string) (*class, match) {
	segment := firstSegment(path)
	if c, m := t.shards[shardKey{host, segment}].find(path, method); m != matchNoPath {
		return c, m
	}
	if segment == "" || !strings.HasPrefix(path, "/") {
		return nil, matchNoPath
	}
	// Only the prefix "/" has no first segment.
	return t.shards[shardKey{host, ""}].find("/", method)
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
