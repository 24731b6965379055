package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// announce sends this hub's state to all members.
func (g *Gateway) announce(changed []Endpoint, joined []Member, leaving bool) {
	g.mu.Lock()
	state := hubState{
		Member: g.settings.Self, Digest: g.registry.digest, Changes: changed, Joined: joined, Leaving: leaving,
		StoreAgeMillis: g.fleet.storeAge().Milliseconds(),
	}
	state.Version = g.version()
	g.mu.Unlock()
	state.Suspicions = g.placer.suspicions()
	payload := encode(&state)
	for _, address := range g.fleet.others() {
		if err := g.transport.Send(address, peer.TopicHubState, payload); err != nil {
			g.counts.lostReports.Inc()
		}
	}
}

// hearHub takes the state of a hub.
func (g *Gateway) hearHub(payload []byte) {
	var s hubState
	if err := decode(payload, &s); err != nil {
		g.logger.Warn("fleet: unreadable state of a hub", zap.String("error", err.Error()))
		return
	}
	if g.fleet.hear(s) {
		g.logger.Info("fleet: hub heard", zap.String("hub", s.Member.Address), zap.Int64("store_age_ms", s.StoreAgeMillis))
	}
	for _, m := range s.Joined {
		g.fleet.add(m)
	}
	changed := g.merge(s.Changes)
	g.endpointsChanged(changed, s.Member.Address)
	g.placer.learn(s.Member.Address, s.Suspicions)
	g.catchUp()
}

// catchUp asks a hub for what this member lacks. A registry that differs for a
// moment is usual, because hubs tell their changes at different times.
func (g *Gateway) catchUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.syncing {
		return
	}
	version := g.version()
	hub, found := g.fleet.newer(version)
	if !found {
		hub, found = g.differing()
	}
	if !found {
		return
	}
	g.syncing = true
	request := &syncRequest{
		Member: g.settings.Self, Version: version, Digest: g.registry.digest, Since: g.agreed,
	}
	go func() {
		defer g.synced()
		if err := g.sync(hub.Address, request); err != nil {
			g.fleet.fail(hub.Address)
			g.logger.Info("fleet: sync failed", zap.String("hub", hub.Address), zap.String("error", err.Error()))
		}
	}()
}

// differPatience is the time for which a hub's registry may differ before this
// member asks for the changes: longer than the news of all hubs take.
const differPatience = 700 * time.Millisecond

// differing returns a hub whose registry has differed for some time. The mutex must
// be held.
func (g *Gateway) differing() (Member, bool) {
	hub, found := g.fleet.differing(g.registry.digest)
	now := bootTime()
	switch {
	case !found:
		g.differs = 0
		g.agreed = g.registry.newest
	case g.differs == 0:
		g.differs = now
	case now.since(g.differs) >= differPatience:
		g.differs = 0
		return hub, true
	}
	return Member{}, false
}

// version returns that of the configuration in force, or 0. The mutex must be held.
func (g *Gateway) version() uint64 {
	if g.configuration == nil {
		return 0
	}
	return g.configuration.Version
}

func (g *Gateway) synced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncing = false
}

// syncTimeout bounds the wait for a hub's whole state.
const syncTimeout = 500 * time.Millisecond

// sync takes the state of another member.
func (g *Gateway) sync(from string, request *syncRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	payload, err := g.transport.Request(ctx, from, "", peer.TopicHubSync, encode(request))
	if err != nil {
		return err
	}
	var reply syncReply
	if err := decode(payload, &reply); err != nil {
		return err
	}
	for _, m := range reply.Members {
		g.fleet.add(m)
	}
	if reply.Configuration != nil {
		g.adopt(reply.Configuration, from)
	}
	changed := g.merge(reply.Endpoints)
	g.endpointsChanged(changed, from)
	if reply.Complete {
		g.loaded.Store(true)
	}
	return nil
}

