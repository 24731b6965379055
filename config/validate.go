package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Limits of the numbers in a service description. The maxima are far above realistic
// values and catch a wrong unit, such as microseconds for milliseconds.
const (
	maxSlots            = 10_000
	maxConnections      = 100_000
	maxPriority         = 100
	maxDeadlineMillis   = 10 * 60 * 1000
	maxQueueLimit       = 100_000
	maxBufferBytes      = 64 << 20
	maxWarmUpMillis     = 60 * 60 * 1000
	maxRetryBudget      = 100
	maxOncePartitions   = 4096
	minRetentionMillis  = 60 * 1000
	maxRetentionMillis  = 30 * 24 * 3600 * 1000
	maxServicesPerPlan  = 1000
	maxEndpoints        = 10_000
	maxRoutes           = 10_000
	maxClasses          = 100
	maxPathPrefixLength = 1024
)

const wantNameSyntax = "1 to 63 lower-case letters, digits, '-', '_' and '.', starting with a letter or digit"

// Names are part of object names and header values, which restricts their characters.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	methods       = map[string]bool{
		"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
	}
)

// ValidName reports whether name is valid for a service, endpoint, class, zone, team
// or operator.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate checks a document that was not parsed from text. The error is of type
// Mistakes and has no positions.
func (d Document) Validate() error { return d.check().sortedAndLimited().errorOrNil() }

// Validate checks one service. The error is of type Mistakes.
func (s Service) Validate() error {
	var mistakes Mistakes
	s.check("", &mistakes)
	return mistakes.errorOrNil()
}

func (d Document) check() Mistakes {
	var mistakes Mistakes
	if len(d.Services) == 0 && len(d.Remove) == 0 {
		mistakes.add("", "at least one service to set or to remove", "the document is empty")
	}
	if len(d.Services) > maxServicesPerPlan {
		mistakes.add("services", fmt.Sprintf("at most %d", maxServicesPerPlan), "%d services", len(d.Services))
		return mistakes
	}
	names := map[string]string{}
	for i, s := range d.Services {
		field := fmt.Sprintf("services[%d]", i)
		s.check(field, &mistakes)
		checkUnique(names, s.Name, field+".name", "service", &mistakes)
	}
	for i, name := range d.Remove {
		field := fmt.Sprintf("remove[%d]", i)
		checkName(name, field, &mistakes)
		checkUnique(names, name, field, "service", &mistakes)
	}
	routes := map[routeKey]string{}
	for i, s := range d.Services {
		checkRouteKeys(s, fmt.Sprintf("services[%d]", i), routes, &mistakes)
	}
	return mistakes
}

func (s Service) check(path string, mistakes *Mistakes) {
	checkName(s.Name, joinPath(path, "name"), mistakes)
	s.checkEndpoints(path, mistakes)
	s.checkClasses(path, mistakes)
	s.checkRoutes(path, mistakes)
	s.checkSettings(path, mistakes)
}

func (s Service) checkSettings(path string, mistakes *Mistakes) {
	if len(s.Endpoints) > 0 || s.Floor < 0 {
		checkRange(int64(s.Floor), 0, int64(len(s.Endpoints)), joinPath(path, "floor"), "the service's endpoints", mistakes)
	}
	switch s.WeightingOrDefault() {
	case WeightingBalanced, WeightingDetection, WeightingFalseEjections:
	default:
		want := fmt.Sprintf("%q, %q or %q", WeightingBalanced, WeightingDetection, WeightingFalseEjections)
		mistakes.add(joinPath(path, "weighting"), want, "unknown weighting %s", quote(string(s.Weighting)))
	}
	teams := map[string]string{}
	for i, t := range s.Teams {
		field := fmt.Sprintf("%s[%d]", joinPath(path, "teams"), i)
		checkName(t, field, mistakes)
		checkUnique(teams, t, field, "team", mistakes)
	}
	if s.EchoHeader != "" && !headerPattern.MatchString(s.EchoHeader) {
		mistakes.add(joinPath(path, "echoHeader"), "a header name of letters, digits and '-'",
			"%s is not a header name", quote(s.EchoHeader))
	}
	checkOptionalRange(s.BufferBytes, 1, maxBufferBytes, joinPath(path, "heldBytes"), "bytes", mistakes)
	checkOptionalRange(s.WarmUpMillis, 1, maxWarmUpMillis, joinPath(path, "warmUpMillis"), "milliseconds", mistakes)
	checkOptionalRange(int64(s.RetryBudgetPercent), 1, maxRetryBudget, joinPath(path, "retryBudgetPercent"), "percent", mistakes)
	checkOptionalRange(int64(s.OncePartitions), 1, maxOncePartitions, joinPath(path, "oncePartitions"), "partitions", mistakes)
	checkOptionalRange(s.RetentionMillis, minRetentionMillis, maxRetentionMillis, joinPath(path, "retentionMillis"),
		"milliseconds", mistakes)
}

