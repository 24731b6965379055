package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// maxReportedInFlight bounds the attempts in one message. A proxy has fewer in flight per
// service.
const maxReportedInFlight = 512

// inFlightMessage lists the in-flight attempts of the sender for the new owner of a
// service.
type inFlightMessage struct {
	Service  string
	Attempts []inFlightAttempt
}

// inFlightAttempt is the wire form of a placement.Attempt, with times relative to the time
// of sending.
type inFlightAttempt struct {
	Token          uint64
	Endpoint       string
	AgeMillis      int64
	DeadlineMillis int64
}

// notifiedHub is a hub that received this member's in-flight attempts.
type notifiedHub struct {
	hub string
	at  time.Time
}

// maxNotifiedHubs bounds the hubs kept per service that get reports of ended attempts.
const maxNotifiedHubs = 4

// reportTargets returns the other members that count an attempt: the hub that granted it,
// hubs that received it as in flight, and the current owner.
func (p *placer) reportTargets(placed placedAttempt) []string {
	list := make([]string, 0, 2)
	add := func(hub string) {
		if hub != "" && hub != p.fleet.self.Address && !slices.Contains(list, hub) {
			list = append(list, hub)
		}
	}
	if owner, found := p.fleet.owner(placed.service); found {
		add(owner.Address)
	}
	add(placed.hub)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.service(placed.service).notified {
		if !t.at.Before(placed.requestedAt) {
			add(t.hub)
		}
	}
	return list
}

// setOwned records whether this member owns the service. A new owner starts without the
// burst of the retry budget, which the previous owner may have spent. The placer's mutex
// must be held.
func (s *service) setOwned(now time.Time, owned bool) {
	if owned && !s.owned {
		s.hubBudget.ResetWithoutBurst(now)
	}
	s.owned = owned
}

// updateOwnership records for each service whether this member owns it. It runs
// periodically so that the time without the burst starts with the ownership and not with
// the first request.
func (p *placer) updateOwnership() {
	names := p.serviceNames()
	owned := p.fleet.owned(names)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.service(name).setOwned(now, owned[name])
	}
}

// chargeLocalBudget counts an attempt in the budget for placements without the hub and
// reports whether it is allowed. It allows all attempts if this member owns the service,
// because the scheduler charges those to the budget of the hub, and all rerouted attempts.
// The placer's mutex must be held.
func (s *service) chargeLocalBudget(now time.Time, request placement.Request) bool {
	switch {
	case s.owned || request.Rerouted:
	case request.Retry:
		return s.localBudget.Allow(now)
	default:
		s.localBudget.Request(now)
	}
	return true
}

// sendInFlight sends this member's in-flight attempts, and the rate limits that it knows
// of, to the owner of a service when the owner has changed. Otherwise the successor of a
// hub lost under load would consider the endpoints idle and overload them.
func (p *placer) sendInFlight(name string, owner Member) {
	now := time.Now()
	p.mu.Lock()
	s := p.service(name)
	previous := s.owner
	if previous == owner.Address {
		p.mu.Unlock()
		return
	}
	s.owner = owner.Address
	inFlight, limits := s.scheduler.InFlight(p.fleet.self.Address), s.scheduler.KnownLimits(now)
	p.mu.Unlock()
	if previous == "" || owner.Address == p.fleet.self.Address {
		return
	}
	p.sendRateLimits(owner.Address, name, now, limits)
	p.sendRests(owner.Address, name)
	if len(inFlight) == 0 {
		return
	}
	m := &inFlightMessage{Service: name}
	for _, a := range inFlight[:min(len(inFlight), maxReportedInFlight)] {
		m.Attempts = append(m.Attempts, inFlightAttempt{
			Token: a.Token, Endpoint: a.Endpoint,
			AgeMillis: now.Sub(a.Since).Milliseconds(), DeadlineMillis: a.Deadline.Sub(now).Milliseconds(),
		})
	}
	if err := p.transport.Send(owner.Address, peer.TopicPlaceInFlight, encode(m)); err != nil {
		p.counts.lostReports.Inc()
		return
	}
	p.mu.Lock()
	s.notified = append(s.notified, notifiedHub{hub: owner.Address, at: now})
	s.notified = s.notified[max(0, len(s.notified)-maxNotifiedHubs):]
	p.mu.Unlock()
	p.logger.Info("placement: hub of a service changed", zap.String("service", name), zap.String("former", previous),
		zap.String("hub", owner.Address), zap.Int("attempts", len(m.Attempts)))
}

// sendAllInFlight calls sendInFlight for all services if the hubs have changed.
func (p *placer) sendAllInFlight() {
	hubs := p.fleet.hubAddresses()
	p.mu.Lock()
	if slices.Equal(hubs, p.hubs) {
		p.mu.Unlock()
		return
	}
	p.hubs = hubs
	p.mu.Unlock()
	for _, name := range p.serviceNames() {
		if owner, found := p.fleet.owner(name); found {
			p.sendInFlight(name, owner)
		}
	}
}

// handleInFlight counts attempts of another member that a previous owner placed.
func (p *placer) handleInFlight(from string, payload []byte) {
	var m inFlightMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode in-flight attempts", zap.String("from", from), zap.String("error", err.Error()))
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
