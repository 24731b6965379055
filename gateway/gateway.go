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

// HeaderNames are the header fields of callers.
type HeaderNames struct {
	RequestID string
	Deadline  string
}

// Settings are those of one proxy.
type Settings struct {
	Self        Member
	Incarnation string
	// Seeds are peer listeners that may answer while the store does not.
	Seeds   []string
	Headers HeaderNames
	Budget  RetryBudget
	// Bootstrap is set when the whole fleet starts for the first time, before there
	// are callers.
	Bootstrap bool
	// StopGrace is the time from the signal to stop until the process is killed.
	StopGrace time.Duration
	// Listener addresses.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// ReadyPath is the path that the balancer asks.
	ReadyPath string
}

const (
	// bodyMemory bounds the request bodies that a proxy holds.
	bodyMemory = 64 << 20
	// responseMemory bounds the response bodies that a proxy holds beyond the first 64 KiB
	// of each: the smallest machine has 184 MB.
	responseMemory = 12 << 20
	// dialTimeout bounds the opening of a connection to an endpoint, which costs
	// about 1 ms; a lost packet is sent again by the kernel after 1 s, a new attempt
	// elsewhere is faster.
	dialTimeout = 150 * time.Millisecond
	// connectionIdle is shorter than the time after which endpoints close idle
	// connections, 10 s or more.
	connectionIdle = 8 * time.Second
	// connectionsDefault applies to services that are not described.
	connectionsDefault = 64
	// connectionsDivisor makes a proxy's share of an endpoint's connections larger than
	// an even one, because callers are spread unevenly; connectionsLeast bounds it below.
	connectionsDivisor = 8
	connectionsLeast   = 4
	// peerHeartbeat and peerSilence find connections between proxies that went silent.
	peerHeartbeat = time.Second
	peerSilence   = 2500 * time.Millisecond
)

// Gateway is one proxy. It is safe for concurrent use.
type Gateway struct {
	settings  Settings
	names     HeaderNames
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

	// waits ends when a planned stop leaves no more time to wait for an endpoint.
	waits    context.Context
	endWaits context.CancelFunc
	// waitsEnd is when that will be, once a stop has begun.
	waitsEnd atomic.Pointer[time.Time]

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
	counts := newCounts(set)
	g := &Gateway{
		settings: s, names: s.Headers, logger: logger, metrics: set, counts: counts,
		store: &countedStore{store: store, counts: counts},
		fleet: newFleet(s.Self, logger), registry: newRegistry(),
		roll: newRoll(), news: newNews(),
		rulesRepeatable: endpoint.NewRules(s.Headers.RequestID, heldBytes, true, silentAfter).WithDialect(dialect),
		rulesOnce:       endpoint.NewRules(s.Headers.RequestID, heldBytes, false, silentAfter).WithDialect(dialect),
	}
	g.waits, g.endWaits = context.WithCancel(context.Background())
	if s.Bootstrap && !slices.Contains(s.Seeds, s.Self.Address) {
		g.alonePatience = seedPatience/2 + rand.N(seedPatience)
	}
	g.names.RequestID = http.CanonicalHeaderKey(s.Headers.RequestID)
	g.names.Deadline = http.CanonicalHeaderKey(s.Headers.Deadline)
	g.transport = peer.New(s.Self.Address, s.Incarnation, logger,
		peer.WithMetrics(set), peer.WithHeartbeat(peerHeartbeat, peerSilence))
	g.placer = newPlacer(g.fleet, g.transport, s.Incarnation, s.Budget, g.counts, logger)
	g.server = http1.New(g, bodyMemory)
	g.clients = endpoint.NewSet(endpoint.WithDialTimeout(dialTimeout), endpoint.WithIdleTimeout(connectionIdle),
		endpoint.WithSingleAttempt(), endpoint.WithMemoryBudget(endpoint.NewMemoryBudget(responseMemory)))
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
	x := &exchange{gateway: g, received: r, table: g.table.Load(), id: r.Header.Get(g.names.RequestID), repeat: repeatNone}
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
		connections = max(connectionsLeast, s.Connections/connectionsDivisor)
	}
	c.SetConnectionLimit(connections)
	return c
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
	g.metrics.NewGauge("carawayhold_configuration_age_seconds", func() float64 {
		if t := g.table.Load(); t != nil {
			return bootTime().since(t.inForce).Seconds()
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
