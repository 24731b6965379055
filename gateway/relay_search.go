package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	// maxRelays is the number of relays that a member keeps, so that its callers do not
	// depend on one.
	maxRelays = 3
	// A search asks firstWave members of the own zone, because bytes between zones are
	// expensive, and each waveInterval without an offer twice as many others: nine in ten
	// of them may be cut as well.
	firstWave    = 2
	waveInterval = 15 * time.Millisecond
	// offerTimeout bounds the search for relays, in which five waves ask up to 62 members.
	offerTimeout = 100 * time.Millisecond
	maxWaves     = 5
	// After a search without an offer there is none for minSearchPause, which doubles up to
	// maxSearchPause: if all members are cut, each of them searches.
	minSearchPause = 200 * time.Millisecond
	maxSearchPause = 3200 * time.Millisecond
)

// relayOffer is the answer of a member to the question whether it forwards connections to
// endpoints.
type relayOffer struct {
	Address string // of its relay listener; empty if it does not forward
}

// relayMember is a member that forwards connections.
type relayMember struct {
	member  string
	address string // of its relay listener
}

// relayMembers returns the members that this one may have connections through.
func (p *paths) relayMembers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]string, len(p.relays))
	for i, r := range p.relays {
		list[i] = r.member
	}
	return list
}

// rank moves a relay behind the others after a failure, or removes it.
func (p *paths) rank(r relayMember, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relays = slices.DeleteFunc(p.relays, func(v relayMember) bool { return v == r })
	if keep {
		p.relays = append(p.relays, r)
	}
}

// relay returns a relay, after a search if this member knows none.
func (p *paths) relay(ctx context.Context) (relayMember, bool) {
	for {
		p.mu.Lock()
		if len(p.relays) > 0 {
			defer p.mu.Unlock()
			return p.relays[0], true
		}
		if bootTime() < p.noRelayUntil {
			p.mu.Unlock()
			return relayMember{}, false
		}
		if p.searching == nil {
			p.searching = make(chan struct{})
			go p.search(p.searching)
		}
		done := p.searching
		p.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return relayMember{}, false
		}
	}
}

// search asks other members for offers until one has come. Later ones are kept as well.
func (p *paths) search(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	var group sync.WaitGroup
	var found sync.Once
	waves := searchWaves(p.fleet.self, p.fleet.listByRank(), rand.Shuffle)
	for _, wave := range waves {
		for _, m := range wave {
			group.Go(func() {
				if address, ok := p.askOffer(ctx, m); ok && p.addRelay(relayMember{member: m, address: address}) {
					found.Do(func() { p.endSearch(done, true) })
				}
			})
		}
		select {
		case <-done:
		case <-time.After(waveInterval):
			continue
		}
		break
	}
	group.Wait()
	found.Do(func() {
		p.logger.Warn("path: no relay found", zap.Int("waves", len(waves)))
		p.endSearch(done, false)
	})
}

func (p *paths) endSearch(done chan struct{}, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found {
		p.searchPause = 0
	} else {
		p.searchPause = min(max(minSearchPause, 2*p.searchPause), maxSearchPause)
		p.noRelayUntil = bootTime() + instant(p.searchPause)
	}
	p.searching = nil
	close(done)
}

// searchWaves returns the addresses of members to ask for offers, in random order, so that no
// relay gets the connections of a whole zone.
func searchWaves(self Member, members []Member, shuffle func(n int, swap func(i, j int))) [][]string {
	shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var near, others []string
	for _, m := range members {
		switch {
		case m.Address == self.Address:
		case m.Zone == self.Zone && len(near) < firstWave:
			near = append(near, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	waves := [][]string{near}
	for size := 2 * firstWave; len(others) > 0 && len(waves) < maxWaves; size *= 2 {
		n := min(size, len(others))
		waves = append(waves, others[:n])
		others = others[n:]
	}
	return waves
}

func (p *paths) askOffer(ctx context.Context, member string) (string, bool) {
	reply, err := p.transport.Request(ctx, member, "", peer.TopicRelayOffer, nil)
	if err != nil {
		return "", false
	}
	var offer relayOffer
	if err := decode(reply, &offer); err != nil {
		p.logger.Warn("path: failed to decode an offer", zap.String("member", member), zap.String("error", err.Error()))
		return "", false
	}
	return offer.Address, offer.Address != ""
}

func (p *paths) addRelay(r relayMember) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.relays, r) {
		return true
	}
	if len(p.relays) >= maxRelays {
		return false
	}
	p.relays = append(p.relays, r)
	return true
}
