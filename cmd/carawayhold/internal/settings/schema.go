package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"github.com/tailscale/hujson"
)

const (
	maxBalancerLagMillis = 10 * 60 * 1000
	maxFinishMillis      = 60 * 60 * 1000
	maxWritesPerSecond   = 1_000_000
)

// schema describes the settings file and where its values are stored.
func schema(s *Settings) []field {
	return []field{
		{name: "name", read: text(&s.Name, identifier)},
		{name: "region", read: text(&s.Region, identifier)},
		{name: "zone", read: text(&s.Zone, identifier)},
		{name: "caller", read: listen(&s.Caller)},
		{name: "operator", read: listen(&s.Operator)},
		{name: "peer", read: nested(
			field{name: "listen", read: listenAddress(&s.Peer.Listen)},
			field{name: "seeds", optional: true, read: texts(&s.Peer.Seeds, remoteAddress)},
		)},
		{name: "admin", read: listen(&s.Admin)},
		{name: "platform", read: nested(
			field{name: "url", read: text(&s.Platform.URL, baseURL)},
			field{
				name: "writesPerSecond", optional: true,
				read: whole(&s.Platform.WritesPerSecond, "writes per second", 1, maxWritesPerSecond),
			},
		)},
		{name: "shutdown", optional: true, read: nested(
			field{
				name: "balancerLagMillis", optional: true,
				read: whole(&s.Shutdown.BalancerLagMillis, "milliseconds", 0, maxBalancerLagMillis),
			},
			field{
				name: "finishMillis", optional: true,
				read: whole(&s.Shutdown.FinishMillis, "milliseconds", 1, maxFinishMillis),
			},
		)},
		{name: "log", optional: true, read: nested(
			field{name: "level", optional: true, read: text(&s.Log.Level, level)},
		)},
	}
}

func listen(into *Listen) func(*parser, string, *hujson.Value) {
	return nested(field{name: "listen", read: listenAddress(&into.Listen)})
}

// listenAddress reads an address that no other server of the process uses.
func listenAddress(into *string) func(*parser, string, *hujson.Value) {
	return func(p *parser, path string, v *hujson.Value) {
		*into = ""
		text(into, address)(p, path, v)
		if *into == "" || netip.MustParseAddrPort(*into).Port() == 0 {
			return
		}
		if other, ok := p.listeners[*into]; ok {
			p.add(v.StartOffset, path, "%q is already the address of %s", *into, other)
			return
		}
		p.listeners[*into] = path
	}
}

var identifierForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func identifier(value string) string {
	if identifierForm.MatchString(value) {
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
