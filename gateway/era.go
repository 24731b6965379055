package gateway

import "go.uber.org/zap"

// observeEra records the era of a response of the store.
func (g *Gateway) observeEra(kind Kind, b *Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.Era <= g.storeEra {
		return
	}
	if g.storeEra > 0 {
		g.logger.Warn("store: restored from a backup", zap.Stringer("kind", kind), zap.Uint64("former_era", g.storeEra),
			zap.Uint64("era", b.Era), zap.Uint64("revision", b.Revision),
			zap.Uint64("highest_revision", g.registry.maxRevision))
	}
	g.storeEra = b.Era
}
