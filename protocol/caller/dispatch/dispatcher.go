// Package dispatch combines the admission queues of a service with its endpoint pool: a
// waiting request is assigned an endpoint as soon as one has capacity.
package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/admission"
	"github.com/carawayhold/carawayhold/balance"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

const (
	// tickInterval bounds the delay in dropping a waiting request that can no longer
	// meet its deadline. The timer runs only while requests wait.
	tickInterval = 10 * time.Millisecond
	// warmUpLimit is the maximum number of attempts in flight from one proxy to an
	// endpoint that is warming up: one that measures its latency, and one more while
	// the first is slow.
	warmUpLimit = 2
	// probeTemplateLifetime is how long a successful request is used for probes.
	probeTemplateLifetime = 30 * time.Second
	// probeTemplateInterval is the minimum time between replacements of the template.
	probeTemplateInterval = 100 * time.Millisecond
)

// Dispatcher admits the requests of one service and chooses their endpoints. Its state
// survives changes of the service configuration. It is safe for concurrent use.
type Dispatcher struct {
	clients  *endpoint.Set
	proxy    string
	template atomic.Pointer[probeTemplate]

	mu           sync.Mutex
	random       *rand.Rand
	pool         *balance.Pool
	queues       *admission.Controller
	retired      []*admission.Controller // of earlier configurations; they admit no new requests
	classes      []config.Class
	budget       int
	endpoints    []config.Endpoint
	byName       map[string]*endpoint.Client
	liveProxies  int
	waiting      int
	ejected      []string
	ejectedUntil time.Time
	draining     []string
	timer        *time.Timer
	timerAt      time.Time // zero while the timer is not set
	closed       bool
}

// probeTemplate is a successful request that may be sent again as a probe.
type probeTemplate struct {
	class        string
	request      *endpoint.Request
	expires      time.Time
	replaceAfter time.Time // earliest time of a replacement
}

// New returns a dispatcher without endpoints for the given proxy and zone.
func New(proxy, zone string, clients *endpoint.Set, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		clients:     clients,
		proxy:       proxy,
		random:      random,
		pool:        balance.NewPool(zone, random),
		byName:      map[string]*endpoint.Client{},
		liveProxies: 1,
	}
}

// Configure applies a service configuration. Waiting requests stay queued.
func (d *Dispatcher) Configure(s *config.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queues == nil || !slices.Equal(d.classes, s.Classes) || d.budget != s.RetryBudgetPercent {
		if d.queues != nil {
			d.retired = append(d.retired, d.queues)
		}
		d.queues = carawayhold.NewQueues(*s, d.random)
		d.classes = slices.Clone(s.Classes)
		d.budget = s.RetryBudgetPercent
	}
	d.endpoints = slices.Clone(s.Endpoints)
	d.applyEndpoints()
	d.assignWaiting(time.Now())
}

// applyEndpoints updates the pool to the endpoints of this proxy. The connections of an
// endpoint are divided equally among the live proxies. It is called with mu held.
func (d *Dispatcher) applyEndpoints() {
	for _, e := range d.endpoints {
		client := d.clients.Client(e.Address)
		client.SetConnectionLimit(e.ConnectionLimit() / d.liveProxies)
		d.byName[e.Name] = client
	}
	d.pool.SetConnections(balance.ConnectionLimit(d.liveProxies))
	d.pool.SetEndpoints(balance.Subset(d.proxy, d.liveProxies, carawayhold.Endpoints(d.endpoints)))
	for name := range d.byName {
		if !slices.ContainsFunc(d.endpoints, func(e config.Endpoint) bool { return e.Name == name }) {
			delete(d.byName, name)
		}
	}
}

// SetLiveProxies sets the number of proxies that share the connections of an endpoint.
func (d *Dispatcher) SetLiveProxies(live int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	live = max(live, 1)
	if live == d.liveProxies {
		return
	}
	d.liveProxies = live
	d.applyEndpoints()
	d.assignWaiting(time.Now())
}

// SetAvailability replaces the restrictions on the endpoints. Ejected endpoints receive
// no requests before the time until, when the local copy of the ejection ledger expires.
// Weights are below 1; other endpoints have weight 1. Endpoints that are warming up receive
// few attempts at a time, because a process that has just started is slow.
func (d *Dispatcher) SetAvailability(
	ejected []string, until time.Time, draining []string, weights map[string]float64, warmingUp []string,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ejected, d.ejectedUntil = ejected, until
	d.draining = draining
	now := time.Now()
	for name := range d.byName {
		weight, ok := weights[name]
		if !ok {
			weight = 1
		}
		d.pool.SetWeight(name, weight)
		d.pool.SetEjected(name, !ejection.Expired(now, until) && slices.Contains(ejected, name))
		d.pool.SetDraining(name, slices.Contains(draining, name))
		limit := 0
		if slices.Contains(warmingUp, name) {
			limit = warmUpLimit
		}
		d.pool.SetWarmUpLimit(name, limit)
	}
	d.assignWaiting(now)
}

// SetDraining excludes an endpoint that declared that it is draining.
func (d *Dispatcher) SetDraining(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.SetDraining(name, true)
}

// SetPeersInFlight sets the number of attempts of all other proxies at an endpoint. It
// is valid until the time until.
func (d *Dispatcher) SetPeersInFlight(name string, inFlight int, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.SetPeersInFlight(name, inFlight, until)
}

