package main

import (
	"sync"
	"time"
)

// faultSettings is the document of POST /faults. Each call replaces all settings.
type faultSettings struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// Silent accepts every call and never answers it.
	Silent bool `json:"silent"`
	// DelayMillis is added to every answer, in milliseconds.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the number of following writes that take effect but whose
	// answer is lost.
	LoseAnswers int `json:"loseAnswers"`
	// VMLagMillis is the age of the VM list that is given out, in milliseconds.
	VMLagMillis int64 `json:"vmLagMillis"`
}

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

// takeLostAnswer reports whether the answer of this write is to be lost.
func (f *faults) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.LoseAnswers <= 0 {
		return false
	}
	f.settings.LoseAnswers--
	return true
}
