package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// builds are the executables of a fleet that is upgraded while it runs.
type builds struct {
	present string
	earlier string // or empty if all proxies run the present one
}

// mendedFaults are the names of faults that the last release does not withstand. They are chosen
// again once it is no longer the earlier release of the Makefile.
var mendedFaults = []string{"endpoints reset uploads", "endpoint sends invalid heads"}

func newBuilds(present, earlier string) builds { return builds{present: present, earlier: earlier} }

// first returns the build that the fleet begins with.
func (b builds) first() string {
	if b.earlier != "" {
		return b.earlier
	}
	return b.present
}

// replaceBuilds replaces the proxies one after the other by the present build, and then by the earlier
// one again, until the end of the load.
func (s *scenario) replaceBuilds(until time.Time) {
	if s.builds.earlier == "" {
		return
	}
	pause := time.Until(until) / time.Duration(2*len(s.proxies)+1)
	for _, program := range []string{s.builds.present, s.builds.earlier} {
		for _, p := range s.proxies {
			time.Sleep(min(pause, time.Until(until)))
			p.mu.Lock()
			p.program = program
			p.mu.Unlock()
			_ = p.restart()
		}
	}
}

// undecodable are texts of which one is in each log line about a message of another member that
// cannot be read.
var undecodable = []string{"failed to decode", "msgpack: "}

// checkMessages checks that members of all builds could read each other's messages.
func (s *scenario) checkMessages() {
	for _, p := range s.proxies {
		content, err := os.ReadFile(filepath.Join(s.out, p.name+".log"))
		if err != nil {
			s.recordViolation("cannot read a log: " + err.Error())
			continue
		}
		for line := range strings.Lines(string(content)) {
			if slices.ContainsFunc(undecodable, func(text string) bool { return strings.Contains(line, text) }) {
				s.recordViolation(p.name + ": " + strings.TrimSpace(line))
				break
			}
		}
	}
}
