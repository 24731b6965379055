package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/caller/http1"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// Names are the header fields of callers.
type Names struct {
	RequestID string
	Deadline  string
}

// Settings are those of one proxy.
type Settings struct {
	Self        Member
	Incarnation string
	// Seeds are peer listeners that may answer while the store does not.
	Seeds  []string
	Names  Names
	Budget RetryBudget
	// FirstStart is set when the whole fleet starts for the first time, before there
	// are callers.
	FirstStart bool
	// StopGrace is the time from the signal to stop until the process is killed.
	StopGrace time.Duration
	// Listener addresses.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// ReadyPath is the path that the balancer asks.
	ReadyPath string
}

const (
	// bodyMemory bounds the request bodies that a proxy holds.
	bodyMemory = 64 << 20
	// dialTimeout bounds the opening of a connection to an endpoint, which costs
	// about 1 ms; a lost packet is sent again by the kernel after 1 s, a new attempt
	// elsewhere is faster.
	dialTimeout = 150 * time.Millisecond
	// connectionIdle is shorter than the time after which endpoints close idle
	// connections, 10 s or more.
	connectionIdle = 8 * time.Second
	// connectionsDefault applies to services that are not described.
	connectionsDefault = 64
	// peerHeartbeat and peerSilence find connections between proxies that went silent.
	peerHeartbeat = time.Second
	peerSilence   = 2500 * time.Millisecond
)

// Gateway is one proxy. It is safe for concurrent use.
type Gateway struct {
	settings  Settings
	names     Names
	store     Store
	logger    *zap.Logger
	metrics   *metrics.Set
	counts    *counts
	fleet     *fleet
	placer    *placer
	transport *peer.Transport
	server    *http1.Server
	clients   *endpoint.Set

	rulesRepeatable endpoint.Rules
	rulesOnce       endpoint.Rules

	table    atomic.Pointer[table]
	stopping atomic.Bool
	loaded   atomic.Bool // the endpoints are known

	membersListed atomic.Bool
	registered    atomic.Bool // this member's entry is in the store

	mu            sync.Mutex
	configuration *Configuration
	registry      *registry
	lapseEnd      time.Time
	syncing       bool
	agreed        uint64 // the registry held all changes up to this revision
	differs       age    // since when a hub's registry differs, or 0
	news          *news
	roll          *roll

	// alonePatience is the time after the start from which this member asks the
	// store itself.
	alonePatience time.Duration
}

// New returns a gateway that speaks the dialect with endpoints.
func New(s Settings, store Store, dialect *endpoint.Dialect, logger *zap.Logger) *Gateway {
	set := metrics.NewSet()
	g := &Gateway{
		settings: s, names: s.Names, store: store, logger: logger, metrics: set, counts: newCounts(set),
		fleet: newFleet(s.Self, logger), registry: newRegistry(),
		roll: newRoll(), news: newNews(),
		rulesRepeatable: endpoint.NewRules(s.Names.RequestID, heldBytes, true, silentAfter).In(dialect),
		rulesOnce:       endpoint.NewRules(s.Names.RequestID, heldBytes, false, silentAfter).In(dialect),
	}
	if s.FirstStart && !slices.Contains(s.Seeds, s.Self.Address) {
		g.alonePatience = seedPatience/2 + rand.N(seedPatience)
	}
	g.names.RequestID = http.CanonicalHeaderKey(s.Names.RequestID)
	g.names.Deadline = http.CanonicalHeaderKey(s.Names.Deadline)
	g.transport = peer.New(s.Self.Address, s.Incarnation, logger,
		peer.WithMetrics(set), peer.WithHeartbeat(peerHeartbeat, peerSilence))
	g.placer = newPlacer(g.fleet, g.transport, s.Incarnation, s.Budget, g.counts, logger)
	g.server = http1.New(g, bodyMemory)
	g.clients = endpoint.NewSet(endpoint.WithDialTimeout(dialTimeout), endpoint.WithIdleTimeout(connectionIdle),
		endpoint.WithSingleCall())
	g.serveMetrics()
	return g
}

// Limits returns the limits in force.
func (g *Gateway) Limits() http1.Limits {
	if t := g.table.Load(); t != nil && t.limits.IdleTimeout > 0 {
		return t.limits
	}
	return defaultLimits
}

// defaultLimits apply until a configuration is in force.
var defaultLimits = http1.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
}

// Parallel reports whether the request may run before those ahead of it.
func (g *Gateway) Parallel(r *http1.Request) bool {
	t := g.table.Load()
	if t == nil {
		return true
	}
	route := t.find(r.Host, r.Target)
	return route == nil || route.Repeatable
}

// Serve answers a request of a caller.
func (g *Gateway) Serve(ctx context.Context, r *http1.Request) *http1.Response {
	x := &exchange{gateway: g, received: r, table: g.table.Load(), id: r.Header.Get(g.names.RequestID)}
	if x.table != nil {
		x.route = x.table.find(r.Host, r.Target)
	}
	return x.run(ctx)
}

