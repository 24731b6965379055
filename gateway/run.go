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

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	// balancerLag is the time after which the balancer sends no new connections: two
	// misses of one second, and the time between them and the first question.
	balancerLag = 3 * time.Second
	// stopReserve is kept before the process is killed.
	stopReserve = 800 * time.Millisecond
	// refuseReserve is kept before that for the refusals of requests that wait for an
	// endpoint.
	refuseReserve = 200 * time.Millisecond
	// stopPoll is how often a stopping proxy looks for work in progress.
	stopPoll = 100 * time.Millisecond
	// decisionsPerBeat is how often a member decides between two heartbeats whether it
	// acts as a hub.
	decisionsPerBeat = 5
	// readyTimeout bounds a question of the balancer.
	readyTimeout = 2 * time.Second
	// sourceStagger is the time that a member gets to answer before the next one is asked
	// as well: zones are milliseconds apart, the whole state of a large fleet is some
	// 200 KB, 80 ms over a link of 20 Mbit/s, and a machine without power never answers.
	sourceStagger = 60 * time.Millisecond
	// joinPause is the time between attempts to obtain the state of the fleet.
	joinPause = 150 * time.Millisecond
)

// Run serves until the context ends, and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := listen(g.settings.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := listen(g.settings.PeerAddress)
	if err != nil {
		return err
	}
	readiness, err := listen(g.settings.ReadyAddress)
	if err != nil {
		return err
	}
	statistics, err := listen(g.settings.MetricsAddress)
	if err != nil {
		return err
	}
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	g.handlePeers(duties, &group)
	failed := make(chan error, 4)
	serve := func(run func() error) {
		group.Go(func() {
			if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	ready := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: readyTimeout}
	figures := &http.Server{Handler: g.metricsHandler(), ReadHeaderTimeout: readyTimeout}
	serve(func() error { return g.transport.Serve(peers) })
	serve(func() error { return ready.Serve(readiness) })
	serve(func() error { return figures.Serve(statistics) })
	serve(func() error { return g.server.Serve(callers) })
	for _, kind := range []Kind{KindConfiguration, KindEndpoints, KindMembers} {
		group.Go(func() { newWatcher(kind, g).run(duties) })
	}
	group.Go(func() { g.join(duties) })
	group.Go(func() { g.beat(duties) })
	group.Go(func() { g.spread(duties) })
	group.Go(func() { g.clear(duties) })
	g.logger.Info("proxy: started", zap.String("address", g.settings.Self.Address),
		zap.String("incarnation", g.settings.Incarnation), zap.String("zone", g.settings.Self.Zone))
	select {
	case <-ctx.Done():
		g.stop(callers)
	case err = <-failed:
		g.logger.Error("proxy: a duty failed", zap.String("error", err.Error()))
	}
	cancel()
	g.endWaits()
	_ = ready.Close()
	_ = figures.Close()
	g.server.Close()
	if closeErr := g.transport.Close(); closeErr != nil {
		g.logger.Warn("proxy: peers not closed", zap.String("error", closeErr.Error()))
	}
	g.clients.Close()
	group.Wait()
	g.logger.Info("proxy: stopped", zap.String("incarnation", g.settings.Incarnation))
	return err
}

// stop ends the work in progress before the process is killed. New requests are
// served while the balancer may still send them.
func (g *Gateway) stop(callers net.Listener) {
	began := time.Now()
	end := began.Add(g.settings.StopGrace - stopReserve)
	waitsEnd := end.Add(-refuseReserve)
	g.waitsEnd.Store(&waitsEnd)
	defer time.AfterFunc(time.Until(waitsEnd), g.endWaits).Stop()
	g.logger.Info("proxy: stopping")
	g.stopping.Store(true)
	g.server.Drain()
	if g.fleet.stop() {
		g.announce(nil, nil, true)
	}
	quiet := min(balancerLag, g.settings.StopGrace/2)
	time.Sleep(quiet)
	_ = callers.Close()
	for time.Now().Before(end) {
		if g.server.CloseIdle() == 0 {
			return
		}
		time.Sleep(stopPoll)
	}
	g.logger.Warn("proxy: stopped with requests in progress")
}

func (g *Gateway) handlePeers(ctx context.Context, group *sync.WaitGroup) {
	g.transport.Handle(peer.TopicHubSync, func(_ context.Context, r peer.Request) ([]byte, error) {
		return g.serveSync(r.Payload())
	})
	g.transport.Handle(peer.TopicPlaceRequest, func(_ context.Context, r peer.Request) ([]byte, error) {
		return g.placer.serveAsk(r.From(), r.Payload())
	})
	g.receive(ctx, group, peer.TopicHubState, func(_ string, payload []byte) { g.hearHub(payload) })
	g.receive(ctx, group, peer.TopicPlaceDecision, g.placer.serveDecision)
	g.receive(ctx, group, peer.TopicPlaceEnd, g.placer.serveEnd)
	g.receive(ctx, group, peer.TopicPlaceInFlight, g.placer.serveHeld)
}

// receive hands the messages of a topic to a function, one at a time.
func (g *Gateway) receive(ctx context.Context, group *sync.WaitGroup, topic string, take func(from string, payload []byte)) {
	messages, err := g.transport.Subscribe(ctx, topic)
	if err != nil {
		g.logger.Error("proxy: no subscription", zap.String("topic", topic), zap.String("error", err.Error()))
		return
	}
	group.Go(func() {
		for m := range messages {
			take(m.Metadata.Get(peer.MetadataFrom), m.Payload)
			m.Ack()
		}
	})
}

// join asks other members for the state of the fleet until this member has it, and
// registers it in the store, where members look that know no live seed.
func (g *Gateway) join(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil && (!g.Ready() || !g.registered.Load()) {
		if !g.Ready() {
			g.askSources(&group)
		}
		if !g.registered.Load() && (g.membersListed.Load() || g.Ready()) {
			g.registered.Store(g.register(ctx))
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPause/2 + rand.N(joinPause)):
		}
	}
}

