package main

import (
	"math/rand/v2"
	"slices"
	"sync"
)

type faultMode string

// Fault modes.
const (
	modeNone      faultMode = ""
	modeError     faultMode = "error"     // status 500 after the request was processed
	modeSlow      faultMode = "slow"      // processing takes slowFactor times as long
	modeHang      faultMode = "hang"      // the request is processed but no response is sent
	modeTruncated faultMode = "truncated" // the response ends before its Content-Length
	modeForeign   faultMode = "foreign"   // the response carries the identifier of an earlier request
	modeReset     faultMode = "reset"     // the connection closes without a response
)

const slowFactor = 20

// fault is the request body of POST /control/fault.
type fault struct {
	Mode faultMode `json:"mode"`
	// Share is the fraction of requests that is affected, from 0 to 1.
	Share float64 `json:"share"`
	// Teams limits the fault to requests of these teams; empty means all.
	Teams []string `json:"teams,omitempty"`
}

func (f fault) valid() bool {
	switch f.Mode {
	case modeNone, modeError, modeSlow, modeHang, modeTruncated, modeForeign, modeReset:
		return f.Share >= 0 && f.Share <= 1
	default:
		return false
	}
}

// faultInjector holds the current fault. It is safe for concurrent use.
type faultInjector struct {
	mu      sync.Mutex
	current fault
}

func (i *faultInjector) set(f fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = f
}

// drawMode chooses the fault mode of one request of the team at random.
func (i *faultInjector) drawMode(team string) faultMode {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.current.Teams) > 0 && !slices.Contains(i.current.Teams, team) {
		return modeNone
	}
	if rand.Float64() >= i.current.Share {
		return modeNone
	}
	return i.current.Mode
}
