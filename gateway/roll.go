package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// rollPeriod is the time between two looks at an entry of a member.
	rollPeriod = 2 * time.Second
	// rollMisses in a row make a member's entry one of the dead: a machine that is cut
	// off or suspended comes back within seconds.
	rollMisses = 5
)

// roll holds the members whose entries lie in the store. It is safe for concurrent use.
type roll struct {
	mu     sync.Mutex
	misses map[string]int
	order  []string
}

func newRoll() *roll { return &roll{misses: map[string]int{}} }

// take follows the entries of the store.
func (r *roll) take(b *Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range b.Members {
		if _, found := r.misses[m.Address]; !found {
			r.misses[m.Address] = 0
			r.order = append(r.order, m.Address)
		}
	}
	for _, address := range b.Removed {
		delete(r.misses, address)
	}
}

// next returns the entry to look at, each in turn.
func (r *roll) next() (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.order) > 0 {
		address := r.order[0]
		r.order = r.order[1:]
		if _, found := r.misses[address]; found {
			r.order = append(r.order, address)
			return address, true
		}
	}
	return "", false
}

// seen notes whether a member answered and reports whether its entry is to be removed.
func (r *roll) seen(address string, answered bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.misses[address] = 0
		return false
	}
	r.misses[address]++
	return r.misses[address] >= rollMisses
}

// clear removes the entries of members that are gone, while this member is the first
// hub. A member that lives registers again when it starts.
func (g *Gateway) clear(ctx context.Context) {
	ticker := time.NewTicker(rollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		address, found := g.roll.next()
		if !found || address == g.settings.Self.Address || !g.fleet.leads() {
			continue
		}
		g.mu.Lock()
		request := &syncRequest{Member: g.settings.Self, Version: g.version(), Digest: g.registry.digest, Since: g.registry.newest}
		g.mu.Unlock()
		if g.roll.seen(address, g.sync(address, request) == nil) {
			g.forget(ctx, address)
		}
	}
}

func (g *Gateway) forget(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	err := g.store.Remove(limited, Member{Address: address})
	if err != nil {
		g.logger.Warn("store: entry of a lost member not removed", zap.String("member", address), zap.String("error", err.Error()))
		return
	}
	g.fleet.remove(address)
	g.roll.take(&Batch{Removed: []string{address}})
	g.logger.Info("fleet: lost member removed", zap.String("member", address), zap.Int("misses", rollMisses))
}
