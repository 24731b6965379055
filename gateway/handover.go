package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// maxHeld bounds the attempts in one message; a proxy has fewer in flight at the
// endpoints of a service.
const maxHeld = 512

// heldMessage tells the hub that has taken over a service which attempts of the sender
// are in flight.
type heldMessage struct {
	Service  string
	Attempts []heldAttempt
}

// heldAttempt is a placement.Attempt with times as their distances from now.
type heldAttempt struct {
	Token          uint64
	Endpoint       string
	AgeMillis      int64
	DeadlineMillis int64
}

// told is a hub that was told of this member's attempts.
type told struct {
	hub string
	at  time.Time
}

// maxTold bounds the hubs that are told of the end of an attempt.
const maxTold = 4

// informed returns the other members that count an attempt: the hub that granted it,
// those that were told of it, and the hub of now.
func (p *placer) informed(x placed) []string {
	list := make([]string, 0, 2)
	add := func(hub string) {
		if hub != "" && hub != p.fleet.self.Address && !slices.Contains(list, hub) {
			list = append(list, hub)
		}
	}
	if owner, found := p.fleet.owner(x.service); found {
		add(owner.Address)
	}
	add(x.hub)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.service(x.service).told {
		if !t.at.Before(x.asked) {
			add(t.hub)
		}
	}
	return list
}

// own notes whether this member places the requests of the service. The repeats of a
// hub that begins to do so start without the burst, which its predecessor may have
// spent. The placer's mutex must be held.
func (s *service) own(now time.Time, owned bool) {
	if owned && !s.owned {
		s.budget.Restart(now)
	}
	s.owned = owned
}

// ownAll notes for each service whether this member places its requests, so that the
// time without the burst begins with the duty and not with the first request.
func (p *placer) ownAll() {
	for _, name := range p.names() {
		owned := p.fleet.owns(name)
		p.mu.Lock()
		p.service(name).own(time.Now(), owned)
		p.mu.Unlock()
	}
}

// allows reports whether the budget of a member that does not own the service allows
// the attempt, and counts it. The placer's mutex must be held.
func (s *service) allows(now time.Time, a placement.Request) bool {
	switch {
	case s.owned || a.Rerouted:
	case a.Retry:
		return s.alone.Allow(now)
	default:
		s.alone.Request(now)
	}
	return true
}

// handOver tells the owner of a service of this member's attempts, once. It answers
// the loss of a hub under load: its successor would take the endpoints for idle.
func (p *placer) handOver(name string, owner Member) {
	now := time.Now()
	p.mu.Lock()
	s := p.service(name)
	former := s.owner
	if former == owner.Address {
		p.mu.Unlock()
		return
	}
	s.owner = owner.Address
	held := s.scheduler.InFlight(p.fleet.self.Address)
	p.mu.Unlock()
	if former == "" || owner.Address == p.fleet.self.Address || len(held) == 0 {
		return
	}
	m := &heldMessage{Service: name}
	for _, a := range held[:min(len(held), maxHeld)] {
		m.Attempts = append(m.Attempts, heldAttempt{
			Token: a.Token, Endpoint: a.Endpoint,
			AgeMillis: now.Sub(a.Since).Milliseconds(), DeadlineMillis: a.Deadline.Sub(now).Milliseconds(),
		})
	}
	if err := p.transport.Send(owner.Address, peer.TopicPlaceInFlight, encode(m)); err != nil {
		p.counts.lostReports.Inc()
		return
	}
	p.mu.Lock()
	s.told = append(s.told, told{hub: owner.Address, at: now})
	s.told = s.told[max(0, len(s.told)-maxTold):]
	p.mu.Unlock()
	p.logger.Info("placement: hub of a service changed", zap.String("service", name), zap.String("former", former),
		zap.String("hub", owner.Address), zap.Int("attempts", len(m.Attempts)))
}

// handOverAll does so for all services when the hubs have changed.
func (p *placer) handOverAll() {
	hubs := p.fleet.hubAddresses()
	p.mu.Lock()
	if slices.Equal(hubs, p.hubs) {
		p.mu.Unlock()
		return
	}
	p.hubs = hubs
	p.mu.Unlock()
	for _, name := range p.names() {
		if owner, found := p.fleet.owner(name); found {
			p.handOver(name, owner)
		}
	}
}

// serveHeld counts the attempts of another member that a former hub has placed.
func (p *placer) serveHeld(from string, payload []byte) {
	var m heldMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: unreadable attempts", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range m.Attempts {
		p.service(m.Service).scheduler.Begin(now.Add(-time.Duration(a.AgeMillis)*time.Millisecond), placement.Request{
			Token: a.Token, Proxy: from, Deadline: now.Add(time.Duration(a.DeadlineMillis) * time.Millisecond),
		}, a.Endpoint)
	}
}