// SetShedRatio sets the ratio of attempts that endpoints shed, as reported by the whole
// fleet. It is valid until the time until.
func (d *Dispatcher) SetShedRatio(ratio float64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queues.SetShedRatio(ratio, until)
}

// InFlight returns the number of attempts of this proxy at each endpoint.
func (d *Dispatcher) InFlight() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.InFlight()
}

// Limits returns the current concurrency limit of each endpoint, rounded down but at
// least 1.
func (d *Dispatcher) Limits() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits := make(map[string]int, len(d.byName))
	for name := range d.byName {
		limits[name] = max(int(d.pool.Limit(name)), 1)
	}
	return limits
}

// Close stops the timer that drops waiting requests. Requests that still wait end with
// their contexts or when an endpoint becomes available.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// Admit implements caller.Dispatcher.
func (d *Dispatcher) Admit(ctx context.Context, class string, deadline time.Time) (caller.Permit, time.Duration) {
	p := &permit{dispatcher: d}
	d.mu.Lock()
	now := time.Now()
	decision, err := d.queues.Admit(now, class, deadline, p)
	if err != nil || !decision.Admitted() {
		d.mu.Unlock()
		return nil, decision.RetryAfter()
	}
	p.queues = d.queues
	p.ticket = decision.Ticket()
	d.waiting++
	d.refuseDropped(decision.Displaced())
	d.assignWaiting(now)
	if !p.await(ctx) {
		return nil, p.retryAfter
	}
	return p, 0
}

// Observe implements caller.Dispatcher.
func (d *Dispatcher) Observe(class string, request *endpoint.Request) {
	now := time.Now()
	if t := d.template.Load(); t != nil && now.Before(t.replaceAfter) {
		return
	}
	d.template.Store(&probeTemplate{
		class: class, request: request,
		expires: now.Add(probeTemplateLifetime), replaceAfter: now.Add(probeTemplateInterval),
	})
}

// Probe sends a recent successful request again to an endpoint, whether or not the
// endpoint is ejected. It returns false if there is no such request or endpoint.
// Otherwise the result must be released.
func (d *Dispatcher) Probe(ctx context.Context, name, id string, deadline time.Time) (ProbeResult, bool) {
	t := d.template.Load()
	d.mu.Lock()
	client := d.byName[name]
	d.mu.Unlock()
	if t == nil || client == nil || time.Now().After(t.expires) {
		return ProbeResult{}, false
	}
	result := client.Do(ctx, deadline, t.request.WithIdentity(id, deadline))
	return ProbeResult{class: t.class, result: result}, true
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	class  string
	result *endpoint.Result
}

// Class returns the class of the request that was sent again.
func (r ProbeResult) Class() string { return r.class }

// Result returns the result, which must be released.
func (r ProbeResult) Result() *endpoint.Result { return r.result }

// assignWaiting assigns available endpoints to waiting requests. It is called with mu
// held.
func (d *Dispatcher) assignWaiting(now time.Time) {
	if !d.ejectedUntil.IsZero() && ejection.Expired(now, d.ejectedUntil) {
		d.ejectedUntil = time.Time{}
		for _, name := range d.ejected {
			d.pool.SetEjected(name, false)
		}
	}
	for d.waiting > 0 && d.pool.Available(now) {
		t, ok := d.nextTicket(now)
		if !ok {
			break
		}
		p := t.Value().(*permit)
		e, ok := d.pool.Pick(now, p.tried...)
		if !ok {
			break
		}
		d.waiting--
		p.grant(e.Name(), d.byName[e.Name()])
	}
	d.setTimer(now)
}

// nextTicket returns the next waiting request. Requests that were admitted under an
// earlier configuration come first.
func (d *Dispatcher) nextTicket(now time.Time) (*admission.Ticket, bool) {
	for len(d.retired) > 0 {
		if t, ok := d.retired[0].Next(now); ok {
			return t, true
		}
		d.retired = d.retired[1:]
	}
	return d.queues.Next(now)
}

// refuseDropped refuses requests that the queues dropped while they waited.
func (d *Dispatcher) refuseDropped(dropped []admission.Dropped) {
	for _, v := range dropped {
		d.waiting--
		v.Ticket().Value().(*permit).refuse(v.RetryAfter())
	}
}

// setTimer schedules tick while requests wait: after tickInterval, or earlier if an
// endpoint whose attempts are spaced out becomes available earlier.
func (d *Dispatcher) setTimer(now time.Time) {
	if d.waiting == 0 || d.closed {
		return
	}
	at := now.Add(tickInterval)
	if available, ok := d.pool.NextOpen(now); ok && available.Before(at) {
		at = available
	}
	if !d.timerAt.IsZero() && !at.Before(d.timerAt) {
		return
	}
	d.timerAt = at
	if d.timer == nil {
		d.timer = time.AfterFunc(at.Sub(now), d.tick)
		return
	}
	d.timer.Reset(at.Sub(now))
}

func (d *Dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = time.Time{}
	now := time.Now()
	for _, q := range d.retired {
		d.refuseDropped(q.Expire(now))
	}
	d.refuseDropped(d.queues.Expire(now))
	d.assignWaiting(now)
}
