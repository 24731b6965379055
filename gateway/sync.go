package gateway

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// broadcastState sends this hub's state to all members.
func (g *Gateway) broadcastState(changed []Endpoint, joined []Member, leaving bool) {
	// What the message confirms is read before the digest, which may include more but never less.
	confirmedAt := min(g.fleet.ownConfirmation(KindEndpoints).at, g.fleet.ownConfirmation(KindConfiguration).at)
	annotation := g.fleet.annotation()
	g.mu.Lock()
	state := hubState{
		Member: g.settings.Self, Digest: g.registry.digest, Changes: changed, Joined: joined, Leaving: leaving,
		StoreAgeMillis: g.fleet.storeAge().Milliseconds(),
	}
	state.Version = g.version()
	g.mu.Unlock()
	state.Suspicions = g.placer.suspicions()
	g.toldAt.Store(int64(confirmedAt))
	payload, annotated := encode(&state), encode(&annotation)
	for _, address := range g.fleet.others() {
		if err := g.transport.SendAnnotated(address, peer.TopicHubState, payload, annotated); err != nil {
			g.counts.lostReports.Inc()
		}
	}
}

// handleHubState applies a state message of a hub.
func (g *Gateway) handleHubState(m *message.Message) {
	received := bootTime()
	var s hubState
	if err := decode(m.Payload, &s); err != nil {
		g.logger.Warn("fleet: failed to decode the state of a hub", zap.String("error", err.Error()))
		return
	}
	a, err := annotationOf(m, &s)
	if err != nil {
		g.logger.Warn("fleet: invalid annotation of a hub", zap.String("hub", s.Member.Address), zap.String("error", err.Error()))
		a = unconfirmed
	}
	var underway time.Duration
	if a.SentMillis != 0 {
		underway = g.fleet.underway(s.Member.Address, m.Metadata.Get(peer.MetadataIncarnation), a.SentMillis, received)
	}
	if g.fleet.recordHubState(s, underway, a.Revision) {
		g.logger.Info("fleet: hub heard", zap.String("hub", s.Member.Address), zap.Int64("store_age_ms", s.StoreAgeMillis))
	}
	if s.Leaving {
		g.placer.returnShares(s.Member.Address)
	}
	for _, m := range s.Joined {
		g.fleet.add(m)
	}
	g.observeEras(s.Changes, s.Member.Address)
	changed := g.mergeEndpoints(s.Changes)
	g.publishEndpoints(changed, s.Member.Address)
	g.placer.applySuspicions(s.Member.Address, s.Suspicions)
	g.confirmByHub(&s, a, received, underway)
	g.catchUp()
}

// catchUp requests missing state from a hub in the background, unless such a call is in
// progress: a newer configuration, or endpoints if the registry has differed for
// mismatchGrace.
func (g *Gateway) catchUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.syncing {
		return
	}
	version := g.version()
	hub, found := g.fleet.hubWithNewerConfiguration(version)
	if !found {
		hub, found = g.hubWithOtherRegistry()
	}
	if !found {
		return
	}
	g.syncing = true
	departures := g.registry.departing()
	request := &syncRequest{
		Member: g.settings.Self, Version: version, Digest: g.registry.digest, Since: g.syncedRevision,
	}
	var adoptUpTo Revision
	outOfDate := bootTime().since(g.agreedAt) >= g.removedKept/2
	if (outOfDate || g.vainSyncs > maxVainSyncs) && !g.fleet.isHub() {
		g.vainSyncs = 0
		adoptUpTo = g.fleet.readUpTo(hub.Address)
	}
	if adoptUpTo != 0 {
		request.Digest, request.Since = 0, 0
		g.logger.Info("fleet: registry still differs, comparing all of it", zap.String("hub", hub.Address),
			zap.Uint64("hub_read_up_to", adoptUpTo.Number()))
	}
	go func() {
		defer g.syncDone()
		// The hub may differ because it has not heard of them.
		g.sendDepartures(hub.Address, departures)
		if err := g.syncFrom(hub.Address, request, adoptUpTo); err != nil {
			g.fleet.markFailed(hub.Address)
			g.logger.Info("fleet: sync failed", zap.String("hub", hub.Address), zap.String("error", err.Error()))
		}
	}()
}

// mismatchGrace is the time for which the registry of a hub may differ before this member
// requests the changes. Short differences are normal, because hubs send the same change at
// different times; it is longer than the messages of all hubs take.
const mismatchGrace = 700 * time.Millisecond

// maxVainSyncs is the number of times that a member requests the changes since its registry was
// last the same as those of the hubs, before it requests all states.
const maxVainSyncs = 4

// hubWithOtherRegistry returns a hub whose registry has differed for mismatchGrace. The
// mutex must be held.
func (g *Gateway) hubWithOtherRegistry() (Member, bool) {
	hub, found := g.fleet.hubWithOtherRegistry(g.registry.digest)
	now := bootTime()
	if !found && g.fleet.hasFreshHub() {
		g.agreedAt = now
	}
	switch {
	case !found:
		g.mismatchSince, g.vainSyncs = 0, 0
		g.syncedRevision = g.registry.maxRevision
	case g.mismatchSince == 0:
		g.mismatchSince = now
	case now.since(g.mismatchSince) >= mismatchGrace:
		g.mismatchSince = 0
		g.vainSyncs++
		return hub, true
	}
	return Member{}, false
}

// version returns the version of the active configuration, or 0. The mutex must be held.
func (g *Gateway) version() uint64 {
	if g.configuration == nil {
		return 0
	}
	return g.configuration.Version
}

func (g *Gateway) syncDone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncing = false
}

// syncTimeout bounds the transfer of the state of another member.
const syncTimeout = 500 * time.Millisecond

