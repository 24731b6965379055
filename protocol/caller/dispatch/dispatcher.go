// Package dispatch drives the admission queues and the endpoint selection of
// one service together: a waiting request runs as soon as an endpoint has room.
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
	// tickInterval bounds how late a waiting request that can no longer meet
	// its deadline is given up. It runs only while requests wait.
	tickInterval = 10 * time.Millisecond
	// coldLimit is the most attempts of one proxy at an endpoint that warms up: one
	// that shows its speed, and one more while the first is slow.
	coldLimit = 2
	// modelLifetime is how long a well answered request serves as a model for trials.
	modelLifetime = 30 * time.Second
	// modelInterval bounds how often the model is replaced.
	modelInterval = 100 * time.Millisecond
)

// Dispatcher admits the requests of one service and chooses their endpoints.
// It keeps its state when the service's description changes. It is safe for
// concurrent use.
type Dispatcher struct {
	clients *endpoint.Set
	proxy   string
	model   atomic.Pointer[model]

	mu         sync.Mutex
	random     *rand.Rand
	pool       *balance.Pool
	queues     *admission.Controller
	retired    []*admission.Controller // of earlier descriptions; they only empty
	classes    []config.Class
	budget     int
	endpoints  []config.Endpoint
	byName     map[string]*endpoint.Client
	live       int
	waiting    int
	ejected    []string
	ejectUntil time.Time
	leaving    []string
	timer      *time.Timer
	wakeAt     time.Time // zero while the timer is not set
	closed     bool
}

// model is a request that may be sent again as a trial.
type model struct {
	class   string
	request *endpoint.Request
	until   time.Time
	next    time.Time // not replaced before
}

// New returns a dispatcher without endpoints for the proxy of that name in zone.
func New(proxy, zone string, clients *endpoint.Set, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		clients: clients,
		proxy:   proxy,
		random:  random,
		pool:    balance.NewPool(zone, random),
		byName:  map[string]*endpoint.Client{},
		live:    1,
	}
}

// Configure puts a description of the service in force. Requests that wait stay.
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
	d.run(time.Now())
}

// applyEndpoints gives the endpoints of this proxy to the pool, with the share
// of their connections that belongs to one of live proxies.
func (d *Dispatcher) applyEndpoints() {
	for _, e := range d.endpoints {
		client := d.clients.Client(e.Address)
		client.SetConnectionLimit(e.ConnectionLimit() / d.live)
		d.byName[e.Name] = client
	}
	d.pool.SetConnections(balance.ConnectionLimit(d.live))
	d.pool.SetEndpoints(balance.Subset(d.proxy, d.live, carawayhold.Endpoints(d.endpoints)))
	for name := range d.byName {
		if !slices.ContainsFunc(d.endpoints, func(e config.Endpoint) bool { return e.Name == name }) {
			delete(d.byName, name)
		}
	}
}

// SetLiveProxies states how many proxies share the connections of an endpoint.
func (d *Dispatcher) SetLiveProxies(live int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	live = max(live, 1)
	if live == d.live {
		return
	}
	d.live = live
	d.applyEndpoints()
	d.run(time.Now())
}

// SetAvailability replaces what limits the use of the endpoints. Ejected
// endpoints receive no work until the time until, when the copy of the ledger
// that lists them expires. Weights are below 1; other endpoints have weight 1.
// Cold endpoints take few attempts at a time, because a process that has just started
// is slow.
func (d *Dispatcher) SetAvailability(
	ejected []string, until time.Time, leaving []string, weights map[string]float64, cold []string,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ejected, d.ejectUntil = ejected, until
	d.leaving = leaving
	now := time.Now()
	for name := range d.byName {
		weight, ok := weights[name]
		if !ok {
			weight = 1
		}
		d.pool.SetWeight(name, weight)
		d.pool.SetEjected(name, !ejection.Lapsed(now, until) && slices.Contains(ejected, name))
		d.pool.SetDraining(name, slices.Contains(leaving, name))
		limit := 0
		if slices.Contains(cold, name) {
			limit = coldLimit
		}
		d.pool.SetWarmUpLimit(name, limit)
	}
	d.run(now)
}

// SetDraining excludes an endpoint that declared that it drains.
func (d *Dispatcher) SetDraining(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.SetDraining(name, true)
}

