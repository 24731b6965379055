package dispatch

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/admission"
	"github.com/carawayhold/carawayhold/balance"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// permit is one request, first waiting in the queue and then assigned to an endpoint.
// Its fields are guarded by the dispatcher's mutex until it is granted.
type permit struct {
	dispatcher *Dispatcher
	queues     *admission.Controller
	ticket     *admission.Ticket
	tried      []string
	started    time.Time
	hedge      bool // a concurrent second attempt, which shares the ticket of the first

	name       string
	client     *endpoint.Client
	resolved   bool
	ready      chan struct{} // created only if the request has to wait
	retryAfter time.Duration
}

var _ caller.Permit = (*permit)(nil)

// grant is called with the dispatcher's mutex held.
func (p *permit) grant(name string, client *endpoint.Client) {
	p.name, p.client = name, client
	p.resolve()
}

// refuse is called with the dispatcher's mutex held.
func (p *permit) refuse(retryAfter time.Duration) {
	p.name, p.client = "", nil
	p.retryAfter = retryAfter
	p.resolve()
}

func (p *permit) resolve() {
	p.resolved = true
	if p.ready != nil {
		close(p.ready)
		p.ready = nil
	}
}

// await waits until the request is granted or refused. It is called with the
// dispatcher's mutex held and releases it.
func (p *permit) await(ctx context.Context) bool {
	d := p.dispatcher
	if p.resolved {
		d.mu.Unlock()
		return p.granted()
	}
	ready := make(chan struct{})
	p.ready = ready
	d.mu.Unlock()
	select {
	case <-ready:
		return p.granted()
	case <-ctx.Done():
		p.cancel()
		return false
	}
}

func (p *permit) granted() bool {
	p.started = time.Now()
	return p.client != nil
}

// cancel removes a request whose context has ended, or ends its attempt if it has just
// been granted.
func (p *permit) cancel() {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !p.resolved:
		p.queues.Cancel(p.ticket)
		d.waiting--
		p.resolved = true
	case p.client != nil:
		now := time.Now()
		d.pool.Done(now, p.name, balance.ResultFailed, 0)
		p.queues.Cancel(p.ticket)
		d.assignWaiting(now)
	}
}

// Endpoint implements caller.Permit.
func (p *permit) Endpoint() string { return p.name }

// Client implements caller.Permit.
func (p *permit) Client() *endpoint.Client { return p.client }

// Done implements caller.Permit.
func (p *permit) Done(result *endpoint.Result) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(p.started)
	served, outcome := classify(result)
	d.pool.Done(now, p.name, served, elapsed)
	if result != nil && result.Draining() {
		d.pool.SetDraining(p.name, true)
	}
	if !p.hedge || outcome == admission.OutcomeServed {
		p.queues.Done(now, p.ticket, outcome, elapsed)
	}
	d.assignWaiting(now)
}

func classify(result *endpoint.Result) (balance.Result, admission.Outcome) {
	switch {
	case result == nil:
		return balance.ResultFailed, admission.OutcomeFailed
	case result.Kind() == endpoint.KindShed:
		return balance.ResultShed, admission.OutcomeShed
	case result.Kind() == endpoint.KindOK:
		return balance.ResultServed, admission.OutcomeServed
	default:
		return balance.ResultFailed, admission.OutcomeFailed
	}
}

// Retry implements caller.Permit.
func (p *permit) Retry(ctx context.Context, notRun bool) bool {
	d := p.dispatcher
	d.mu.Lock()
	now := time.Now()
	p.tried = append(p.tried, p.name)
	if !notRun {
		defer d.mu.Unlock()
		return p.retry(now)
	}
	if !p.queues.Requeue(now, p.ticket) {
		d.mu.Unlock()
		return false
	}
	p.resolved = false
	p.name, p.client = "", nil
	d.waiting++
	d.assignWaiting(now)
	return p.await(ctx)
}

// retry picks an endpoint immediately or fails, because the request has already waited
// in the queue. It is called with the dispatcher's mutex held.
func (p *permit) retry(now time.Time) bool {
	d := p.dispatcher
	if !d.pool.Available(now) || !p.queues.Retry(now, p.ticket) {
		return false
	}
	e, ok := d.pool.Pick(now, p.tried...)
	if !ok {
		return false
	}
	p.name, p.client = e.Name(), d.byName[e.Name()]
	p.started = now
	return p.client != nil
}

// RetryAfter implements caller.Permit.
func (p *permit) RetryAfter() time.Duration {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.queues.RetryAfter(time.Now(), p.ticket.Class())
}

// HedgeAt implements caller.Permit.
func (p *permit) HedgeAt() (time.Time, bool) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.queues.HedgeAt(p.ticket)
}

// Hedge implements caller.Permit. The second attempt goes to another endpoint.
func (p *permit) Hedge() (caller.Permit, bool) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	tried := append([]string{p.name}, p.tried...)
	e, ok := d.pool.Pick(now, tried...)
	if !ok {
		return nil, false
	}
	// The pool may return a tried endpoint if no other is available.
	client := d.byName[e.Name()]
	if e.Name() == p.name || client == nil || !p.queues.Hedge(now, p.ticket) {
		d.pool.Done(now, e.Name(), balance.ResultFailed, 0)
		return nil, false
	}
	return &permit{
		dispatcher: d, queues: p.queues, ticket: p.ticket, started: now, hedge: true,
		name: e.Name(), client: client,
	}, true
}
