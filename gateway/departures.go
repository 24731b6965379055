package gateway

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// errLeaving means that the endpoint has said that it leaves, or is gone.
var errLeaving = eris.New("gateway: the endpoint leaves")

// unknownStart stands for the start of a process whose registration is not known yet.
const unknownStart = -1

// departure is the process of an endpoint that leaves, and when this member learned of it.
type departure struct {
	start   int64
	knownAt instant
}

// departures holds, by endpoint, the process that has said that it leaves: in its entry in
// the store, or in a response. A process does not take that back, so that it holds whatever
// states of the process are read later, and ends with the next process of that name.
type departures map[string]departure

func (d departures) add(id string, start int64) {
	if former, found := d[id]; !found || start > former.start {
		d[id] = departure{start: start, knownAt: bootTime()}
	}
}

// has reports whether the process leaves. A departure of a process whose start was not known
// is that of the first process that is asked for.
func (d departures) has(id string, start int64) bool {
	v, found := d[id]
	if found && v.start == unknownStart {
		v.start = start
		d[id] = v
	}
	return found && v.start == start
}

// depart records that the process of an endpoint has said in a response that it leaves, and
// returns its state, or false if that changes nothing for other members.
func (r *registry) depart(id string, start int64) (Endpoint, bool) {
	r.left.add(id, start)
	current, found := r.entries[id]
	if !found || current.Deregistered || current.Draining || !r.left.has(id, current.StartMillis) {
		return Endpoint{}, false
	}
	r.store(current)
	return r.entries[id], true
}

// departing returns the states of registered endpoints that leave. Their revisions may be
// lower than those of other members that do not know it.
func (r *registry) departing() []Endpoint {
	var list []Endpoint
	for _, e := range r.entries {
		if e.leaves() {
			list = append(list, e)
		}
	}
	return list
}

// leaves reports whether the endpoint is registered and accepts no new requests.
func (e *Endpoint) leaves() bool { return e.Draining && !e.Deregistered }

// process returns the start of the present process of an endpoint, as far as this member
// knows it, and whether it has said that it leaves or its entry was removed.
func (g *Gateway) process(id string) (start int64, leaves bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, found := g.registry.entries[id]
	if !found {
		_, leaves = g.registry.left[id]
		return unknownStart, leaves
	}
	return e.StartMillis, e.Deregistered || g.registry.left.has(id, e.StartMillis)
}

// knownToLeave reports whether this member knew before a time that the process leaves.
func (g *Gateway) knownToLeave(id string, start int64, before instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, found := g.registry.left[id]
	return found && v.start == start && v.knownAt < before
}

// depart records that a process has said in a response that it leaves. The hubs pass it on,
// also while they do not hear of it from the store.
func (g *Gateway) depart(id string, start int64) {
	g.mu.Lock()
	e, changed := g.registry.depart(id, start)
	g.mu.Unlock()
	if !changed {
		return
	}
	changes := []Endpoint{e}
	g.publishEndpoints(changes, sourceResponse)
	for _, hub := range g.fleet.hubAddresses() {
		g.sendDepartures(hub, changes)
	}
}

// sendDepartures tells another member of endpoints that leave.
func (g *Gateway) sendDepartures(to string, list []Endpoint) {
	if to != g.settings.Self.Address && len(list) > 0 {
		g.placer.send(to, peer.TopicEndpointDeparture, list)
	}
}

// handleDepartures applies endpoints of which another member knows that they leave.
func (g *Gateway) handleDepartures(from string, payload []byte) {
	var list []Endpoint
	if err := decode(payload, &list); err != nil {
		g.logger.Warn("endpoints: failed to decode departures", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	g.observeEras(list, from)
	g.publishEndpoints(g.mergeEndpoints(list), from)
}
