package gateway

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// errResting means that the endpoint wants no requests from this member now.
var errResting = eris.New("gateway: the endpoint asked for a rest")

// rest is the time for which an endpoint wants no requests from this member.
type rest struct {
	service string
	start   int64 // of the process
	from    instant
	until   instant
}

// rests holds the rests of endpoints by ID. It is not safe for concurrent use.
type rests map[string]rest

// add records a rest. A later one does not shorten an earlier one of the same process.
func (r rests) add(now instant, id string, v rest) {
	for other, known := range r {
		if now >= known.until {
			delete(r, other)
		}
	}
	v.from = now
	if known, found := r[id]; found && known.start == v.start {
		v.from, v.until = known.from, max(v.until, known.until)
	}
	r[id] = v
}

// active reports whether the process of an endpoint rests. A rest of a process whose start
// was not known is that of the first process that is asked for.
func (r rests) active(now instant, id string, start int64) bool {
	v, found := r[id]
	if found && v.start == unknownStart {
		v.start = start
		r[id] = v
	}
	return found && v.start == start && now < v.until
}

// inRest reports whether a time is within the rest of a process.
func (p *placer) inRest(id string, start int64, at instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, found := p.rests[id]
	return found && v.start == start && v.from < at && at < v.until
}

// resting reports whether the process of an endpoint wants no requests from this member now.
func (p *placer) resting(id string, start int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rests.active(bootTime(), id, start)
}

// restMessage says that an endpoint wants no requests from the sender, or from the receiver
// if Relayed is set: then the receiver forwarded the connection that the response came on.
type restMessage struct {
	Service    string
	Endpoint   string
	Start      int64 // of the process
	LeftMillis int64 // until the end of the rest
	Relayed    bool
}

// rest records what an endpoint has asked for and tells the members that place requests of
// this one. An endpoint behind a relay cannot tell this member from the relay.
func (g *Gateway) rest(service, id string, start int64, until time.Time) {
	left := time.Until(until)
	g.placer.rest(service, id, start, left)
	for _, member := range g.paths.relayMembers() {
		g.placer.send(member, peer.TopicEndpointRest,
			&restMessage{Service: service, Endpoint: id, Start: start, LeftMillis: left.Milliseconds(), Relayed: true})
	}
}

// rest excludes an endpoint for this member and tells the owner of the service.
func (p *placer) rest(service, id string, start int64, left time.Duration) {
	now := bootTime()
	p.mu.Lock()
	p.rests.add(now, id, rest{service: service, start: start, until: now + instant(left)})
	decisions := p.applyRest(service, id, start, p.fleet.self.Address, left)
	p.mu.Unlock()
	p.deliver(decisions)
	if owner, found := p.fleet.owner(service); found {
		p.sendRest(owner.Address, service, id)
	}
}

// applyRest passes a rest on to the scheduler of a service. The mutex must be held.
func (p *placer) applyRest(service, id string, start int64, proxy string, left time.Duration) []placement.Decision {
	now := time.Now()
	s := p.service(service)
	decisions := s.scheduler.Rest(now, id, start, proxy, now.Add(left))
	p.armTimer(s)
	return decisions
}

// applyOwnRests passes the rests of this member on to the scheduler of a service whose endpoints
// have changed: a rest may be heard before the registration of the endpoint. The mutex must be held.
func (p *placer) applyOwnRests(service string, endpoints []Endpoint) []placement.Decision {
	now := bootTime()
	var decisions []placement.Decision
	for _, e := range endpoints {
		if p.rests.active(now, e.ID, e.StartMillis) {
			left := p.rests[e.ID].until.since(now)
			decisions = append(decisions, p.applyRest(service, e.ID, e.StartMillis, p.fleet.self.Address, left)...)
		}
	}
	return decisions
}

// sendRest tells a hub about the rest of an endpoint, if it lasts.
func (p *placer) sendRest(to, service, id string) {
	if to == "" || to == p.fleet.self.Address {
		return
	}
	now := bootTime()
	p.mu.Lock()
	v, found := p.rests[id]
	p.mu.Unlock()
	if found && now < v.until {
		p.send(to, peer.TopicEndpointRest,
			&restMessage{Service: service, Endpoint: id, Start: v.start, LeftMillis: v.until.since(now).Milliseconds()})
	}
}

// sendRests tells the new owner of a service about the endpoints that rest.
func (p *placer) sendRests(to, service string) {
	var list []string
	p.mu.Lock()
	for id, v := range p.rests {
		if v.service == service {
			list = append(list, id)
		}
	}
	p.mu.Unlock()
	for _, id := range list {
		p.sendRest(to, service, id)
	}
}

// handleRest applies a rest that another member reports.
func (g *Gateway) handleRest(from string, payload []byte) {
	var m restMessage
	p := g.placer
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode the rest of an endpoint", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	left := time.Duration(min(m.LeftMillis, endpoint.MaxRest.Milliseconds())) * time.Millisecond
	if left <= 0 {
		return
	}
	if m.Start == unknownStart {
		m.Start, _ = g.process(m.Endpoint)
	}
	if m.Relayed {
		p.rest(m.Service, m.Endpoint, m.Start, left)
		return
	}
	p.mu.Lock()
	decisions := p.applyRest(m.Service, m.Endpoint, m.Start, from, left)
	p.mu.Unlock()
	p.deliver(decisions)
}

// repeatNotice tells the hub that placed a withheld attempt what it does not seem to know
// about the endpoint.
func (g *Gateway) repeatNotice(p placedAttempt, id string) {
	if p.hub == "" {
		return
	}
	g.placer.sendRest(p.hub, p.service, id)
	g.mu.Lock()
	e := g.registry.entries[id]
	g.mu.Unlock()
	if e.leaves() {
		g.sendDepartures(p.hub, []Endpoint{e})
	}
}