// client returns the client of an endpoint, which may have this proxy's share of
// its connections.
func (g *Gateway) client(address string, t *table, service string) *endpoint.Client {
	c := g.clients.Client(address)
	connections := connectionsDefault
	if s, found := t.services[service]; found && s.Connections > 0 {
		connections = max(4, s.Connections/8)
	}
	c.SetConnectionLimit(connections)
	return c
}

// apply takes news of the store.
func (g *Gateway) apply(kind Kind, b *Batch, whole bool) {
	switch kind {
	case KindConfiguration:
		if b.Configuration != nil {
			g.adopt(b.Configuration, "store")
		}
	case KindEndpoints:
		g.applyEndpoints(b, whole)
	case KindMembers:
		g.applyMembers(b)
	}
}

func (g *Gateway) applyEndpoints(b *Batch, whole bool) {
	now := time.Now()
	g.mu.Lock()
	var changed []Endpoint
	if whole {
		changed = g.registry.replace(b.Endpoints, b.Revision, now, g.lapseEnd)
	} else {
		for _, e := range b.Endpoints {
			switch {
			case e.Gone:
				changed = append(changed, g.registry.removed(e.ID, e.Revision, now, g.lapseEnd)...)
			case g.registry.merge(e):
				changed = append(changed, e)
			}
		}
	}
	changed = append(changed, g.registry.expire(now, b.Revision)...)
	g.mu.Unlock()
	g.loaded.Store(true)
	g.endpointsChanged(changed, "store")
}

func (g *Gateway) applyMembers(b *Batch) {
	g.roll.take(b)
	for _, m := range b.Members {
		g.fleet.add(m)
		if m.Address == g.settings.Self.Address {
			g.registered.Store(true)
		}
	}
	g.membersListed.Store(true)
	for _, address := range b.Removed {
		g.fleet.remove(address)
	}
}

// endpointsChanged puts changed endpoints in force and tells the members.
func (g *Gateway) endpointsChanged(changed []Endpoint, source string) {
	if len(changed) == 0 {
		return
	}
	services := map[string]bool{}
	for _, e := range changed {
		services[e.Service] = true
	}
	g.logger.Info("endpoints: registrations changed", zap.Array("endpoints", endpointLines(changed)),
		zap.String("source", source))
	g.mu.Lock()
	for name := range services {
		g.placer.setEndpoints(name, g.registry.usable(name))
	}
	g.mu.Unlock()
	if g.fleet.isHub() {
		g.news.add(changed)
	}
}

// adopt puts a configuration in force if it is newer.
func (g *Gateway) adopt(c *Configuration, source string) {
	g.mu.Lock()
	if g.configuration != nil && c.Version <= g.configuration.Version {
		g.mu.Unlock()
		return
	}
	g.configuration = c
	g.table.Store(newTable(c))
	g.mu.Unlock()
	g.logger.Info("configuration: in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)),
		zap.String("source", source))
	if g.fleet.isHub() {
		g.news.add(nil)
	}
}

func (g *Gateway) setLapseEnd(t time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lapseEnd = t
}

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
	var changed []Endpoint
	g.mu.Lock()
	for _, e := range s.Changes {
		if g.registry.merge(e) {
			changed = append(changed, e)
		}
	}
	g.mu.Unlock()
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
	var changed []Endpoint
	g.mu.Lock()
	for _, e := range reply.Endpoints {
		if g.registry.merge(e) {
			changed = append(changed, e)
		}
	}
	g.mu.Unlock()
	if reply.Complete {
		g.loaded.Store(true)
	}
	g.endpointsChanged(changed, from)
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
	if request.Version == 0 {
		reply.Members = g.fleet.list()
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
		select {
		case <-ctx.Done():
		case <-time.After(hubPoll):
		}
	}
}

const (
	// seedPatience is the time that the seeds get to answer a member at the first
	// start of the fleet, so that it does not call the store for each member. Later
	// starts are in a hurry and call it at once.
	seedPatience = 800 * time.Millisecond
	// hubPoll is how often watchers look whether this member became a hub.
	hubPoll = 200 * time.Millisecond
)

// alone reports whether this member has waited in vain for the state of the fleet.
func (g *Gateway) alone() bool {
	return !g.Ready() && !g.stopping.Load() && bootTime().since(g.fleet.start) >= g.alonePatience
}

// Ready reports whether callers may be sent here.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.loaded.Load()
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.settings.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) serveMetrics() {
	g.metrics.NewGauge("carawayhold_configuration_version", func() float64 {
		if t := g.table.Load(); t != nil {
			return float64(t.version)
		}
		return 0
	})
	g.metrics.NewGauge("carawayhold_store_age_seconds", func() float64 { return g.fleet.storeAge().Seconds() })
	g.metrics.NewGauge("carawayhold_members", func() float64 { return float64(len(g.fleet.list())) })
	g.metrics.NewGauge("carawayhold_hub", func() float64 {
		if g.fleet.isHub() {
			return 1
		}
		return 0
	})
}

// listen opens a listener. The address was checked with the settings.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "gateway: cannot listen on %s", address)
	}
	return l, nil
}

func (g *Gateway) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/metrics") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		g.metrics.WritePrometheus(w)
	})
}
