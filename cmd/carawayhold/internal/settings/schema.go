package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"github.com/tailscale/hujson"
)

const (
	maxBalancerLagMillis  = 10 * 60 * 1000
	maxDrainTimeoutMillis = 60 * 60 * 1000
	maxWritesPerSecond    = 1_000_000
)

// schema returns the fields of the settings file, which store their values in s.
func schema(s *Settings) []field {
	return []field{
		{name: "name", read: stringField(&s.Name, identifier)},
		{name: "region", read: stringField(&s.Region, identifier)},
		{name: "zone", read: stringField(&s.Zone, identifier)},
		{name: "caller", read: listen(&s.Caller)},
		{name: "operator", read: listen(&s.Operator)},
		{name: "peer", read: nestedObject(
			field{name: "listen", read: listenAddress(&s.Peer.Listen)},
			field{name: "seeds", optional: true, read: stringList(&s.Peer.Seeds, remoteAddress)},
		)},
		{name: "admin", read: listen(&s.Admin)},
		{name: "platform", read: nestedObject(
			field{name: "url", read: stringField(&s.Platform.URL, baseURL)},
			field{
				name: "writesPerSecond", optional: true,
				read: integer(&s.Platform.WritesPerSecond, "writes per second", 1, maxWritesPerSecond),
			},
		)},
		{name: "shutdown", optional: true, read: nestedObject(
			field{
				name: "balancerLagMillis", optional: true,
				read: integer(&s.Shutdown.BalancerLagMillis, "milliseconds", 0, maxBalancerLagMillis),
			},
			field{
				name: "finishMillis", optional: true,
				read: integer(&s.Shutdown.DrainTimeoutMillis, "milliseconds", 1, maxDrainTimeoutMillis),
			},
		)},
		{name: "log", optional: true, read: nestedObject(
			field{name: "level", optional: true, read: stringField(&s.Log.Level, level)},
		)},
	}
}

func listen(target *Listen) func(*parser, string, *hujson.Value) {
	return nestedObject(field{name: "listen", read: listenAddress(&target.Listen)})
}

// listenAddress reads a listen address. Unless its port is 0, another field must
// not have the same address.
func listenAddress(target *string) func(*parser, string, *hujson.Value) {
	return func(p *parser, path string, v *hujson.Value) {
		*target = ""
		stringField(target, address)(p, path, v)
		if *target == "" || netip.MustParseAddrPort(*target).Port() == 0 {
			return
		}
		if other, ok := p.listeners[*target]; ok {
			p.add(v.StartOffset, path, "%q is already the address of %s", *target, other)
			return
		}
		p.listeners[*target] = path
	}
}

var identifierPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func identifier(value string) string {
	if identifierPattern.MatchString(value) {
		return ""
	}
	return "1 to 63 lower-case letters, digits and inner hyphens"
}

func address(value string) string {
	if _, err := netip.ParseAddrPort(value); err == nil {
		return ""
	}
	return "an IP address and port, for example 127.0.0.1:8080"
}

func remoteAddress(value string) string {
	if a, err := netip.ParseAddrPort(value); err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() {
		return ""
	}
	return "the IP address and port of a proxy, for example 127.0.0.1:8182"
}

func baseURL(value string) string {
	u, err := url.Parse(value)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == "" {
		return ""
	}
	return "an http URL without a query, for example http://127.0.0.1:7000"
}

func level(value string) string {
	switch value {
	case "debug", "info", "warn", "error":
		return ""
	}
	return "debug, info, warn or error"
}