// SetPeersInFlight records the work of all other proxies at an endpoint, which
// counts until the time until.
func (d *Dispatcher) SetPeersInFlight(name string, inFlight int, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.SetPeersInFlight(name, inFlight, until)
}

// SetShedRatio records the share of attempts that endpoints shed in the
// fleet's evidence, which counts until the time until.
func (d *Dispatcher) SetShedRatio(ratio float64, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queues.SetShedRatio(ratio, until)
}

// InFlight returns the attempts of this proxy at each endpoint.
func (d *Dispatcher) InFlight() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.InFlight()
}

// Limits returns the whole part of the present concurrency limit of each
// endpoint, and 1 for a limit below one.
func (d *Dispatcher) Limits() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits := make(map[string]int, len(d.byName))
	for name := range d.byName {
		limits[name] = max(int(d.pool.Limit(name)), 1)
	}
	return limits
}

// Close gives up the waiting requests and stops the timer.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// Admit waits until a request of the class may be sent.
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
	d.refuse(decision.Displaced())
	d.run(now)
	if !p.await(ctx) {
		return nil, p.retryAfter
	}
	return p, 0
}

// Observe takes a request that was answered well as a model for trials.
func (d *Dispatcher) Observe(class string, request *endpoint.Request) {
	now := time.Now()
	if m := d.model.Load(); m != nil && now.Before(m.next) {
		return
	}
	d.model.Store(&model{class: class, request: request, until: now.Add(modelLifetime), next: now.Add(modelInterval)})
}

// Probe sends a request like one that was answered lately to an endpoint,
// whether it is ejected or not. It returns false if there was none, and the
// result must be released otherwise.
func (d *Dispatcher) Probe(ctx context.Context, name, id string, deadline time.Time) (ProbeResult, bool) {
	m := d.model.Load()
	d.mu.Lock()
	client := d.byName[name]
	d.mu.Unlock()
	if m == nil || client == nil || time.Now().After(m.until) {
		return ProbeResult{}, false
	}
	result := client.Do(ctx, deadline, m.request.WithIdentity(id, deadline))
	return ProbeResult{class: m.class, result: result}, true
}

// ProbeResult is the result of a trial request.
type ProbeResult struct {
	class  string
	result *endpoint.Result
}

// Class returns the class of the request that was sent again.
func (t ProbeResult) Class() string { return t.class }

// Result returns the result, which must be released.
func (t ProbeResult) Result() *endpoint.Result { return t.result }

// run gives room at endpoints to waiting requests. It is called with mu held.
func (d *Dispatcher) run(now time.Time) {
	if !d.ejectUntil.IsZero() && ejection.Lapsed(now, d.ejectUntil) {
		d.ejectUntil = time.Time{}
		for _, name := range d.ejected {
			d.pool.SetEjected(name, false)
		}
	}
	for d.waiting > 0 && d.pool.Available(now) {
		t, ok := d.next(now)
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

// next returns the request to run now. Requests that were admitted under an
// earlier description come first.
func (d *Dispatcher) next(now time.Time) (*admission.Ticket, bool) {
	for len(d.retired) > 0 {
		if t, ok := d.retired[0].Next(now); ok {
			return t, true
		}
		d.retired = d.retired[1:]
	}
	return d.queues.Next(now)
}

// refuse answers requests that were given up while they waited.
func (d *Dispatcher) refuse(given []admission.Dropped) {
	for _, g := range given {
		d.waiting--
		g.Ticket().Value().(*permit).giveUp(g.RetryAfter())
	}
}

// setTimer makes tick run while requests wait: at the next interval, or
// earlier if an endpoint that spaces its attempts has room earlier.
func (d *Dispatcher) setTimer(now time.Time) {
	if d.waiting == 0 || d.closed {
		return
	}
	at := now.Add(tickInterval)
	if open, ok := d.pool.NextOpen(now); ok && open.Before(at) {
		at = open
	}
	if !d.wakeAt.IsZero() && !at.Before(d.wakeAt) {
		return
	}
	d.wakeAt = at
	if d.timer == nil {
		d.timer = time.AfterFunc(at.Sub(now), d.tick)
		return
	}
	d.timer.Reset(at.Sub(now))
}

func (d *Dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wakeAt = time.Time{}
	now := time.Now()
	for _, q := range d.retired {
		d.refuse(q.Expire(now))
	}
	d.refuse(d.queues.Expire(now))
	d.run(now)
}
