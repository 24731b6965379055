// Package settings reads the process settings of carawayhold: JSON with
// comments, in which every mistake is reported with its place.
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

// Peer describes the transport between proxies. Seeds are addresses at which
// other proxies may be found at the start.
type Peer struct {
	Listen string   `json:"listen"`
	Seeds  []string `json:"seeds"`
}

// Platform names the platform's service and the writes per second that it
// allows the whole fleet for at-most-once records.
type Platform struct {
	URL             string `json:"url"`
	WritesPerSecond int64  `json:"writesPerSecond"`
}

// Shutdown bounds the phases of a planned stop, in milliseconds.
type Shutdown struct {
	BalancerLagMillis int64 `json:"balancerLagMillis"`
	FinishMillis      int64 `json:"finishMillis"`
}

// Log sets the least severe level that is logged: debug, info, warn or error.
type Log struct {
	Level string `json:"level"`
}

// Defaults of the optional fields.
const (
	defaultBalancerLagMillis = 5_000
	defaultFinishMillis      = 30_000
	defaultWritesPerSecond   = 300 // the platform takes several hundred
	defaultLevel             = "info"
)

// BalancerLag returns the time in which the balancer learns that the proxy is
// not ready.
func (s Shutdown) BalancerLag() time.Duration {
	return time.Duration(s.BalancerLagMillis) * time.Millisecond
}

// Finish returns the longest wait for requests in flight after the balancer lag.
func (s Shutdown) Finish() time.Duration {
	return time.Duration(s.FinishMillis) * time.Millisecond
}
