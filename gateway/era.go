package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// observeEra records the era of a state that came from the source. When the era rises, the
// store was restored from a backup: the watches of this member begin again, and endpoints
// whose entries are missing have time to register again.
func (g *Gateway) observeEra(r Revision, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	former := g.storeEra
	if r.Era() <= former {
		return
	}
	g.storeEra = r.Era()
	g.endEra()
	g.eraContext, g.endEra = context.WithCancel(context.Background())
	if former == 0 {
		return
	}
	g.reregisterDeadline = time.Now().Add(reregisterGrace)
	g.logger.Warn("store: restored from a backup", zap.String("source", source), zap.Uint64("former_era", former),
		zap.Uint64("era", g.storeEra), zap.Uint64("number", r.Number()),
		zap.Uint64("highest_number", g.registry.maxRevision.Number()))
}

// era returns the highest era of the store that this member has seen, and a context that
// ends when a higher one is seen.
func (g *Gateway) era() (uint64, context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeEra, g.eraContext
}

// observeEras records the eras of states of endpoints that another member sent.
func (g *Gateway) observeEras(list []Endpoint, source string) {
	var latest Revision
	for _, e := range list {
		latest = max(latest, e.Revision)
	}
	g.observeEra(latest, source)
}
