// Package control runs the background loops of a proxy: membership,
// distribution of the configuration, ejection ledgers, evidence, draining
// marks, load reports, probes of ejected endpoints and the audit trail of
// ejections. Each loop is one goroutine; loops hand work to each other
// through bounded channels.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

// Platform is the part of the platform client that the loops use. Errors are
// those of package platform.
type Platform interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	Put(ctx context.Context, name string, expect int64, value []byte) (int64, error)
	List(ctx context.Context, prefix string, after int64) (platform.Listing, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Listing, error)
	VMs(ctx context.Context) (platform.VMList, error)
}

// Transport is the part of the peer transport that the loops use.
type Transport interface {
	message.Subscriber
	Send(to, topic string, payload []byte) error
	Request(ctx context.Context, to, incarnation, topic string, payload []byte) ([]byte, error)
	Handle(topic string, handler peer.Handler)
}

// Datapath is how the loops update and query the request path.
type Datapath interface {
	// Apply switches to a newer configuration.
	Apply(change ConfigurationChange)
	// SetAvailability replaces the availability of the endpoints of a service.
	SetAvailability(service string, availability Availability)
	// InFlight returns this proxy's attempts in flight by service and
	// endpoint, without services that have none.
	InFlight() map[string]map[string]int
	// SetOthersLoad sets the attempts in flight of all other proxies at the
	// endpoints of a service, and the ratio of attempts that its endpoints
	// shed. Both expire at until.
	SetOthersLoad(service string, inFlight map[string]int, shedRatio float64, until time.Time)
	// Load returns this proxy's load on the endpoints of a service.
	Load(service string) map[string]EndpointLoad
	// SetLiveProxies sets the number of live proxies, which share the
	// connection limit of each endpoint.
	SetLiveProxies(live int)
	// Probe sends one probe request to an endpoint. It returns false for sent
	// if no request that a probe can repeat was answered recently.
	Probe(ctx context.Context, service, endpoint string) (result ProbeResult, sent bool)
}

// ConfigurationChange is the difference between the active configuration and a newer
// one.
type ConfigurationChange struct {
	Revision int64
	// Changed holds the services that are new or whose description differs.
	Changed []config.Service
	Removed []string
}

// Availability lists the endpoints of a service that receive no work or less
// work than usual.
type Availability struct {
	// Ejected endpoints receive no work until EjectedUntil, when this proxy's
	// copy of the ledger that lists them expires.
	Ejected      []string
	EjectedUntil time.Time
	Draining     []string
	// Weights holds the weights below 1, by endpoint.
	Weights map[string]float64
	// WarmingUp endpoints had their process replaced less than the warm-up
	// time ago.
	WarmingUp []string
}

// EndpointLoad is this proxy's load on one endpoint.
type EndpointLoad struct {
	InFlight int
	// Limit is the number of requests that may currently be in flight.
	Limit int
}

// ProbeResult is the result of a probe request.
type ProbeResult struct {
	OK         bool
	Generation int64
}

// Dependencies are the collaborators of a Control.
type Dependencies struct {
	Self      membership.Member
	Seeds     []string
	Platform  Platform
	Transport Transport
	Datapath  Datapath
	Recorder  *outlier.Recorder
	Metrics   *metrics.Set
	Logger    *zap.Logger
}

// Control runs the control loops of one proxy.
type Control struct {
	self      membership.Member
	platform  Platform
	transport Transport
	datapath  Datapath
	recorder  *outlier.Recorder
	logger    *zap.Logger
	started   time.Time

	members          *members
	config           *configState
	ledgers          *ledgerState
	draining         *drainingMarks
	evidence         *evidenceTable
	loads            *loadTable
	syncClients      *syncClients
	reader           atomic.Pointer[membership.Incarnation] // preferred reader when a member last changed
	syncNow          chan struct{}
	availabilityWake chan struct{}
	ledgerWork       chan string
	applyMu          sync.Mutex // serializes applyCandidate
	auditEvents      *gochannel.GoChannel
}

// queueSize bounds the audit entries and the ledger writes that are queued in
// the process.
const queueSize = 256

// New returns the control loops of a proxy. Run starts them.
func New(d Dependencies) *Control {
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c := &Control{
		self: d.Self, platform: d.Platform, transport: d.Transport,
		datapath: d.Datapath, recorder: d.Recorder, logger: d.Logger, started: now,
		config:           newConfigState(d.Logger),
		ledgers:          newLedgerState(),
		draining:         newDrainingMarks(),
		evidence:         newEvidenceTable(),
		loads:            newLoadTable(),
		syncClients:      newSyncClients(),
		syncNow:          make(chan struct{}, 1),
		availabilityWake: make(chan struct{}, 1),
		ledgerWork:       make(chan string, queueSize),
		auditEvents:      gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: queueSize}, nil),
	}
	c.members = newMembers(membership.NewNode(d.Self, now, random), d.Seeds, d.Transport, d.Logger)
	c.members.newerRevision = c.requestSync
	c.members.changed = c.syncOnReaderChange
	d.Transport.Handle(peer.TopicStateSync, c.handleSync)
	d.Transport.Handle(peer.TopicConfigFetch, c.handleFetch)
	c.register(d.Metrics)
	return c
}

// Run runs all loops until ctx ends or one of them fails, and returns after
// all have ended.
func (c *Control) Run(ctx context.Context) error {
	router, err := c.router()
	if err != nil {
		return err
	}
	loops := []func(context.Context) error{
		router.Run,
		c.members.run,
		c.syncLoop,
		c.headWatchLoop,
		c.ledgerWatchLoop,
		c.vmListLoop,
		c.pruneDrainingLoop,
		c.availabilityLoop,
		c.evidenceLoop,
		c.loadLoop,
		c.ledgerWriteLoop,
		c.probeLoop,
		c.auditLoop,
	}
	return runAll(ctx, loops)
}

// Leave announces the planned stop of this proxy to the other members.
func (c *Control) Leave() { c.members.leave() }

// Readiness reports whether the proxy may accept new requests, and the state
// that this follows from.
func (c *Control) Readiness() (bool, string) {
	readiness := c.config.ready(time.Now())
	return readiness == rollout.Ready, string(readiness)
}

// ObserveResponse records what a response said about the endpoint's process:
// its generation and whether it is draining.
func (c *Control) ObserveResponse(address string, generation int64, draining bool) {
	if !c.draining.observeResponse(address, generation, draining) {
		return
	}
	c.logger.Info("endpoint: marked as leaving", zap.String("address", address), zap.Int64("generation", generation))
	c.refreshAvailability()
	c.propagateMark(drainingMark{Address: address, Generation: generation})
}

// ConfigurationAccepted makes the proxy read a revision that it has accepted
// itself from the platform, without waiting for a reader, since the readers
// may be disconnected from the platform. The other proxies can then fetch the
// revision from this one.
func (c *Control) ConfigurationAccepted(revision int64) {
	c.config.accept(revision)
	c.requestSync()
}

// Peers returns access to the other proxies for the at-most-once coordinator.
func (c *Control) Peers() *ClaimPeers {
	return &ClaimPeers{members: c.members, transport: c.transport}
}

// notify sends to a channel of capacity one unless a value is already
// pending.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (c *Control) requestSync() { notify(c.syncNow) }

// refreshAvailability wakes the availability loop.
func (c *Control) refreshAvailability() { notify(c.availabilityWake) }

var errLoopEnded = eris.New("control: a loop ended before its context")
