package main

import (
	"math/rand/v2"
	"slices"
	"sync"
)

type faultMode string

// The gray failures that can be switched on.
const (
	modeNone      faultMode = ""
	modeError     faultMode = "error"     // status 500 after the work ran
	modeSlow      faultMode = "slow"      // work takes slowFactor times as long
	modeHang      faultMode = "hang"      // the work runs, no answer is sent
	modeTruncated faultMode = "truncated" // the answer ends before its stated length
	modeForeign   faultMode = "foreign"   // the answer is that of an earlier request
	modeReset     faultMode = "reset"     // the connection closes without an answer
)

const slowFactor = 20

// fault is the document of POST /control/fault.
type fault struct {
	Mode faultMode `json:"mode"`
	// Share is the part of requests that is affected, from 0 to 1.
	Share float64 `json:"share"`
	// Teams limits the fault to requests of these teams; empty means all.
	Teams []string `json:"teams,omitempty"`
}

func (f fault) known() bool {
	switch f.Mode {
	case modeNone, modeError, modeSlow, modeHang, modeTruncated, modeForeign, modeReset:
		return f.Share >= 0 && f.Share <= 1
	default:
		return false
	}
}

type faultSwitch struct {
	mu      sync.Mutex
	current fault
}

func (s *faultSwitch) set(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
}

// draw returns the failure mode of one request of the team.
func (s *faultSwitch) draw(team string) faultMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.current.Teams) > 0 && !slices.Contains(s.current.Teams, team) {
		return modeNone
	}
	if rand.Float64() >= s.current.Share {
		return modeNone
	}
	return s.current.Mode
}