func (g *Gateway) serveSync(payload []byte) ([]byte, error) {
	var request syncRequest
	if err := decode(payload, &request); err != nil {
		return nil, err
	}
	if g.fleet.add(request.Member) && g.fleet.isHub() {
		g.news.join(request.Member)
	}
	reply := &syncReply{StoreAgeMillis: g.fleet.storeAge().Milliseconds()}
	if members := g.fleet.list(); request.Version == 0 && len(members) != request.Known {
		reply.Members = members
	}
	g.mu.Lock()
	if c := g.configuration; c != nil && c.Version > request.Version {
		reply.Configuration = c
	}
	if g.registry.digest != request.Digest {
		reply.Endpoints = g.registry.after(request.Since)
	}
	reply.Complete = g.configuration != nil && g.loaded.Load()
	g.mu.Unlock()
	return encode(reply), nil
}

// awaitDuty waits until this member needs the store: because it acts as a hub, or
// because no other member has told it the state of the fleet.
func (g *Gateway) awaitDuty(ctx context.Context) {
	for ctx.Err() == nil && !g.fleet.isHub() && !g.alone() {
		if g.Ready() {
			pause(ctx, hubPoll)
		} else {
			pause(ctx, startPoll)
		}
	}
}

const (
	// seedPatience is the time that the seeds get to answer a member at the first
	// start of the fleet, so that it does not call the store for each member. Later
	// starts follow the rank of the member.
	seedPatience = 800 * time.Millisecond
	// hubPoll is how often watchers look whether this member became a hub, and startPoll
	// how often while it has no state.
	hubPoll   = 200 * time.Millisecond
	startPoll = 25 * time.Millisecond
	// startBytes bounds what the members that ask the store at once read together when
	// many start. It answers a loss of power of all: hundreds of members that read the
	// whole state fill the link of the store for seconds, and none has it in time. So
	// many bytes take 0.2 s at the 1,000 Mbit/s that the deployments declare.
	startBytes = 24_000_000
	// memberBytes is the size of the state for each member of the fleet: an estimate of
	// the configuration and the registrations at 443 members, 600 KB, by their number.
	memberBytes = 1_350
	// strongStarters is the number of those that the others ask, and the least that
	// ask the store.
	strongStarters = 12
	// starterPatience is the time that the starters get to tell the others, and
	// starterPatienceRank spreads the calls of those that they did not reach.
	starterPatience     = 900 * time.Millisecond
	starterPatienceRank = 2 * time.Millisecond
	// listPatience is the time in which the members are listed, without which a member
	// does not know its rank.
	listPatience = 400 * time.Millisecond
)

// alone reports whether this member has waited in vain for the state of the fleet.
func (g *Gateway) alone() bool {
	return !g.Ready() && !g.stopping.Load() && !g.othersMayAnswer()
}

// othersMayAnswer reports whether other members still have time to tell this one the
// state of the fleet before it asks the store.
func (g *Gateway) othersMayAnswer() bool {
	return bootTime().since(g.fleet.start) < g.storePatience()
}

// storePatience returns the time after the start from which this member asks the store.
func (g *Gateway) storePatience() time.Duration {
	if g.alonePatience > 0 {
		return g.alonePatience
	}
	if !g.membersListed.Load() {
		return listPatience
	}
	rank := g.fleet.ownRank()
	if rank < starters(g.fleet.size()) {
		return 0
	}
	return starterPatience + starterPatienceRank*time.Duration(rank)
}

// starters returns the number of members, by rank, that ask the store at once when all
// members of a fleet start together.
func starters(members int) int {
	return max(strongStarters, startBytes/(memberBytes*max(members, 1)))
}

// merge takes states of endpoints and returns those that were new.
func (g *Gateway) merge(list []Endpoint) []Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changed []Endpoint
	for _, e := range list {
		if g.registry.merge(e) {
			changed = append(changed, e)
		}
	}
	return changed
}
