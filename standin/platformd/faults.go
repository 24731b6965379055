package main

import (
	"sync"
	"time"
)

// faultSettings is the request body of POST /faults. Each request replaces all settings.
type faultSettings struct {
	// Down rejects every call with status 503.
	Down bool `json:"down"`
	// Silent accepts every call and never responds.
	Silent bool `json:"silent"`
	// DelayMillis delays every call by this number of milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the number of next writes that take effect but get no response.
	LoseAnswers int `json:"loseAnswers"`
	// VMLagMillis is the age of the VM list that GET /vms returns, in milliseconds.
	VMLagMillis int64 `json:"vmLagMillis"`
}

// faults holds the current settings. It is safe for concurrent use.
type faults struct {
	mu       sync.Mutex
	settings faultSettings
}

func newFaults() *faults {
	return &faults{}
}

func (f *faults) set(settings faultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
}

func (f *faults) current() faultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

func (f *faults) delay() time.Duration {
	return time.Duration(f.current().DelayMillis) * time.Millisecond
}

func (f *faults) vmLag() time.Duration {
	return time.Duration(f.current().VMLagMillis) * time.Millisecond
}

// consumeLostResponse reports whether the response of this write is lost, and decrements
// the number of responses to lose.
func (f *faults) consumeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.LoseAnswers <= 0 {
		return false
	}
	f.settings.LoseAnswers--
	return true
}
