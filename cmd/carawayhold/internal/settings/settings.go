// Package settings parses the settings file of carawayhold, which is JSON with
// comments, and reports every mistake in it with its position.
package settings

import "time"

// Settings is the content of a settings file.
type Settings struct {
	Name     string   `json:"name"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	Caller   Listen   `json:"caller"`
	Operator Listen   `json:"operator"`
	Peer     Peer     `json:"peer"`
	Admin    Listen   `json:"admin"`
	Platform Platform `json:"platform"`
	Shutdown Shutdown `json:"shutdown"`
	Log      Log      `json:"log"`
}

// Listen names the address and port that a server listens on.
type Listen struct {
	Listen string `json:"listen"`
}

// Peer configures the transport between proxies. Seeds are the addresses of other
// proxies that a starting proxy contacts to join the fleet.
type Peer struct {
	Listen string   `json:"listen"`
	Seeds  []string `json:"seeds"`
}

// Platform holds the base URL of the platform's API and the rate at which the
// whole fleet may write at-most-once records.
type Platform struct {
	URL             string `json:"url"`
	WritesPerSecond int64  `json:"writesPerSecond"`
}

// Shutdown bounds the phases of a graceful shutdown.
type Shutdown struct {
	BalancerLagMillis  int64 `json:"balancerLagMillis"`
	DrainTimeoutMillis int64 `json:"finishMillis"`
}

// Log holds the minimum level of logged messages: debug, info, warn or error.
type Log struct {
	Level string `json:"level"`
}

// Default values of optional fields.
const (
	defaultBalancerLagMillis  = 5_000
	defaultDrainTimeoutMillis = 30_000
	defaultWritesPerSecond    = 300 // the platform accepts several hundred
	defaultLevel              = "info"
)

// BalancerLag returns the time until the load balancer has noticed that the proxy
// is not ready. The proxy accepts new requests until then.
func (s Shutdown) BalancerLag() time.Duration {
	return time.Duration(s.BalancerLagMillis) * time.Millisecond
}

// DrainTimeout returns how long the shutdown may wait for requests in flight after the
// balancer lag.
func (s Shutdown) DrainTimeout() time.Duration {
	return time.Duration(s.DrainTimeoutMillis) * time.Millisecond
}
