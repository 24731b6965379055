package gateway

import (
	"time"

	"go.uber.org/zap"
)

// apply takes news of the store.
func (g *Gateway) apply(kind Kind, b *Batch, whole bool) {
	switch kind {
	case KindConfiguration:
		if b.Configuration != nil {
			g.adopt(b.Configuration, "store")
		}
	case KindEndpoints:
		g.applyEndpoints(b, whole)
	case KindMembers:
		g.applyMembers(b)
	}
}

func (g *Gateway) applyEndpoints(b *Batch, whole bool) {
	now := time.Now()
	g.mu.Lock()
	var changed []Endpoint
	if whole {
		changed = g.registry.replace(b.Endpoints, b.Revision, now, g.lapseEnd)
	} else {
		for _, e := range b.Endpoints {
			switch {
			case e.Deregistered:
				changed = append(changed, g.registry.removed(e.ID, e.Revision, now, g.lapseEnd)...)
			case g.registry.merge(e):
				changed = append(changed, e)
			}
		}
	}
	changed = append(changed, g.registry.expire(now)...)
	g.mu.Unlock()
	g.endpointsChanged(changed, "store")
	g.loaded.Store(true)
}

func (g *Gateway) applyMembers(b *Batch) {
	g.roll.take(b)
	for _, m := range b.Members {
		g.fleet.add(m)
		if m.Address == g.settings.Self.Address {
			g.registered.Store(true)
		}
	}
	g.membersListed.Store(true)
	for _, address := range b.Removed {
		g.fleet.remove(address)
	}
}

// endpointsChanged puts changed endpoints in force and tells the members.
func (g *Gateway) endpointsChanged(changed []Endpoint, source string) {
	if len(changed) == 0 {
		return
	}
	services := map[string]bool{}
	for _, e := range changed {
		services[e.Service] = true
	}
	g.logger.Info("endpoints: registrations changed", zap.Array("endpoints", endpointLines(changed)),
		zap.String("source", source))
	g.mu.Lock()
	for name := range services {
		g.placer.setEndpoints(name, g.registry.usable(name))
	}
	g.mu.Unlock()
	if g.fleet.isHub() {
		g.news.add(changed)
	}
}

// adopt puts a configuration in force if it is newer.
func (g *Gateway) adopt(c *Configuration, source string) {
	g.mu.Lock()
	if g.configuration != nil && c.Version <= g.configuration.Version {
		g.mu.Unlock()
		return
	}
	g.configuration = c
	g.table.Store(newTable(c))
	g.mu.Unlock()
	g.logger.Info("configuration: in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)),
		zap.String("source", source))
	if g.fleet.isHub() {
		g.news.wake()
	}
}

func (g *Gateway) setLapseEnd(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapseEnd = t
}