func (g *Gateway) register(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	if err := g.store.Register(limited, g.settings.Self); err != nil {
		g.logger.Warn("store: member not registered", zap.String("error", err.Error()))
		return false
	}
	g.fleet.storeAnswered()
	return true
}

// askSources asks other members for the state of the fleet, one after the other. It does
// not wait for those that do not answer; their calls end in the group.
func (g *Gateway) askSources(group *sync.WaitGroup) {
	for _, source := range g.sources() {
		if g.Ready() {
			return
		}
		answered := make(chan struct{})
		group.Go(func() {
			defer close(answered)
			if err := g.sync(source, &syncRequest{Member: g.settings.Self, Known: g.fleet.size()}); err != nil {
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
	// startersAsked and othersAsked are the numbers of members that are asked in turn,
	// beside one seed: of those that ask the store themselves, and of all.
	startersAsked = 4
	othersAsked   = 2
)

// sources returns the members to ask for the state of the fleet. The first by rank come
// first, because they have strong links and processors and ask the store themselves: a
// seed that hundreds of members ask at once would take seconds.
func (g *Gateway) sources() []string {
	g.mu.Lock()
	seeds := slices.Clone(g.settings.Seeds)
	g.mu.Unlock()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	members := g.fleet.list()
	if len(members) <= hubCount {
		return slices.DeleteFunc(seeds, func(seed string) bool { return seed == g.settings.Self.Address })
	}
	var list []string
	add := func(address string) {
		if address != g.settings.Self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	first := members[:min(len(members), strongStarters)]
	for _, i := range rand.Perm(len(first))[:min(len(first), startersAsked)] {
		add(first[i].Address)
	}
	for _, seed := range seeds[:min(1, len(seeds))] {
		add(seed)
	}
	for range othersAsked {
		add(members[rand.IntN(len(members))].Address)
	}
	return list
}

// beat does what is due periodically.
func (g *Gateway) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod / decisionsPerBeat)
	defer ticker.Stop()
	told := false // that this hub's news are new
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			was, fresh := g.fleet.isHub(), g.fleet.isFresh()
			hub := g.fleet.decide()
			due := n%decisionsPerBeat == 0
			if hub && (due || !was || fresh != told) {
				told = fresh
				g.announce(nil, nil, false)
			}
			g.placer.handOverAll()
			g.placer.ownAll()
			if !due {
				continue
			}
			g.placer.advance(now)
			g.clients.CloseIdle(now)
			g.catchUp()
		}
	}
}

// ApplySettings takes the seeds of changed settings, or the error of reading them, after
// which the settings in force stay.
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

// spread tells the members of changes, several at a time.
func (g *Gateway) spread(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.news.waiting:
		}
		changed, joined := g.news.take()
		g.announce(changed, joined, false)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(newsPause, newsPauseMember*time.Duration(g.fleet.size()))):
		}
	}
}
