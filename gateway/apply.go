package gateway

import (
	"time"

	"go.uber.org/zap"
)

// sourceStore is the source in logs of what this member read from the store itself; other
// sources are addresses of members.
const sourceStore = "store"

// sourceResponse is the source of what an endpoint said in a response to this member.
const sourceResponse = "response"

// applyBatch applies objects from the store. A snapshot is a complete list, other batches
// are changes.
func (g *Gateway) applyBatch(kind Kind, b *Batch, snapshot bool) {
	g.observeEra(b.Revision, sourceStore)
	switch kind {
	case KindConfiguration:
		if b.Configuration != nil {
			g.applyConfiguration(b.Configuration, sourceStore)
		}
	case KindEndpoints:
		g.applyEndpoints(b, snapshot)
	case KindMembers:
		g.applyMembers(b, snapshot)
	}
}

func (g *Gateway) applyEndpoints(b *Batch, snapshot bool) {
	now := time.Now()
	g.mu.Lock()
	var changed []Endpoint
	if snapshot {
		changed = g.registry.applyList(b.Endpoints, b.Revision, now, g.reregisterDeadline)
	} else {
		for _, e := range b.Endpoints {
			switch {
			case e.Deregistered:
				changed = append(changed, g.registry.applyRemoval(e.ID, e.Revision, now, g.reregisterDeadline)...)
			case g.registry.apply(e):
				changed = append(changed, g.registry.entries[e.ID])
			}
		}
		g.registry.readUpTo = b.Revision
	}
	changed = append(changed, g.registry.expireMissing(now)...)
	changed = append(changed, g.registry.believeDoubtful(now, b.Revision)...)
	g.mu.Unlock()
	g.publishEndpoints(changed, sourceStore)
	g.endpointsLoaded.Store(true)
}

func (g *Gateway) applyMembers(b *Batch, snapshot bool) {
	g.storedMembers.apply(b, snapshot)
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

// publishEndpoints passes the endpoints of changed services to the placer and, on a hub,
// queues the changes for the other members.
func (g *Gateway) publishEndpoints(changed []Endpoint, source string) {
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
		g.pending.add(changed)
	}
}

// applyConfiguration activates a configuration if it is newer than the active one.
func (g *Gateway) applyConfiguration(c *Configuration, source string) {
	g.mu.Lock()
	if g.configuration != nil && c.Version <= g.configuration.Version {
		active := g.configuration.Version
		g.mu.Unlock()
		if c.Version < active {
			g.logger.Warn("configuration: older than the active one, ignored", zap.Uint64("version", c.Version),
				zap.Uint64("active_version", active), zap.String("source", source))
		}
		return
	}
	g.configuration = c
	g.table.Store(newTable(c))
	g.mu.Unlock()
	g.logger.Info("configuration: in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)),
		zap.String("source", source))
	if g.fleet.isHub() {
		g.pending.notify()
	}
}

func (g *Gateway) setReregisterDeadline(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reregisterDeadline = t
}
