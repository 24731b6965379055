package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// memberProbeInterval is the time between probes of members with an entry; each probe
	// checks one member.
	memberProbeInterval = 2 * time.Second
	// maxProbeMisses is the number of consecutive failed probes after which a member counts
	// as lost. A machine that is partitioned or suspended usually returns within seconds.
	maxProbeMisses = 5
)

// storedMembers tracks the members that have an entry in the store, and their failed probes.
// It is safe for concurrent use.
type storedMembers struct {
	mu     sync.Mutex
	misses map[string]int
	order  []string
}

func newStoredMembers() *storedMembers { return &storedMembers{misses: map[string]int{}} }

// apply applies changes of the entries in the store.
func (s *storedMembers) apply(b *Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range b.Members {
		if _, found := s.misses[m.Address]; !found {
			s.misses[m.Address] = 0
			s.order = append(s.order, m.Address)
		}
	}
	for _, address := range b.Removed {
		delete(s.misses, address)
	}
}

// next returns the next member to probe, in round-robin order, or false if there is none.
func (s *storedMembers) next() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.order) > 0 {
		address := s.order[0]
		s.order = s.order[1:]
		if _, found := s.misses[address]; found {
			s.order = append(s.order, address)
			return address, true
		}
	}
	return "", false
}

// recordProbe records the result of a probe and reports whether the entry of the member has
// to be removed.
func (s *storedMembers) recordProbe(address string, answered bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		s.misses[address] = 0
		return false
	}
	s.misses[address]++
	return s.misses[address] >= maxProbeMisses
}

// removeLostMembers probes members and removes the entries of lost ones from the store
// while this member is the first hub. A removed member registers again when it restarts.
func (g *Gateway) removeLostMembers(ctx context.Context) {
	ticker := time.NewTicker(memberProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		address, found := g.storedMembers.next()
		if !found || address == g.settings.Self.Address || !g.fleet.isFirstHub() {
			continue
		}
		g.mu.Lock()
		request := &syncRequest{Member: g.settings.Self, Version: g.version(), Digest: g.registry.digest, Since: g.registry.maxRevision}
		g.mu.Unlock()
		if g.storedMembers.recordProbe(address, g.syncFrom(address, request) == nil) {
			g.removeLostMember(ctx, address)
		}
	}
}

func (g *Gateway) removeLostMember(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	err := g.store.Remove(limited, Member{Address: address})
	if err != nil {
		g.logger.Warn("store: failed to remove the entry of a lost member", zap.String("member", address), zap.String("error", err.Error()))
		return
	}
	g.fleet.remove(address)
	g.storedMembers.apply(&Batch{Removed: []string{address}})
	g.logger.Info("fleet: lost member removed", zap.String("member", address), zap.Int("misses", maxProbeMisses))
}
