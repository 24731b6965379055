package gateway

import (
	"cmp"
	"context"
	"fmt"
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
	"github.com/carawayhold/carawayhold/protocol/relay"
	"github.com/carawayhold/carawayhold/protocol/tcp"
)

// HeaderNames are the names of the request header fields that callers set.
type HeaderNames struct {
	RequestID string
	Deadline  string
}

// Dialer opens connections to endpoints, like [net.Dialer].
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Settings configures one proxy.
type Settings struct {
	Self        Member
	Incarnation string
	// Seeds are addresses of peer listeners to contact at the start; they may answer
	// while the store is unavailable.
	Seeds   []string
	Headers HeaderNames
	Budget  RetryBudget
	// Bootstrap is set for the first start of the whole fleet, before any caller sends
	// requests.
	Bootstrap bool
	// ChangeBound is the time after its confirmation by the store in which a change has to be
	// in force everywhere, or 0 for a default.
	ChangeBound time.Duration
	// StopGrace is the time between the stop signal and the kill of the process.
	StopGrace time.Duration
	// Addresses to listen on.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// RelayAddress is for members that do not reach the endpoints. If it is empty, this
	// member does not forward their connections.
	RelayAddress string
	// MaxDescriptors is the limit of open descriptors of the process, or 0 if unknown.
	MaxDescriptors int
	// Dialer opens direct connections to endpoints.
	Dialer Dialer
	// Buffers bounds what the kernel holds of each connection to callers, and to endpoints
	// through relays.
	Buffers tcp.Buffers
	// ReadyPath is the path of the readiness check of the load balancer.
	ReadyPath string
}

const (
	// requestBodyMemory bounds the bytes of buffered request bodies per proxy.
	requestBodyMemory = 64 << 20
	// responseBodyMemory bounds the bytes of buffered response bodies per proxy, not
	// counting the first 64 KiB of each: the smallest machine has 184 MB.
	responseBodyMemory = 12 << 20
	// callerDescriptorShare is the share of the descriptors that connections of callers may
	// take. Each of their requests may need one more to an endpoint; the rest is for
	// members, relayed connections, the store, readiness and metrics.
	callerDescriptorShare = 0.45
	// connectionIdleTimeout is below the idle timeout of the endpoints, 10 s or more, so
	// that the proxy closes idle connections first.
	connectionIdleTimeout = 8 * time.Second
	// defaultConnections applies to services that the configuration does not describe.
	defaultConnections = 64
	// connectionsDivisor sets a proxy's share of an endpoint's connection limit. The
	// share exceeds an even split, because callers are spread unevenly over the proxies.
	connectionsDivisor = 8
	minConnections     = 4
	// peerHeartbeatInterval and peerTimeout detect dead connections between proxies.
	peerHeartbeatInterval = time.Second
	peerTimeout           = 2500 * time.Millisecond
)