func (s Service) checkEndpoints(path string, mistakes *Mistakes) {
	path = joinPath(path, "endpoints")
	checkCount(len(s.Endpoints), maxEndpoints, path, "endpoint", mistakes)
	names := map[string]string{}
	addresses := map[string]string{}
	for i, e := range s.Endpoints {
		field := fmt.Sprintf("%s[%d]", path, i)
		checkName(e.Name, field+".name", mistakes)
		checkUnique(names, e.Name, field+".name", "endpoint", mistakes)
		checkAddress(e.Address, field+".address", mistakes)
		checkUnique(addresses, e.Address, field+".address", "address", mistakes)
		checkName(e.Zone, field+".zone", mistakes)
		checkRange(int64(e.Slots), 1, maxSlots, field+".slots", "slots", mistakes)
		checkOptionalRange(int64(e.MaxConnections), 1, maxConnections, field+".connections", "connections", mistakes)
	}
}

func checkAddress(address, field string, mistakes *Mistakes) {
	const want = "an IP address and a port, for example 10.0.0.7:8080 or [fd00::7]:8080"
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		mistakes.add(field, want, "%s is not an address", quote(address))
	case parsed.Port() == 0:
		mistakes.add(field, want, "port 0 in %s", quote(address))
	case parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		mistakes.add(field, want, "%s does not name one server", quote(address))
	case parsed.String() != address:
		// The check for duplicates compares text, so each address must have only one
		// valid spelling.
		mistakes.add(field, parsed.String(), "%s is not in canonical form", quote(address))
	}
}

func (s Service) checkClasses(path string, mistakes *Mistakes) {
	path = joinPath(path, "classes")
	checkCount(len(s.Classes), maxClasses, path, "class", mistakes)
	names := map[string]string{}
	for i, c := range s.Classes {
		field := fmt.Sprintf("%s[%d]", path, i)
		checkName(c.Name, field+".name", mistakes)
		checkUnique(names, c.Name, field+".name", "class", mistakes)
		checkRange(int64(c.Priority), 0, maxPriority, field+".priority", "", mistakes)
		checkRange(c.DeadlineMillis, 1, maxDeadlineMillis, field+".deadlineMillis", "milliseconds", mistakes)
		checkRange(int64(c.QueueLimit), 0, maxQueueLimit, field+".queueLimit", "requests", mistakes)
		if c.Repeat != RepeatAllowed && c.Repeat != RepeatNever {
			want := fmt.Sprintf("%q or %q", RepeatAllowed, RepeatNever)
			mistakes.add(field+".repeat", want, "unknown repeat rule %s", quote(string(c.Repeat)))
		}
		if c.Hedge && c.Repeat == RepeatNever {
			mistakes.add(field+".hedge", `false, or "repeat": "allowed"`,
				"hedging sends a request twice, which the repeat rule %q forbids", RepeatNever)
		}
	}
}

func (s Service) checkRoutes(path string, mistakes *Mistakes) {
	classes := map[string]bool{}
	var names []string
	for _, c := range s.Classes {
		classes[c.Name] = true
		names = append(names, quote(c.Name))
	}
	path = joinPath(path, "routes")
	if len(s.Routes) > maxRoutes {
		mistakes.add(path, fmt.Sprintf("at most %d", maxRoutes), "%d routes", len(s.Routes))
	}
	for i, r := range s.Routes {
		field := fmt.Sprintf("%s[%d]", path, i)
		r.check(field, mistakes)
		if !classes[r.Class] && len(s.Classes) > 0 {
			mistakes.add(field+".class", "one of "+strings.Join(names, ", "), "the service has no class %s", quote(r.Class))
		}
	}
}

