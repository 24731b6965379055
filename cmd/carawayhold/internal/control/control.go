// Package control keeps a proxy in step with the platform and with the other
// proxies: membership, configuration, ejection ledgers, evidence, leaving
// marks, trial probes and the audit trail of ejections. Each duty is one
// goroutine; duties hand work to each other through bounded channels.
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

// Platform is the part of the platform client that the duties use. Errors are
// those of package platform.
type Platform interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	Put(ctx context.Context, name string, expect int64, value []byte) (int64, error)
	List(ctx context.Context, prefix string, after int64) (platform.Listing, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Listing, error)
	VMs(ctx context.Context) (platform.VMList, error)
}

// Transport is the part of the peer transport that the duties use.
type Transport interface {
	message.Subscriber
	Send(to, topic string, payload []byte) error
	Request(ctx context.Context, to, incarnation, topic string, payload []byte) ([]byte, error)
	Handle(topic string, handler peer.Handler)
}

// Datapath is what the duties change in the request path.
type Datapath interface {
	// Apply puts a newer configuration in force.
	Apply(change Change)
	// SetAvailability replaces what is known about the endpoints of a service.
	SetAvailability(service string, availability Availability)
	// InFlight returns the attempts of this proxy by service and endpoint, for the
	// services that have any.
	InFlight() map[string]map[string]int
	// SetOthersLoad states the attempts of all other proxies at the endpoints of a
	// service, and the share of attempts that its endpoints shed. Both count until
	// the time until.
	SetOthersLoad(service string, inFlight map[string]int, shedRatio float64, until time.Time)
	// Load returns the work of this proxy at the endpoints of a service.
	Load(service string) map[string]EndpointLoad
	// SetLiveProxies states how many proxies share the connections of an endpoint.
	SetLiveProxies(live int)
	// Probe sends one trial request to an endpoint. It returns false for sent if
	// no suitable request was seen lately.
	Probe(ctx context.Context, service, endpoint string) (result ProbeResult, sent bool)
}

// Change is what differs between the configuration in force and a newer one.
type Change struct {
	Revision int64
	// Changed holds the services that are new or have another description.
	Changed []config.Service
	Removed []string
}

// Availability is what limits the use of a service's endpoints.
type Availability struct {
	// Ejected endpoints receive no work until EjectedUntil, when the copy of the
	// ledger that lists them expires.
	Ejected      []string
	EjectedUntil time.Time
	Draining     []string
	// Weights below 1 by endpoint.
	Weights map[string]float64
	// WarmingUp endpoints warm up after the start of their process.
	WarmingUp []string
}

// EndpointLoad is the work of this proxy at one endpoint.
type EndpointLoad struct {
	InFlight int
	// Limit is the number of requests that may be in flight at present.
	Limit int
}

// ProbeResult is the outcome of a trial request.
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

// Control runs the control duties of one proxy.
type Control struct {
	self      membership.Member
	platform  Platform
	transport Transport
	datapath  Datapath
	recorder  *outlier.Recorder
	logger    *zap.Logger
	started   time.Time

	members    *members
	config     *configState
	ledgers    *ledgerState
	marks      *marks
	evaluators *evaluators
	loads      *loadTable
	clients    *clientTable
	reader     atomic.Pointer[membership.Incarnation] // the reader at the last change of a member
	syncNow    chan struct{}
	applied    chan struct{}
	ledgerWork chan string
	applying   sync.Mutex // held while a configuration is put in force
	events     *gochannel.GoChannel
}

// eventBuffer bounds the audit events that wait in the process.
const eventBuffer = 256

// New returns the duties of a proxy. They start with Run.
func New(d Dependencies) *Control {
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c := &Control{
		self: d.Self, platform: d.Platform, transport: d.Transport,
		datapath: d.Datapath, recorder: d.Recorder, logger: d.Logger, started: now,
		config:     newConfigState(d.Logger),
		ledgers:    newLedgerState(),
		marks:      newMarks(),
		evaluators: newEvaluators(),
		loads:      newLoadTable(),
		clients:    newClientTable(),
		syncNow:    make(chan struct{}, 1),
		applied:    make(chan struct{}, 1),
		ledgerWork: make(chan string, eventBuffer),
		events:     gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: eventBuffer}, nil),
	}
	c.members = newMembers(membership.NewNode(d.Self, now, random), d.Seeds, d.Transport, d.Logger)
	c.members.newerRevision = c.requestSync
	c.members.changed = c.followReader
	d.Transport.Handle(peer.TopicStateSync, c.answerSync)
	d.Transport.Handle(peer.TopicConfigFetch, c.answerFetch)
	c.register(d.Metrics)
	return c
}

// Run performs all duties until ctx ends, and returns when all have ended.
func (c *Control) Run(ctx context.Context) error {
	router, err := c.router()
	if err != nil {
		return err
	}
	duties := []func(context.Context) error{
		router.Run,
		c.members.run,
		c.syncDuty,
		c.headWatchDuty,
		c.ledgerWatchDuty,
		c.vmListDuty,
		c.forgetMarksDuty,
		c.availabilityDuty,
		c.evidenceDuty,
		c.loadDuty,
		c.ledgerWriteDuty,
		c.trialDuty,
		c.auditDuty,
	}
	return runTogether(ctx, duties)
}

// Leave announces the planned stop of this proxy to the other members.
func (c *Control) Leave() { c.members.leave() }

// Readiness reports whether the proxy may take new requests, and why not.
func (c *Control) Readiness() (bool, string) {
	readiness := c.config.ready(time.Now())
	return readiness == rollout.Ready, string(readiness)
}

// EndpointAnswered tells the duties what an endpoint's response said about the
// endpoint's process: its generation and whether it is leaving.
func (c *Control) EndpointAnswered(address string, generation int64, draining bool) {
	if !c.marks.endpointAnswered(address, generation, draining) {
		return
	}
	c.logger.Info("endpoint: marked as leaving", zap.String("address", address), zap.Int64("generation", generation))
	c.refreshAvailability()
	c.spreadMark(Mark{Address: address, Generation: generation})
}

// ConfigurationAccepted makes the proxy read a revision that it has accepted
// itself from the platform, without waiting for a reader, which may be cut off
// from the platform. The other proxies then learn of it from this one as well.
func (c *Control) ConfigurationAccepted(revision int64) {
	c.config.accept(revision)
	c.requestSync()
}

// Peers returns the view of the other proxies that the at-most-once coordinator uses.
func (c *Control) Peers() *ClaimPeers {
	return &ClaimPeers{members: c.members, transport: c.transport}
}

// notify puts a token into a channel of capacity one.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (c *Control) requestSync() { notify(c.syncNow) }

// refreshAvailability makes the availability duty run soon.
func (c *Control) refreshAvailability() { notify(c.applied) }

var errDutyEnded = eris.New("control: a duty ended early")
