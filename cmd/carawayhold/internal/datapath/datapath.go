// Package datapath connects package control to the request path: it builds
// routing tables, keeps dispatchers across configurations, and records the results
// of attempts for failure detection.
package datapath

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/control"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/caller/dispatch"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// defaultProbeTimeout bounds a probe whose context has no deadline.
const defaultProbeTimeout = time.Second

// Datapath applies configurations and control decisions to a handler. It is safe
// for concurrent use after Attach.
type Datapath struct {
	proxy   string
	zone    string
	handler *caller.Handler
	clients *endpoint.Set
	logger  *zap.Logger

	mu           sync.Mutex
	liveProxies  int
	revision     int64
	onLiveChange func(live int)
	dispatchers  map[string]*dispatch.Dispatcher
	evidence     *EvidenceRecorder
	services     map[string]config.Service
	addressUses  map[string]int // number of endpoints by address
}

var _ control.Datapath = (*Datapath)(nil)

// New returns a datapath without a handler; call Attach before using it. The names
// of the proxy and its availability zone come from the settings.
func New(proxy, zone string, clients *endpoint.Set, evidence *EvidenceRecorder, logger *zap.Logger) *Datapath {
	return &Datapath{
		proxy: proxy, zone: zone, clients: clients, evidence: evidence, logger: logger,
		liveProxies: 1, dispatchers: map[string]*dispatch.Dispatcher{},
		services: map[string]config.Service{}, addressUses: map[string]int{},
	}
}

// Attach sets the handler whose routing table Apply replaces. It must be called
// before the first Apply.
func (d *Datapath) Attach(handler *caller.Handler) { d.handler = handler }

// Apply applies a newer configuration to subsequent requests and ignores an older
// one. Its cost is proportional to the change, not to the configuration.
func (d *Datapath) Apply(change control.ConfigurationChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if change.Revision <= d.revision {
		d.logger.Error("caller: invariant violated: revision of the configuration would decrease",
			zap.Int64("revision", change.Revision), zap.Int64("in force", d.revision))
		return
	}
	d.revision = change.Revision
	unused := d.updateServices(change)
	table := d.handler.Table()
	if table != nil {
		table = table.WithChanges(change.Revision, change.Changed, change.Removed, dispatcherFactory{d})
	}
	if table == nil {
		table = caller.NewTable(change.Revision, d.serviceList(), dispatcherFactory{d})
	}
	for _, p := range table.Problems() {
		d.logger.Error("caller: invalid route skipped", zap.String("problem", p))
	}
	d.handler.SetTable(table)
	for _, name := range change.Removed {
		// Requests queued in the dispatcher fail at their deadlines.
		delete(d.dispatchers, name)
	}
	d.clients.Remove(unused)
	d.evidence.apply(change)
	d.logger.Info("caller: configuration applied", zap.Int64("revision", change.Revision),
		zap.Int("changed", len(change.Changed)), zap.Int("removed", len(change.Removed)))
}

// updateServices updates services and addressUses, and returns the addresses that
// no service uses anymore. The caller must hold mu.
func (d *Datapath) updateServices(change control.ConfigurationChange) []string {
	touched := map[string]bool{}
	replace := func(name string, next config.Service) {
		for _, e := range d.services[name].Endpoints {
			d.addressUses[e.Address]--
			touched[e.Address] = true
		}
		for _, e := range next.Endpoints {
			d.addressUses[e.Address]++
		}
	}
	for _, name := range change.Removed {
		replace(name, config.Service{})
		delete(d.services, name)
	}
	for _, s := range change.Changed {
		replace(s.Name, s)
		d.services[s.Name] = s
	}
	var unused []string
	for address := range touched {
		if d.addressUses[address] == 0 {
			delete(d.addressUses, address)
			unused = append(unused, address)
		}
	}
	return unused
}

func (d *Datapath) serviceList() []config.Service {
	services := make([]config.Service, 0, len(d.services))
	for _, s := range d.services {
		services = append(services, s)
	}
	return services
}

// dispatcherFactory supplies the dispatchers of a new routing table. The datapath's
// mutex must be held.
type dispatcherFactory struct{ datapath *Datapath }