func (r Route) check(field string, mistakes *Mistakes) {
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		mistakes.add(field+".host", "a lower-case host name without port", "%s is not a host name", quote(r.Host))
	}
	if !validPathPrefix(r.PathPrefix) {
		mistakes.add(field+".pathPrefix", "a path that starts with '/', of printable ASCII without '?', '#', '%', '//', '/./' or '/../'",
			"%s is not a path prefix", quote(r.PathPrefix))
	}
	seen := map[string]string{}
	for i, m := range r.Methods {
		methodField := fmt.Sprintf("%s.methods[%d]", field, i)
		if !methods[m] {
			mistakes.add(methodField, "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS", "unknown method %s", quote(m))
		}
		checkUnique(seen, m, methodField, "method", mistakes)
	}
}

// validPathPrefix rejects prefixes that no request path can match. Requests are
// matched by their decoded path, so a prefix with an escape would never match.
func validPathPrefix(prefix string) bool {
	if !strings.HasPrefix(prefix, "/") || len(prefix) > maxPathPrefixLength {
		return false
	}
	for i := range len(prefix) {
		if prefix[i] <= ' ' || prefix[i] > '~' {
			return false
		}
	}
	slashed := prefix + "/"
	for _, part := range []string{"/./", "/../"} {
		if strings.Contains(slashed, part) {
			return false
		}
	}
	return !strings.Contains(prefix, "//") && !strings.ContainsAny(prefix, "?#%")
}

// routeKey identifies the requests that a route matches. It must be unique, since
// otherwise the order of the routes would decide which service receives a request.
type routeKey struct{ host, pathPrefix, method string }

const anyMethod = "*"

// keys returns one key per method. A route for all methods and a route for one method
// may have the same host and path prefix; the route for one method wins.
func (r Route) keys() []routeKey {
	if len(r.Methods) == 0 {
		return []routeKey{{r.Host, r.PathPrefix, anyMethod}}
	}
	var keys []routeKey
	for _, m := range r.Methods {
		keys = append(keys, routeKey{r.Host, r.PathPrefix, m})
	}
	return keys
}

// checkRouteKeys reports routes whose key is already in owners and adds the others.
// owners maps a key to a description of the route that has it.
func checkRouteKeys(s Service, path string, owners map[routeKey]string, mistakes *Mistakes) {
	for i, r := range s.Routes {
		field := fmt.Sprintf("%s[%d]", joinPath(path, "routes"), i)
		if !validPathPrefix(r.PathPrefix) {
			continue
		}
		for _, k := range r.keys() {
			owner, taken := owners[k]
			if taken && owner != field {
				mistakes.add(field, "another host, path prefix or method", "the route %s duplicates %s", k, owner)
				break
			}
			owners[k] = field
		}
	}
}

// String returns the route as "METHOD host/path".
func (k routeKey) String() string { return k.method + " " + k.host + k.pathPrefix }

func checkName(name, field string, mistakes *Mistakes) {
	if !ValidName(name) {
		mistakes.add(field, wantNameSyntax, "%s is not a name", quote(name))
	}
}

// checkUnique reports a value that an earlier field already has, and records others in
// seen. It ignores empty values, which another check reports.
func checkUnique(seen map[string]string, value, field, what string, mistakes *Mistakes) {
	first, duplicate := seen[value]
	if !duplicate {
		seen[value] = field
		return
	}
	if value != "" {
		mistakes.add(field, "each "+what+" once", "the %s %s is already given in %s", what, quote(value), first)
	}
}

func checkCount(count, maximum int, field, what string, mistakes *Mistakes) {
	if count == 0 {
		mistakes.add(field, "at least one "+what, "the list is empty")
	}
	if count > maximum {
		mistakes.add(field, fmt.Sprintf("at most %d", maximum), "%d entries", count)
	}
}

func checkRange(value, minimum, maximum int64, field, unit string, mistakes *Mistakes) {
	if value >= minimum && value <= maximum {
		return
	}
	want := fmt.Sprintf("a number from %d to %d", minimum, maximum)
	if unit != "" {
		want += " (" + unit + ")"
	}
	mistakes.add(field, want, "%d is out of range", value)
}

// checkOptionalRange is checkRange for fields where 0 selects the default.
func checkOptionalRange(value, minimum, maximum int64, field, unit string, mistakes *Mistakes) {
	if value != 0 {
		checkRange(value, minimum, maximum, field, unit, mistakes)
	}
}