// Gateway is one proxy. It is safe for concurrent use.
type Gateway struct {
	settings    Settings
	names       HeaderNames
	store       Store
	logger      *zap.Logger
	metrics     *metrics.Set
	counts      *counts
	fleet       *fleet
	placer      *placer
	transport   transport
	server      *http1.Server
	clients     *endpoint.Set
	paths       *paths
	relayServer *relay.Server
	// checkPaths asks for a check of the paths to the endpoints.
	checkPaths chan struct{}

	rulesRepeatable endpoint.Rules
	rulesOnce       endpoint.Rules

	// waitContext is canceled when a graceful stop leaves no more time to wait for an
	// endpoint.
	waitContext context.Context
	cancelWaits context.CancelFunc
	// attemptContext is canceled when a graceful stop ends, so that requests whose endpoints
	// are still at work are answered and the responses behind them are delivered.
	attemptContext context.Context
	cancelAttempts context.CancelFunc
	stopPlan       atomic.Pointer[stopPlan] // nil until a graceful stop begins

	table           atomic.Pointer[table]
	stopping        atomic.Bool
	endpointsLoaded atomic.Bool // the registry holds a complete state
	readingPages    atomic.Bool // a long state of another member is read

	confirmations *confirmations
	toldAt        atomic.Int64  // up to which instant the last state message confirmed both kinds
	firstTurn     atomic.Int64  // instant of the last state message that is the turn of the first kind
	changeBound   time.Duration // within which changes of the store have to be in force

	membersListed atomic.Bool
	registered    atomic.Bool // the store has the entry of this member

	mu                 sync.Mutex
	configuration      *Configuration
	registry           *registry
	reregisterDeadline time.Time
	storeEra           uint64          // the highest era of the store that this member has seen
	eraContext         context.Context // ends with that era
	endEra             context.CancelFunc
	syncing            bool
	syncedRevision     Revision      // the registry has all changes up to this revision
	removedKept        time.Duration // for which removed endpoints are remembered
	agreedAt           instant       // when the registry was last that of a hub
	mismatchSince      instant       // since when the registry of a hub differs, or 0
	vainSyncs          int           // requests for changes since it differs
	pending            *pendingChanges
	storedMembers      *storedMembers
	registerAgain      chan struct{} // the entry of this member is missing in the store

	// bootstrapDelay is the time after the start before this member reads the store
	// itself, or 0 to derive it from the rank of the member.
	bootstrapDelay time.Duration
}

// New returns a gateway that uses the dialect towards endpoints.
func New(s Settings, store Store, dialect *endpoint.Dialect, logger *zap.Logger) *Gateway {
	set := metrics.NewSet()
	return newGateway(s, store, dialect, logger, set, peer.New(s.Self.Address, s.Incarnation, logger,
		peer.WithMetrics(set), peer.WithHeartbeat(peerHeartbeatInterval, peerTimeout)))
}

func newGateway(s Settings, store Store, dialect *endpoint.Dialect, logger *zap.Logger, set *metrics.Set, t transport) *Gateway {
	counts := newCounts(set)
	g := &Gateway{
		settings: s, names: s.Headers, logger: logger, metrics: set, counts: counts,
		store: &countedStore{store: store, counts: counts},
		fleet: newFleet(s.Self, logger), registry: newRegistry(), transport: t,
		removedKept: removedKept, agreedAt: bootTime(),
		changeBound:   cmp.Or(s.ChangeBound, defaultChangeBound),
		storedMembers: newStoredMembers(), registerAgain: make(chan struct{}, 1), pending: newPendingChanges(),
		rulesRepeatable: endpoint.NewRules(s.Headers.RequestID, bufferedBytes, true, minSilence).WithDialect(dialect),
		rulesOnce:       endpoint.NewRules(s.Headers.RequestID, bufferedBytes, false, minSilence).WithDialect(dialect),
	}
	g.confirmations = newConfirmations(g.hubPatience())
	g.eraContext, g.endEra = context.WithCancel(context.Background())
	g.waitContext, g.cancelWaits = context.WithCancel(context.Background())
	g.attemptContext, g.cancelAttempts = context.WithCancel(context.Background())
	if s.Bootstrap && !slices.Contains(s.Seeds, s.Self.Address) {
		g.bootstrapDelay = seedWait/2 + rand.N(seedWait)
	}
	g.names.RequestID = http.CanonicalHeaderKey(s.Headers.RequestID)
	g.names.Deadline = http.CanonicalHeaderKey(s.Headers.Deadline)
	g.placer = newPlacer(g.fleet, g.transport, s.Incarnation, s.Budget, g.counts, logger)
	g.server = http1.New(g, requestBodyMemory,
		http1.WithConnectionLimit(int(callerDescriptorShare*float64(s.MaxDescriptors))), http1.WithAcceptErrors(func(err error) {
			logger.Warn("caller: cannot accept a connection, trying again", zap.String("error", err.Error()))
		}))
	g.paths = &paths{
		direct: s.Dialer, buffers: s.Buffers, fleet: g.fleet, transport: g.transport, counts: g.counts, logger: logger,
		endpoints: g.someEndpoints, changed: g.pathsChanged, reach: newReachability(),
	}
	g.checkPaths = make(chan struct{}, 1)
	g.relayServer = relay.NewServer(relayTargets{gateway: g}, logger)
	g.clients = endpoint.NewSet(endpoint.WithDialer(g.paths), endpoint.WithDialTimeout(endpointDialTimeout), endpoint.WithIdleTimeout(connectionIdleTimeout),
		endpoint.WithSingleAttempt(), endpoint.WithObserver(responseObserver{counts: counts, logger: logger}), endpoint.WithMemoryBudget(endpoint.NewMemoryBudget(responseBodyMemory)))
	g.serveMetrics()
	return g
}

