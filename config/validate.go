package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Ranges of the numbers in a service description. The upper bounds are far above
// any use seen and catch a wrong unit, such as microseconds for milliseconds.
const (
	maxSlots            = 10_000
	maxConnections      = 100_000
	maxPriority         = 100
	maxDeadlineMillis   = 10 * 60 * 1000
	maxQueueLimit       = 100_000
	maxHeldBytes        = 64 << 20
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

const wantName = "1 to 63 lower-case letters, digits, '-', '_' and '.', starting with a letter or digit"

// Names appear in object names and header values, so their characters are few.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	methods       = map[string]bool{
		"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
	}
)

// ValidName reports whether the text can name a service, endpoint, class, zone,
// team or operator.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate checks a document without its text. The error is of type Mistakes.
func (d Document) Validate() error { return d.check().inOrder().asError() }

// Validate checks one service. The error is of type Mistakes.
func (s Service) Validate() error {
	var mistakes Mistakes
	s.check("", &mistakes)
	return mistakes.asError()
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
		unique(names, s.Name, field+".name", "service", &mistakes)
	}
	for i, name := range d.Remove {
		field := fmt.Sprintf("remove[%d]", i)
		checkName(name, field, &mistakes)
		unique(names, name, field, "service", &mistakes)
	}
	routes := map[routeKey]string{}
	for i, s := range d.Services {
		checkRouteKeys(s, fmt.Sprintf("services[%d]", i), routes, &mistakes)
	}
	return mistakes
}

func (s Service) check(path string, mistakes *Mistakes) {
	checkName(s.Name, join(path, "name"), mistakes)
	s.checkEndpoints(path, mistakes)
	s.checkClasses(path, mistakes)
	s.checkRoutes(path, mistakes)
	s.checkSettings(path, mistakes)
}

func (s Service) checkSettings(path string, mistakes *Mistakes) {
	if len(s.Endpoints) > 0 || s.Floor < 0 {
		between(int64(s.Floor), 0, int64(len(s.Endpoints)), join(path, "floor"), "the service's endpoints", mistakes)
	}
	switch s.WeightingOrDefault() {
	case WeightingBalanced, WeightingDetection, WeightingFalseEjections:
	default:
		want := fmt.Sprintf("%q, %q or %q", WeightingBalanced, WeightingDetection, WeightingFalseEjections)
		mistakes.add(join(path, "weighting"), want, "unknown weighting %s", quote(string(s.Weighting)))
	}
	teams := map[string]string{}
	for i, t := range s.Teams {
		field := fmt.Sprintf("%s[%d]", join(path, "teams"), i)
		checkName(t, field, mistakes)
		unique(teams, t, field, "team", mistakes)
	}
	if s.EchoHeader != "" && !headerPattern.MatchString(s.EchoHeader) {
		mistakes.add(join(path, "echoHeader"), "a header name of letters, digits and '-'",
			"%s is not a header name", quote(s.EchoHeader))
	}
	optional(s.HeldBytes, 1, maxHeldBytes, join(path, "heldBytes"), "bytes", mistakes)
	optional(s.WarmUpMillis, 1, maxWarmUpMillis, join(path, "warmUpMillis"), "milliseconds", mistakes)
	optional(int64(s.RetryBudgetPercent), 1, maxRetryBudget, join(path, "retryBudgetPercent"), "percent", mistakes)
	optional(int64(s.OncePartitions), 1, maxOncePartitions, join(path, "oncePartitions"), "partitions", mistakes)
	optional(s.RetentionMillis, minRetentionMillis, maxRetentionMillis, join(path, "retentionMillis"),
		"milliseconds", mistakes)
}

func (s Service) checkEndpoints(path string, mistakes *Mistakes) {
	path = join(path, "endpoints")
	checkCount(len(s.Endpoints), maxEndpoints, path, "endpoint", mistakes)
	names := map[string]string{}
	addresses := map[string]string{}
	for i, e := range s.Endpoints {
		field := fmt.Sprintf("%s[%d]", path, i)
		checkName(e.Name, field+".name", mistakes)
		unique(names, e.Name, field+".name", "endpoint", mistakes)
		checkAddress(e.Address, field+".address", mistakes)
		unique(addresses, e.Address, field+".address", "address", mistakes)
		checkName(e.Zone, field+".zone", mistakes)
		between(int64(e.Slots), 1, maxSlots, field+".slots", "slots", mistakes)
		optional(int64(e.Connections), 1, maxConnections, field+".connections", "connections", mistakes)
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
		// Two spellings of one address would pass the check for duplicates.
		mistakes.add(field, parsed.String(), "%s is not in canonical form", quote(address))
	}
}

func (s Service) checkClasses(path string, mistakes *Mistakes) {
	path = join(path, "classes")
	checkCount(len(s.Classes), maxClasses, path, "class", mistakes)
	names := map[string]string{}
	for i, c := range s.Classes {
		field := fmt.Sprintf("%s[%d]", path, i)
		checkName(c.Name, field+".name", mistakes)
		unique(names, c.Name, field+".name", "class", mistakes)
		between(int64(c.Priority), 0, maxPriority, field+".priority", "", mistakes)
		between(c.DeadlineMillis, 1, maxDeadlineMillis, field+".deadlineMillis", "milliseconds", mistakes)
		between(int64(c.QueueLimit), 0, maxQueueLimit, field+".queueLimit", "requests", mistakes)
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
	path = join(path, "routes")
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
		place := fmt.Sprintf("%s.methods[%d]", field, i)
		if !methods[m] {
			mistakes.add(place, "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS", "unknown method %s", quote(m))
		}
		unique(seen, m, place, "method", mistakes)
	}
}

// validPathPrefix refuses prefixes that no request path can match. Requests are
// matched by their decoded path, so an escape would never match.
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

// routeKey identifies what a route matches. Two routes with the same key would
// make the choice between their services depend on order.
type routeKey struct{ host, pathPrefix, method string }

const anyMethod = "*"

// keys returns one key per method. A route for all methods and one for a single
// method may share host and prefix; the single method wins.
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

func checkRouteKeys(s Service, path string, owners map[routeKey]string, mistakes *Mistakes) {
	for i, r := range s.Routes {
		field := fmt.Sprintf("%s[%d]", join(path, "routes"), i)
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
		mistakes.add(field, wantName, "%s is not a name", quote(name))
	}
}

// unique reports a value that an earlier field already has. Empty values are
// reported by their own check.
func unique(seen map[string]string, value, field, what string, mistakes *Mistakes) {
	first, twice := seen[value]
	if !twice {
		seen[value] = field
		return
	}
	if value != "" {
		mistakes.add(field, "each "+what+" once", "the %s %s is already given in %s", what, quote(value), first)
	}
}

func checkCount(count, most int, field, what string, mistakes *Mistakes) {
	if count == 0 {
		mistakes.add(field, "at least one "+what, "the list is empty")
	}
	if count > most {
		mistakes.add(field, fmt.Sprintf("at most %d", most), "%d entries", count)
	}
}

func between(value, least, most int64, field, unit string, mistakes *Mistakes) {
	if value >= least && value <= most {
		return
	}
	want := fmt.Sprintf("a number from %d to %d", least, most)
	if unit != "" {
		want += " (" + unit + ")"
	}
	mistakes.add(field, want, "%d is out of range", value)
}

// optional is between for fields in which 0 selects the default.
func optional(value, least, most int64, field, unit string, mistakes *Mistakes) {
	if value != 0 {
		between(value, least, most, field, unit, mistakes)
	}
}
