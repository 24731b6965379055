package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// shareMessage asks a member for its share of the rate limits of a service, or lends the
// share of the sender.
type shareMessage struct {
	Service string
	Lent    bool
}

// shareReturnMessage tells a member that the sender does not use its share of the rate limits of a
// service any more.
type shareReturnMessage struct {
	Service string
}

// updateMembers passes changes of the set of members on to the schedulers and budgets,
// which divide rate limits and the retry burst among them.
func (p *placer) updateMembers() {
	generation := p.fleet.currentGeneration()
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation == p.generation {
		return
	}
	p.generation = generation
	members := p.fleet.addresses()
	for _, s := range p.services {
		s.scheduler.SetMembers(time.Now(), members)
		s.localBudget.SetBurst(p.localBurst(len(members)))
	}
}

// borrowShares asks for the shares of rate limits that this member lacks as the owner of a
// service. Unless due, it does so only if it has become the owner or the set of their holders
// has changed.
func (p *placer) borrowShares(due bool) {
	names := p.serviceNames()
	owned := p.fleet.owned(names)
	for _, name := range names {
		if !owned[name] {
			continue
		}
		p.mu.Lock()
		s := p.service(name)
		var missing []string
		if due || !s.borrows || s.scheduler.WantsShares() {
			missing = s.scheduler.MissingShares(time.Now())
			s.borrows = s.borrows || len(missing) > 0
		}
		p.mu.Unlock()
		for _, member := range missing {
			if member == p.fleet.self.Address {
				p.useOwnShare(name)
				continue
			}
			p.send(member, peer.TopicPlaceShare, &shareMessage{Service: name})
		}
	}
}

// useOwnShare lets this member's view use its own share, unless it is lent.
func (p *placer) useOwnShare(name string) {
	now, self := time.Now(), p.fleet.self.Address
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.service(name); s.share.Lend(now, self) {
		s.scheduler.HoldShare(now, self)
	}
}

// lendShare lends this member's share to the owner of the service and reports whether it
// did. A share that this member uses itself is taken back first.
func (p *placer) lendShare(name, to string) bool {
	if owner, found := p.fleet.owner(name); !found || owner.Address != to {
		return false
	}
	now, self := time.Now(), p.fleet.self.Address
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	s.share.Return(self)
	s.scheduler.ReleaseShare(now, self)
	return s.share.Lend(now, to)
}

// handleShare receives a request for this member's share, or the share of another member.
func (p *placer) handleShare(from string, payload []byte) {
	var m shareMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode a share of rate limits", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	switch {
	case !m.Lent:
		if p.lendShare(m.Service, from) {
			p.send(from, peer.TopicPlaceShare, &shareMessage{Service: m.Service, Lent: true})
		}
	case p.fleet.owns(m.Service):
		p.mu.Lock()
		if s := p.service(m.Service); bootTime() >= s.acceptsFrom {
			s.scheduler.HoldShare(time.Now(), from)
		}
		p.mu.Unlock()
	}
}

// returnBorrowedShares gives the shares of services back that this member does not own any more,
// so that the new owner need not wait until they expire.
func (p *placer) returnBorrowedShares() {
	for _, name := range p.borrowingServices() {
		if p.fleet.owns(name) {
			continue
		}
		p.mu.Lock()
		s := p.service(name)
		s.borrows, s.acceptsFrom = false, bootTime()+instant(placement.ShareReturnRest)
		released := s.scheduler.ReleaseShares(time.Now())
		s.share.Return(p.fleet.self.Address)
		p.mu.Unlock()
		for _, member := range released {
			if member != p.fleet.self.Address {
				p.send(member, peer.TopicPlaceReturn, &shareReturnMessage{Service: name})
			}
		}
	}
}

// borrowingServices returns the services for which this member has asked for shares.
func (p *placer) borrowingServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, s := range p.services {
		if s.borrows {
			names = append(names, name)
		}
	}
	return names
}

// handleShareReturn takes this member's share back from a former owner of a service, and lends it
// to the new one if there is any.
func (p *placer) handleShareReturn(from string, payload []byte) {
	var m shareReturnMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode the return of a share", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	p.mu.Lock()
	p.service(m.Service).share.Return(from)
	p.mu.Unlock()
	owner, found := p.fleet.owner(m.Service)
	if !found || owner.Address == from || owner.Address == p.fleet.self.Address {
		return
	}
	if p.lendShare(m.Service, owner.Address) {
		p.send(owner.Address, peer.TopicPlaceShare, &shareMessage{Service: m.Service, Lent: true})
	}
}

// maxHeartbeatGap is the time between two heartbeats from which the machine counts as
// suspended in between. It is shorter than the time for which a lent share is valid.
const maxHeartbeatGap = time.Second

// releaseAfterSuspension ends the use of lent shares if the machine was suspended since the
// last call: their validity is measured by a clock that stood still.
func (p *placer) releaseAfterSuspension(now instant) {
	last := p.heartbeatAt
	p.heartbeatAt = now
	if last != 0 && now.since(last) >= maxHeartbeatGap {
		p.releaseShares()
	}
}

// releaseShares ends the use of all shares by this member.
func (p *placer) releaseShares() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		_ = s.scheduler.ReleaseShares(time.Now())
	}
}

// returnShares takes this member's shares back from a hub that is stopping.
func (p *placer) returnShares(from string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.share.Return(from)
	}
}