// Limits returns the limits of the active configuration, or defaults before there is one.
func (g *Gateway) Limits() http1.Limits {
	if t := g.table.Load(); t != nil && t.limits.IdleTimeout > 0 {
		return t.limits
	}
	return defaultLimits
}

// defaultLimits apply until a configuration is active.
var defaultLimits = http1.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
}

// MayRunConcurrently reports whether the request may run before earlier requests of
// its connection have completed.
func (g *Gateway) MayRunConcurrently(r *http1.Request) bool {
	t := g.table.Load()
	if t == nil {
		return true
	}
	route := t.find(r.Host, r.Target)
	return route == nil || route.Repeatable
}

// Serve forwards a request of a caller and returns the response.
func (g *Gateway) Serve(ctx context.Context, r *http1.Request) *http1.Response {
	x := &exchange{gateway: g, received: r, table: g.table.Load(), id: r.Header.Get(g.names.RequestID), attemptKind: attemptFirst}
	if x.table != nil {
		x.route = x.table.find(r.Host, r.Target)
	}
	return x.run(ctx)
}

// client returns the client of an endpoint, limited to this proxy's share of the
// connections of the endpoint.
func (g *Gateway) client(address string, t *table, service string) *endpoint.Client {
	c := g.clients.Client(address)
	connections := defaultConnections
	if s, found := t.services[service]; found && s.MaxConnections > 0 {
		connections = max(minConnections, s.MaxConnections/connectionsDivisor)
	}
	c.SetConnectionLimit(connections)
	return c
}

// accepting reports whether callers may come: the proxy is ready, and its connections are not
// all busy.
func (g *Gateway) accepting() bool { return g.Ready() && !g.server.Full() }

// Ready reports whether the proxy can serve requests: it has a configuration and the
// endpoints, and is not stopping.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.endpointsLoaded.Load()
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.settings.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !g.accepting() {
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
			return bootTime().since(t.activeSince).Seconds()
		}
		return 0
	})
	g.metrics.NewGauge("carawayhold_store_age_seconds", func() float64 { return g.fleet.storeAge().Seconds() })
	for _, kind := range confirmedKindList {
		g.metrics.NewGauge(fmt.Sprintf("carawayhold_confirmed_age_seconds{kind=%q}", kind), func() float64 {
			return g.confirmations.age(kind, bootTime()).Seconds()
		})
	}
	g.metrics.NewGauge("carawayhold_store_era", func() float64 {
		era, _ := g.era()
		return float64(era)
	})
	g.metrics.NewGauge("carawayhold_endpoints_cut", func() float64 {
		if g.paths.cut() {
			return 1
		}
		return 0
	})
	g.metrics.NewGauge("carawayhold_relay_connections", func() float64 { return float64(g.relayServer.Open()) })
	g.metrics.NewGauge("carawayhold_members", func() float64 { return float64(len(g.fleet.listByRank())) })
	g.metrics.NewGauge("carawayhold_hub", func() float64 {
		if g.fleet.isHub() {
			return 1
		}
		return 0
	})
}

func listen(buffers tcp.Buffers, address string) (net.Listener, error) {
	l, err := buffers.Listen(address)
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