// Dispatcher returns the dispatcher of a service, which it creates for a new
// service, and applies the service's configuration to it.
func (f dispatcherFactory) Dispatcher(service *config.Service) caller.Dispatcher {
	d := f.datapath
	dispatcher, ok := d.dispatchers[service.Name]
	if !ok {
		dispatcher = dispatch.New(d.proxy, d.zone, d.clients, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		d.dispatchers[service.Name] = dispatcher
	}
	dispatcher.SetLiveProxies(d.liveProxies)
	dispatcher.Configure(service)
	return dispatcher
}

func (d *Datapath) dispatcher(service string) *dispatch.Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatchers[service]
}

// Dispatchers returns a copy of the dispatchers by service name.
func (d *Datapath) Dispatchers() map[string]*dispatch.Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]*dispatch.Dispatcher, len(d.dispatchers))
	for name, dispatcher := range d.dispatchers {
		all[name] = dispatcher
	}
	return all
}

// SetAvailability replaces the ejected, draining, weighted and warming-up endpoints
// of a service. It ignores an unknown service.
func (d *Datapath) SetAvailability(service string, a control.Availability) {
	if dispatcher := d.dispatcher(service); dispatcher != nil {
		dispatcher.SetAvailability(a.Ejected, a.EjectedUntil, a.Draining, a.Weights, a.WarmingUp)
	}
}

// InFlight returns this proxy's attempts in flight by service and endpoint,
// without the services that have none.
func (d *Datapath) InFlight() map[string]map[string]int {
	byService := map[string]map[string]int{}
	for service, dispatcher := range d.Dispatchers() {
		if inFlight := dispatcher.InFlight(); len(inFlight) > 0 {
			byService[service] = inFlight
		}
	}
	return byService
}

// SetOthersLoad sets the attempts in flight of all other proxies by endpoint and
// the ratio of shed attempts. Both expire at the time until.
func (d *Datapath) SetOthersLoad(service string, inFlight map[string]int, shedRatio float64, until time.Time) {
	dispatcher := d.dispatcher(service)
	if dispatcher == nil {
		return
	}
	for name, n := range inFlight {
		dispatcher.SetPeersInFlight(name, n, until)
	}
	dispatcher.SetShedRatio(shedRatio, until)
}

// Load returns this proxy's attempts in flight and concurrency limits by endpoint,
// or nil for an unknown service.
func (d *Datapath) Load(service string) map[string]control.EndpointLoad {
	dispatcher := d.dispatcher(service)
	if dispatcher == nil {
		return nil
	}
	load := map[string]control.EndpointLoad{}
	for name, limit := range dispatcher.Limits() {
		load[name] = control.EndpointLoad{Limit: limit}
	}
	for name, inFlight := range dispatcher.InFlight() {
		load[name] = control.EndpointLoad{InFlight: inFlight, Limit: load[name].Limit}
	}
	return load
}

// OnLiveProxies sets a function that SetLiveProxies calls when the rounded number
// of live proxies changes.
func (d *Datapath) OnLiveProxies(changed func(live int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onLiveChange = changed
}

// liveSteps is the number of rounding steps per doubling of the fleet size. A
// change of the rounded number updates all endpoints, which single members of a
// large fleet should not cause.
const liveSteps = 16

// SetLiveProxies sets the number of proxies that share the connections of an
// endpoint. It is rounded up, so that the fleet does not exceed the connection
// limit.
func (d *Datapath) SetLiveProxies(live int) {
	step := max(live/liveSteps, 1)
	live = max((live+step-1)/step*step, 1)
	d.mu.Lock()
	same := live == d.liveProxies
	d.liveProxies = live
	onLiveChange := d.onLiveChange
	d.mu.Unlock()
	if same {
		return
	}
	if onLiveChange != nil {
		onLiveChange(live)
	}
	for _, dispatcher := range d.Dispatchers() {
		dispatcher.SetLiveProxies(live)
	}
}

// Probe sends a copy of a recently successful request to an endpoint. It returns
// false if the service is unknown or there is no such request.
func (d *Datapath) Probe(ctx context.Context, service, name string) (control.ProbeResult, bool) {
	dispatcher := d.dispatcher(service)
	if dispatcher == nil {
		return control.ProbeResult{}, false
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultProbeTimeout)
	}
	probe, sent := dispatcher.Probe(ctx, name, "trial-"+uuid.NewString(), deadline)
	if !sent {
		return control.ProbeResult{}, false
	}
	result := probe.Result()
	defer result.Release()
	passed := result.Kind() == endpoint.KindOK && !d.evidence.exceedsThreshold(service, probe.Class(), name, result.Elapsed())
	return control.ProbeResult{OK: passed, Generation: result.Generation()}, true
}
