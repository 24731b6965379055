package caller

import (
	"fmt"
	"slices"
	"strings"

	"github.com/carawayhold/carawayhold/config"
)

// Table is an immutable routing table. Changes create a new table.
type Table struct {
	revision int64
	services map[string]*service
	shards   map[shardKey]prefixes
	problems []string
}

// shardKey identifies the shard of a table with the routes of one host, or "" for any
// host, whose path prefixes have the same first segment. WithChanges copies only the
// affected shards.
type shardKey struct {
	host    string
	segment string
}

// prefixes maps a path prefix to its routes.
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

// Revision returns the configuration revision that the table was built from.
func (t *Table) Revision() int64 { return t.revision }

// Problems describes the routes that were left out because their class is unknown or
// they conflict with another route.
func (t *Table) Problems() []string { return t.problems }

// NewTable builds the table of a configuration. It leaves out conflicting routes and
// reports them as Problems, so that one service cannot prevent an accepted
// configuration from taking effect.
func NewTable(revision int64, services []config.Service, dispatchers DispatcherProvider) *Table {
	t := &Table{revision: revision, services: map[string]*service{}, shards: map[shardKey]prefixes{}}
	ordered := slices.Clone(services)
	slices.SortFunc(ordered, func(a, b config.Service) int { return strings.Compare(a.Name, b.Name) })
	for i := range ordered {
		t.addService(&ordered[i], dispatchers)
	}
	return t
}

func (t *Table) addService(c *config.Service, dispatchers DispatcherProvider) {
	s := newService(c, dispatchers)
	t.services[c.Name] = s
	for _, r := range c.Routes {
		class, ok := s.classes[r.Class]
		if !ok {
			t.addProblem("service %s: route %s names the unknown class %q", c.Name, r.PathPrefix, r.Class)
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
		if overlaps(v.methods, r.Methods) {
			t.addProblem("service %s: route %s%s is already a route of service %s",
				c.service.config.Name, r.Host, r.PathPrefix, v.class.service.config.Name)
			return
		}
	}
	// Clip, because the routes may be shared with the table that this one was made from.
	t.shards[key][r.PathPrefix] = append(slices.Clip(present), route{methods: r.Methods, class: c})
}

func shardOf(r config.Route) shardKey {
	return shardKey{host: normalizeHost(r.Host), segment: firstSegment(r.PathPrefix)}
}

// firstSegment returns the first segment of a path, without slashes.
func firstSegment(path string) string {
	path = strings.TrimPrefix(path, "/")
	if end := strings.IndexByte(path, '/'); end >= 0 {
		path = path[:end]
	}
	return path
}

func (t *Table) addProblem(format string, values ...any) {
	t.problems = append(t.problems, fmt.Sprintf(format, values...))
}

// overlaps reports whether two method lists conflict. An empty list matches all methods
// that no other route of the prefix lists, so it conflicts only with an empty list.
func overlaps(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// find returns the class of a request. Routes with the request's host take precedence
// over those for any host, and longer prefixes over shorter ones. A prefix matches whole
// path segments: "/a" matches "/a" and "/a/b" but not "/ab". If no route of the longest
// matching prefix allows the method, shorter prefixes are not tried, because they may
// belong to a class with a less strict repeat rule.
func (t *Table) find(host, path, method string) (*class, match) {
	if c, m := t.findHost(normalizeHost(host), path, method); m != matchNoPath {
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
		end = nextPrefixEnd(path, end)
	}
	return nil, matchNoPath
}

// nextPrefixEnd returns the length of the next shorter candidate prefix: without the
// trailing slash, or up to and including the previous slash.
func nextPrefixEnd(path string, end int) int {
	if path[end-1] == '/' {
		return end - 1
	}
	return strings.LastIndexByte(path[:end], '/') + 1
}

// selectMethod prefers a route that lists the method over one for all methods.
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

// normalizeHost returns a host in lower case without its port.
func normalizeHost(host string) string {
	colon := strings.LastIndexByte(host, ':')
	// Colons inside brackets belong to an IPv6 address.
	if colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
