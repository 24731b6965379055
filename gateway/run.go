package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/protocol/tcp"
)

const (
	answerPoll = 10 * time.Millisecond
	// stopPoll is the interval between checks for requests in progress during a stop.
	stopPoll = 100 * time.Millisecond
	// decisionsPerHeartbeat is the number of times per heartbeat interval that a member
	// decides whether it acts as a hub.
	decisionsPerHeartbeat = 5
	// headerTimeout bounds reading the header of a readiness check or a metrics scrape.
	headerTimeout = 2 * time.Second
	// sourceStagger is the time after which the next member is contacted in parallel.
	// Round trips between zones take milliseconds, the state of a large fleet is about
	// 200 KB (80 ms over a link of 20 Mbit/s), and a machine without power never answers.
	sourceStagger = 60 * time.Millisecond
	// joinInterval is the mean time between attempts to obtain the state of the fleet.
	joinInterval = 150 * time.Millisecond
)

// Run serves until the context is canceled and then stops gracefully. It returns early
// with an error if a listener cannot be opened or fails.
func (g *Gateway) Run(ctx context.Context) error {
	callerListener, err := listen(g.settings.Buffers, g.settings.CallerAddress)
	if err != nil {
		return err
	}
	peerListener, err := listen(tcp.Buffers{}, g.settings.PeerAddress)
	if err != nil {
		return err
	}
	readyListener, err := listen(tcp.Buffers{}, g.settings.ReadyAddress)
	if err != nil {
		return err
	}
	metricsListener, err := listen(tcp.Buffers{}, g.settings.MetricsAddress)
	if err != nil {
		return err
	}
	var relayListener net.Listener
	if g.settings.RelayAddress != "" {
		if relayListener, err = listen(g.settings.Buffers, g.settings.RelayAddress); err != nil {
			return err
		}
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	g.shareState(background, &group)
	failed := make(chan error, 5)
	serve := func(run func() error) {
		group.Go(func() {
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	readyServer := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}
	metricsServer := &http.Server{Handler: g.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	serve(func() error { return g.transport.Serve(peerListener) })
	serve(func() error { return readyServer.Serve(readyListener) })
	serve(func() error { return metricsServer.Serve(metricsListener) })
	serve(func() error { return g.server.Serve(callerListener) })
	if relayListener != nil {
		serve(func() error { return g.relayServer.Serve(relayListener) })
	}
	group.Go(func() { g.maintainPaths(background) })
	g.logger.Info("proxy: started", zap.String("address", g.settings.Self.Address),
		zap.String("incarnation", g.settings.Incarnation), zap.String("zone", g.settings.Self.Zone))
	select {
	case <-ctx.Done():
		g.stop(callerListener)
	case err = <-failed:
		g.logger.Error("proxy: a listener failed", zap.String("error", err.Error()))
	}
	cancel()
	g.cancelWaits()
	_ = readyServer.Close()
	_ = metricsServer.Close()
	g.server.Close()
	if closeErr := g.transport.Close(); closeErr != nil {
		g.logger.Warn("proxy: failed to close the peer transport", zap.String("error", closeErr.Error()))
	}
	g.relayServer.Close()
	g.clients.Close()
	group.Wait()
	g.logger.Info("proxy: stopped", zap.String("incarnation", g.settings.Incarnation))
	return err
}

// shareState keeps the state of this member current until the context ends: it exchanges
// messages with other members, and reads the store while that is its role.
func (g *Gateway) shareState(ctx context.Context, group *sync.WaitGroup) {
	g.handlePeers(ctx, group)
	for _, kind := range []Kind{KindConfiguration, KindEndpoints, KindMembers} {
		group.Go(func() { newWatcher(kind, g).run(ctx) })
	}
	group.Go(func() { g.join(ctx) })
	group.Go(func() { g.runHeartbeat(ctx) })
	group.Go(func() { g.broadcastChanges(ctx) })
	group.Go(func() { g.maintainEntries(ctx) })
	group.Go(func() { g.keepRegistered(ctx) })
}

// stop completes requests in progress before the process is killed. It accepts new
// requests as long as the load balancer may still send them.
func (g *Gateway) stop(callerListener net.Listener) {
	plan := newStopPlan(time.Now(), g.settings.StopGrace)
	g.stopPlan.Store(plan)
	defer time.AfterFunc(time.Until(plan.waitDeadline), g.cancelWaits).Stop()
	g.logger.Info("proxy: stopping")
	g.stopping.Store(true)
	g.server.Drain()
	g.relayServer.Drain()
	if g.fleet.stop() {
		g.placer.releaseShares()
		g.broadcastState(nil, nil, true)
	}
	time.Sleep(time.Until(plan.acceptDeadline))
	_ = callerListener.Close()
	if g.awaitIdle(plan.end, stopPoll) {
		return
	}
	g.cancelAttempts()
	g.awaitIdle(plan.answerDeadline, answerPoll)
	g.logger.Warn("proxy: stopped with requests in progress")
}

// awaitIdle waits until no request is in progress and no connection is forwarded, and returns
// false at the deadline.
func (g *Gateway) awaitIdle(deadline time.Time, poll time.Duration) bool {
	for time.Now().Before(deadline) {
		if g.server.CloseIdle() == 0 && g.relayServer.Open() == 0 {
			return true
		}
		time.Sleep(min(poll, time.Until(deadline)))
	}
	return false
}

func (g *Gateway) handlePeers(ctx context.Context, group *sync.WaitGroup) {
	g.transport.Handle(peer.TopicHubSync, func(_ context.Context, r peer.Request) ([]byte, error) {
		return g.handleSync(r.Payload())
	})
	g.transport.Handle(peer.TopicHubSyncPage, func(_ context.Context, r peer.Request) ([]byte, error) {
		return g.handleSyncPage(r.Payload())
	})
	g.transport.Handle(peer.TopicRelayOffer, g.handleRelayOffer)
	g.transport.Handle(peer.TopicPlaceRequest, func(_ context.Context, r peer.Request) ([]byte, error) {
		return g.placer.handlePlaceRequest(r.From(), r.Payload())
	})
	g.subscribeMessages(ctx, group, peer.TopicHubState, g.handleHubState)
	g.subscribe(ctx, group, peer.TopicMemberRegister, func(string, []byte) { g.handleRegisterRequest() })
	g.subscribe(ctx, group, peer.TopicPlaceDecision, g.placer.handleDecision)
	g.subscribe(ctx, group, peer.TopicPlaceEnd, g.placer.handleEnd)
	g.subscribe(ctx, group, peer.TopicPlaceInFlight, g.placer.handleInFlight)
	g.subscribe(ctx, group, peer.TopicPlaceShare, g.placer.handleShare)
	g.subscribe(ctx, group, peer.TopicPlaceReturn, g.placer.handleShareReturn)
	g.subscribe(ctx, group, peer.TopicPlaceEndLimited, g.placer.handleEndLimited)
	g.subscribe(ctx, group, peer.TopicPlaceLimits, g.placer.handleRateLimits)
	g.subscribe(ctx, group, peer.TopicEndpointDeparture, g.handleDepartures)
	g.subscribe(ctx, group, peer.TopicEndpointRest, g.handleRest)
}

// subscribe passes the senders and payloads of the messages of a topic to the handler, one at a
// time.
func (g *Gateway) subscribe(ctx context.Context, group *sync.WaitGroup, topic string, handler func(from string, payload []byte)) {
	g.subscribeMessages(ctx, group, topic, func(m *message.Message) { handler(m.Metadata.Get(peer.MetadataFrom), m.Payload) })
}

func (g *Gateway) subscribeMessages(ctx context.Context, group *sync.WaitGroup, topic string, handler func(m *message.Message)) {
	messages, err := g.transport.Subscribe(ctx, topic)
	if err != nil {
		g.logger.Error("proxy: failed to subscribe to a topic", zap.String("topic", topic), zap.String("error", err.Error()))
		return
	}
	group.Go(func() {
		for m := range messages {
			handler(m)
			m.Ack()
		}
	})
}

// join requests the state of the fleet from other members until this member has it,
// and registers the member in the store, where members without a live seed find it.
func (g *Gateway) join(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil && (!g.Ready() || !g.registered.Load()) {
		if !g.Ready() {
			g.syncFromSources(&group)
		}
		if !g.registered.Load() && (g.membersListed.Load() || g.Ready()) {
			g.registered.Store(g.register(ctx))
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval/2 + rand.N(joinInterval)):
		}
	}
}

func (g *Gateway) register(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	if err := g.store.Register(limited, g.settings.Self); err != nil {
		g.logger.Warn("store: failed to register this member", zap.String("error", err.Error()))
		return false
	}
	return true
}

// syncFromSources requests the state of the fleet from other members, staggered by
// sourceStagger, until this member is ready. Calls without a response complete in the
// group.
func (g *Gateway) syncFromSources(group *sync.WaitGroup) {
	for _, source := range g.sources() {
		if g.Ready() {
			return
		}
		answered := make(chan struct{})
		group.Go(func() {
			defer close(answered)
			if err := g.syncFrom(source, &syncRequest{Member: g.settings.Self, Known: g.fleet.size()}, 0); err != nil {
				g.logger.Info("fleet: member did not answer", zap.String("member", source), zap.String("error", err.Error()))
			}
		})
		select {
		case <-answered:
		case <-time.After(sourceStagger):
		}
	}
}

const (
	// In one round a member contacts rankedSources of the first members by rank, one
	// seed and randomSources of all members.
	rankedSources = 4
	randomSources = 2
)

// sources returns the members to request the state of the fleet from. Members of high
// rank come first, because they have fast links and processors and read the store
// themselves. A seed that hundreds of members contact at once would take seconds.
func (g *Gateway) sources() []string {
	g.mu.Lock()
	seeds := slices.Clone(g.settings.Seeds)
	g.mu.Unlock()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	members := g.fleet.listByRank()
	if len(members) <= hubCount {
		return slices.DeleteFunc(seeds, func(seed string) bool { return seed == g.settings.Self.Address })
	}
	var list []string
	add := func(address string) {
		if address != g.settings.Self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	first := members[:min(len(members), minInitialReaders)]
	for _, i := range rand.Perm(len(first))[:min(len(first), rankedSources)] {
		add(first[i].Address)
	}
	for _, seed := range seeds[:min(1, len(seeds))] {
		add(seed)
	}
	for range randomSources {
		add(members[rand.IntN(len(members))].Address)
	}
	return list
}

// runHeartbeat updates the hub role, sends the state of this hub, and runs other periodic
// work.
func (g *Gateway) runHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval / decisionsPerHeartbeat)
	defer ticker.Stop()
	announcedFresh := false // whether the last state that this hub sent was fresh
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			wasHub, fresh := g.fleet.isHub(), g.fleet.isFresh()
			hub := g.fleet.updateHubRole()
			due := n%decisionsPerHeartbeat == 0
			if hub && (due || !wasHub || fresh != announcedFresh) {
				announcedFresh = fresh
				g.broadcastState(nil, nil, false)
			}
			g.placer.sendAllInFlight()
			g.placer.releaseAfterSuspension(bootTime())
			g.placer.updateMembers()
			g.placer.updateOwnership()
			g.placer.returnBorrowedShares()
			g.placer.borrowShares(due)
			if !due {
				continue
			}
			if n/decisionsPerHeartbeat%confirmedKinds == 0 {
				g.firstTurn.Store(int64(bootTime()))
			}
			g.placer.advance(now)
			g.clients.CloseIdle(now)
			g.mu.Lock()
			g.registry.dropOrder(bootTime())
			g.registry.forget(bootTime(), g.removedKept)
			g.mu.Unlock()
			if g.paths.cut() {
				select {
				case g.checkPaths <- struct{}{}:
				default:
				}
			}
			g.catchUp()
		}
	}
}

// ApplySettings replaces the seeds. If err is not nil, reading the settings failed: it is
// logged and the current seeds stay.
func (g *Gateway) ApplySettings(seeds []string, err error) {
	if err != nil {
		g.logger.Error("settings: not reloaded, the former ones stay in force", zap.String("error", err.Error()))
		return
	}
	g.mu.Lock()
	g.settings.Seeds = seeds
	g.mu.Unlock()
	g.logger.Info("settings: reloaded", zap.Strings("seeds", seeds))
}

// broadcastChanges sends pending changes to all members in batches.
func (g *Gateway) broadcastChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.pending.signal:
		}
		changed, joined := g.pending.collect()
		g.broadcastState(changed, joined, false)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(minBroadcastInterval, broadcastIntervalPerMember*time.Duration(g.fleet.size()))):
		}
	}
}
