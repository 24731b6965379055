package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	// memberProbeInterval is the time between probes of members with an entry; each probe
	// checks one member.
	memberProbeInterval = 2 * time.Second
	// maxProbeMisses is the number of consecutive failed probes after which a member counts
	// as lost. A machine that is partitioned or suspended usually returns within seconds.
	maxProbeMisses = 5
	// maxRegisterRequests bounds the requests to a member without an entry, which may be
	// lost itself.
	maxRegisterRequests = 5
	// registerSpreadPerMember times the number of members is the time over which they write
	// their entries, so that a fleet stays below the 400 writes per second of the smallest
	// store.
	registerSpreadPerMember = 2500 * time.Microsecond
)

// storedMembers tracks the members that have an entry in the store, and their failed probes.
// It is safe for concurrent use.
type storedMembers struct {
	mu     sync.Mutex
	listed bool // the entries are complete
	misses map[string]int
	order  []string
	asked  map[string]int // how often members without an entry were asked to register
}

func newStoredMembers() *storedMembers {
	return &storedMembers{misses: map[string]int{}, asked: map[string]int{}}
}

// apply applies a complete list of the entries in the store, or changes of them.
func (s *storedMembers) apply(b *Batch, snapshot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot {
		s.listed = true
		clear(s.asked)
		listed := make(map[string]bool, len(b.Members))
		for _, m := range b.Members {
			listed[m.Address] = true
		}
		maps.DeleteFunc(s.misses, func(address string, _ int) bool { return !listed[address] })
	}
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

// unregistered returns those of the members that have no entry in the store, each
// maxRegisterRequests times at most.
func (s *storedMembers) unregistered(members []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return nil
	}
	var list []string
	for _, address := range members {
		if _, found := s.misses[address]; !found && s.asked[address] < maxRegisterRequests {
			s.asked[address]++
			list = append(list, address)
		}
	}
	return list
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

// maintainEntries keeps the entries of the members in the store while this member is the
// first hub: it asks members without an entry to register, probes members, and removes the
// entries of lost ones. A removed member registers again when it restarts.
func (g *Gateway) maintainEntries(ctx context.Context) {
	ticker := time.NewTicker(memberProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !g.fleet.isFirstHub() {
			continue
		}
		g.requestRegistrations()
		address, found := g.storedMembers.next()
		if !found || address == g.settings.Self.Address {
			continue
		}
		g.mu.Lock()
		request := &syncRequest{Member: g.settings.Self, Version: g.version(), Digest: g.registry.digest, Since: g.registry.maxRevision}
		g.mu.Unlock()
		if g.storedMembers.recordProbe(address, g.syncFrom(address, request, 0) == nil) {
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
	g.storedMembers.apply(&Batch{Removed: []string{address}}, false)
	g.logger.Info("fleet: lost member removed", zap.String("member", address), zap.Int("misses", maxProbeMisses))
}

// requestRegistrations asks the members without an entry in the store to register. Entries
// are lost if the store is restored from a backup.
func (g *Gateway) requestRegistrations() {
	for _, address := range g.storedMembers.unregistered(g.fleet.addresses()) {
		if address == g.settings.Self.Address {
			g.handleRegisterRequest()
			continue
		}
		if err := g.transport.Send(address, peer.TopicMemberRegister, nil); err != nil {
			g.counts.lostReports.Inc()
		}
	}
}

// handleRegisterRequest makes this member write its entry again, unless it has yet to write
// the first one.
func (g *Gateway) handleRegisterRequest() {
	if !g.registered.Load() {
		return
	}
	select {
	case g.registerAgain <- struct{}{}:
	default:
	}
}

// keepRegistered writes the entry of this member again when it is missing in the store.
func (g *Gateway) keepRegistered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.registerAgain:
		}
		sleep(ctx, rand.N(registerSpreadPerMember*time.Duration(g.fleet.size())))
		if ctx.Err() == nil && g.register(ctx) {
			g.logger.Info("store: entry of this member written again")
		}
	}
}
