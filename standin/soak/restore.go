package main

import (
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

const (
	backupInterval = time.Second
	maxBackups     = 30
	// rewriteTime is the time in which operators and endpoints write again what a restored
	// store has lost.
	rewriteTime = 2 * time.Second
)

// keepBackups copies the store periodically until the end of the load.
func (s *scenario) keepBackups(until time.Time) {
	for time.Now().Before(until) {
		b := s.store.Backup()
		s.mu.Lock()
		s.backups = append(s.backups, b)
		s.backups = s.backups[max(0, len(s.backups)-maxBackups):]
		s.mu.Unlock()
		time.Sleep(backupInterval)
	}
}

// restoreStore makes the store fail, as long as the fault lasts, and restores one of the
// backups. Operators and endpoints write again what they had written.
func (s *scenario) restoreStore() func() {
	s.mu.Lock()
	if len(s.backups) == 0 {
		s.mu.Unlock()
		return noop
	}
	backup := s.backups[s.random.IntN(len(s.backups))]
	order := s.random.Perm(len(s.endpoints))
	s.mu.Unlock()
	s.store.SetFault(deployment.FaultReset)
	return func() {
		s.store.Restore(backup)
		s.store.SetFault(deployment.FaultNone)
		s.mu.Lock()
		s.store.Put("config", "main", s.configuration, nil)
		s.mu.Unlock()
		for _, i := range order {
			s.mu.Lock()
			e := s.endpoints[i]
			state := "ready"
			if e.draining {
				state = "draining"
			}
			e.endpoint.Register(s.store, e.relay.Address(), state)
			s.mu.Unlock()
			time.Sleep(rewriteTime / time.Duration(2*len(order)))
		}
	}
}