// syncFrom requests state from another member and applies the reply. If adoptUpTo is not 0, the
// request is for all endpoints, and those not in the reply are removed unless they are newer.
func (g *Gateway) syncFrom(from string, request *syncRequest, adoptUpTo Revision) error {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	began := bootTime()
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
		g.applyConfiguration(reply.Configuration, from)
	}
	if err := g.requestPages(from, &reply); err != nil {
		return err
	}
	g.observeEras(reply.Endpoints, from)
	changed := g.mergeEndpoints(reply.Endpoints)
	if adoptUpTo != 0 && reply.Complete {
		readAt := time.Now().Add(-bootTime().since(began) - ageFromMillis(reply.StoreAgeMillis))
		g.mu.Lock()
		changed = append(changed, g.registry.adopt(reply.Endpoints, adoptUpTo, readAt)...)
		g.mu.Unlock()
	}
	g.publishEndpoints(changed, from)
	if reply.Complete {
		confirmed := confirmation{at: began - instant(ageFromMillis(reply.StoreAgeMillis))}
		g.confirmations.told(KindConfiguration, confirmed)
		if request.Since == 0 {
			g.confirmations.told(KindEndpoints, confirmed)
		}
		g.endpointsLoaded.Store(true)
	}
	return nil
}

func (g *Gateway) handleSync(payload []byte) ([]byte, error) {
	var request syncRequest
	if err := decode(payload, &request); err != nil {
		return nil, err
	}
	if g.fleet.add(request.Member) && g.fleet.isHub() {
		g.pending.join(request.Member)
	}
	reply := &syncReply{StoreAgeMillis: g.confirmations.oldest(bootTime()).Milliseconds() + 1}
	if members := g.fleet.listByRank(); request.Version == 0 && len(members) != request.Known {
		reply.Members = members
	}
	g.mu.Lock()
	if c := g.configuration; c != nil && c.Version > request.Version {
		reply.Configuration = c
	}
	if g.registry.digest != request.Digest {
		reply.Endpoints = g.registry.changedAfter(request.Since)
	}
	reply.Complete = g.configuration != nil && g.endpointsLoaded.Load()
	g.mu.Unlock()
	reply.cut()
	return encode(reply), nil
}

// awaitStoreUse waits until this member has to read a kind from the store.
func (g *Gateway) awaitStoreUse(ctx context.Context, kind Kind) {
	for ctx.Err() == nil && !g.readsStore(kind) {
		switch {
		case !g.Ready():
			sleep(ctx, startPoll)
		case kind < confirmedKinds:
			sleep(ctx, min(hubPoll, g.confirmations.hubsTimeOutIn(kind, bootTime())))
		default:
			sleep(ctx, hubPoll)
		}
	}
}

const (
	// seedWait is the mean time that a member waits for the seeds at the first start of the
	// fleet, so that not every member calls the store. At later starts the wait depends on
	// the rank of the member.
	seedWait = 800 * time.Millisecond
	// hubPoll is the interval at which watchers check whether this member became a hub,
	// startPoll the interval while the member has no state.
	hubPoll   = 200 * time.Millisecond
	startPoll = 25 * time.Millisecond
	// initialReadBytes bounds the bytes that members read from the store at the same time
	// when the whole fleet starts, such as after a power failure. If hundreds of members
	// read the complete state, they saturate the link of the store for seconds and none
	// has the state in time. Reading this amount takes 0.2 s at the 1,000 Mbit/s that the
	// deployments declare.
	initialReadBytes = 24_000_000
	// stateBytesPerMember estimates the size of the state per member of the fleet:
	// configuration and registrations are 600 KB for 443 members.
	stateBytesPerMember = 1_350
	// minInitialReaders is the minimum number of members that read the store at once, and
	// the number of members by rank that the others contact.
	minInitialReaders = 12
	// initialReaderWait is the time that the other members wait for the initial readers to
	// forward the state. storeDelayPerRank staggers the calls of members that still have
	// no state after that.
	initialReaderWait = 900 * time.Millisecond
	storeDelayPerRank = 2 * time.Millisecond
	// memberListWait is the time to wait for the list of members, without which a member
	// does not know its rank.
	memberListWait = 400 * time.Millisecond
)

// peersTimedOut reports whether no other member sent the state of the fleet in time.
func (g *Gateway) peersTimedOut() bool {
	return !g.Ready() && !g.stopping.Load() && !g.awaitingPeers()
}

// awaitingPeers reports whether this member still waits for others to send the state of
// the fleet before it reads the store.
func (g *Gateway) awaitingPeers() bool {
	return bootTime().since(g.fleet.start) < g.storeDelay()
}

// storeDelay returns the time after the start at which this member reads the store.
func (g *Gateway) storeDelay() time.Duration {
	if g.bootstrapDelay > 0 {
		return g.bootstrapDelay
	}
	if !g.membersListed.Load() {
		return memberListWait
	}
	rank := g.fleet.ownRank()
	if rank < initialReaders(g.fleet.size()) {
		return 0
	}
	return initialReaderWait + storeDelayPerRank*time.Duration(rank)
}

// initialReaders returns the number of members, by rank, that read the store immediately
// when a whole fleet of that size starts.
func initialReaders(members int) int {
	return max(minInitialReaders, initialReadBytes/(stateBytesPerMember*max(members, 1)))
}

// mergeEndpoints merges states of endpoints into the registry and returns those that were
// newer.
func (g *Gateway) mergeEndpoints(list []Endpoint) []Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	var changed []Endpoint
	for _, e := range list {
		if err := e.Validate(); err != nil {
			g.logger.Warn("endpoints: invalid state from a member ignored", zap.String("error", err.Error()))
			continue
		}
		if g.registry.merge(e) {
			changed = append(changed, g.registry.entries[e.ID])
		}
	}
	return changed
}
