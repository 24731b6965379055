// Package datapath connects the configuration and the control duties to the
// request path: it builds routing tables, keeps the state of services across
// configurations, and passes the results of attempts on as evidence.
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

// defaultTrialTime bounds a trial whose context has no deadline.
const defaultTrialTime = time.Second

// Datapath applies configurations and control decisions to a handler.
type Datapath struct {
	proxy   string
	zone    string
	handler *caller.Handler
	clients *endpoint.Set
	logger  *zap.Logger

	mu          sync.Mutex
	live        int
	revision    int64
	onLive      func(live int)
	dispatchers map[string]*dispatch.Dispatcher
	evidence    *Evidence
	described   map[string]config.Service
	uses        map[string]int // endpoints of all services at each address
}

var _ control.Datapath = (*Datapath)(nil)

// New returns a datapath without a handler. The names of the proxy and its zone
// are those of its settings.
func New(proxy, zone string, clients *endpoint.Set, evidence *Evidence, logger *zap.Logger) *Datapath {
	return &Datapath{
		proxy: proxy, zone: zone, clients: clients, evidence: evidence, logger: logger,
		live: 1, dispatchers: map[string]*dispatch.Dispatcher{},
		described: map[string]config.Service{}, uses: map[string]int{},
	}
}

// Attach sets the handler in which configurations are put in force. Call it
// before the first Apply.
func (d *Datapath) Attach(handler *caller.Handler) { d.handler = handler }

// Apply puts a newer configuration in force for the requests that follow. Its
// cost depends on what changed, not on the size of the configuration.
func (d *Datapath) Apply(change control.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if change.Revision <= d.revision {
		d.logger.Error("caller: invariant violated: configuration would go back",
			zap.Int64("revision", change.Revision), zap.Int64("in force", d.revision))
		return
	}
	d.revision = change.Revision
	unused := d.describe(change)
	table := d.handler.Table()
	if table != nil {
		table = table.WithChanges(change.Revision, change.Changed, change.Removed, parts{d})
	}
	if table == nil {
		table = caller.NewTable(change.Revision, d.all(), parts{d})
	}
	for _, p := range table.Problems() {
		d.logger.Error("caller: route left out", zap.String("problem", p))
	}
	d.handler.SetTable(table)
	for _, name := range change.Removed {
		// Requests that wait in it are given up at their deadlines.
		delete(d.dispatchers, name)
	}
	d.clients.Remove(unused)
	d.evidence.apply(change)
	d.logger.Info("caller: configuration in force", zap.Int64("revision", change.Revision),
		zap.Int("changed", len(change.Changed)), zap.Int("removed", len(change.Removed)))
}

// describe notes the new descriptions and returns the addresses that no service
// uses any longer.
func (d *Datapath) describe(change control.Change) []string {
	touched := map[string]bool{}
	replace := func(name string, next config.Service) {
		for _, e := range d.described[name].Endpoints {
			d.uses[e.Address]--
			touched[e.Address] = true
		}
		for _, e := range next.Endpoints {
			d.uses[e.Address]++
		}
	}
	for _, name := range change.Removed {
		replace(name, config.Service{})
		delete(d.described, name)
	}
	for _, s := range change.Changed {
		replace(s.Name, s)
		d.described[s.Name] = s
	}
	var unused []string
	for address := range touched {
		if d.uses[address] == 0 {
			delete(d.uses, address)
			unused = append(unused, address)
		}
	}
	return unused
}

func (d *Datapath) all() []config.Service {
	services := make([]config.Service, 0, len(d.described))
	for _, s := range d.described {
		services = append(services, s)
	}
	return services
}

// parts creates dispatchers for a new routing table. The datapath's mutex is held.
type parts struct{ datapath *Datapath }

// Dispatcher returns the dispatcher of a service with the description in force.
func (p parts) Dispatcher(service *config.Service) caller.Dispatcher {
	d := p.datapath
	one, ok := d.dispatchers[service.Name]
	if !ok {
		one = dispatch.New(d.proxy, d.zone, d.clients, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		d.dispatchers[service.Name] = one
	}
	one.SetLiveProxies(d.live)
	one.Configure(service)
	return one
}

func (d *Datapath) dispatcher(service string) *dispatch.Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatchers[service]
}

// Dispatchers returns the dispatchers by service, for load reports.
func (d *Datapath) Dispatchers() map[string]*dispatch.Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]*dispatch.Dispatcher, len(d.dispatchers))
	for name, one := range d.dispatchers {
		all[name] = one
	}
	return all
}

// SetAvailability replaces what is known about the endpoints of a service.
func (d *Datapath) SetAvailability(service string, a control.Availability) {
	if one := d.dispatcher(service); one != nil {
		one.SetAvailability(a.Ejected, a.EjectedUntil, a.Draining, a.Weights, a.WarmingUp)
	}
}

// InFlight returns the attempts of this proxy by service and endpoint.
func (d *Datapath) InFlight() map[string]map[string]int {
	busy := map[string]map[string]int{}
	for service, one := range d.Dispatchers() {
		if inFlight := one.InFlight(); len(inFlight) > 0 {
			busy[service] = inFlight
		}
	}
	return busy
}

// SetOthersLoad passes the figures of all other proxies to a dispatcher.
func (d *Datapath) SetOthersLoad(service string, inFlight map[string]int, shedRatio float64, until time.Time) {
	one := d.dispatcher(service)
	if one == nil {
		return
	}
	for name, n := range inFlight {
		one.SetPeersInFlight(name, n, until)
	}
	one.SetShedRatio(shedRatio, until)
}

// Load returns the work of this proxy at the endpoints of a service.
func (d *Datapath) Load(service string) map[string]control.EndpointLoad {
	one := d.dispatcher(service)
	if one == nil {
		return nil
	}
	load := map[string]control.EndpointLoad{}
	for name, limit := range one.Limits() {
		load[name] = control.EndpointLoad{Limit: limit}
	}
	for name, inFlight := range one.InFlight() {
		load[name] = control.EndpointLoad{InFlight: inFlight, Limit: load[name].Limit}
	}
	return load
}

// OnLiveProxies sets a function that is called when the rounded number of live
// proxies changes.
func (d *Datapath) OnLiveProxies(changed func(live int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onLive = changed
}

// liveSteps is the number of steps between a fleet size and its double. A new
// step walks all endpoints, so that single members should not cause one.
const liveSteps = 16

// SetLiveProxies states how many proxies share the connections of an endpoint.
// The number is rounded up, so that the connections stay within their limit.
func (d *Datapath) SetLiveProxies(live int) {
	step := max(live/liveSteps, 1)
	live = max((live+step-1)/step*step, 1)
	d.mu.Lock()
	same := live == d.live
	d.live = live
	onLive := d.onLive
	d.mu.Unlock()
	if same {
		return
	}
	if onLive != nil {
		onLive(live)
	}
	for _, one := range d.Dispatchers() {
		one.SetLiveProxies(live)
	}
}

// Probe sends a request like one that was answered lately to an endpoint.
func (d *Datapath) Probe(ctx context.Context, service, name string) (control.ProbeResult, bool) {
	one := d.dispatcher(service)
	if one == nil {
		return control.ProbeResult{}, false
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTrialTime)
	}
	trial, sent := one.Probe(ctx, name, "trial-"+uuid.NewString(), deadline)
	if !sent {
		return control.ProbeResult{}, false
	}
	result := trial.Result()
	defer result.Release()
	good := result.Kind() == endpoint.KindOK && !d.evidence.exceeds(service, trial.Class(), name, result.Elapsed())
	return control.ProbeResult{OK: good, Generation: result.Generation()}, true
}
