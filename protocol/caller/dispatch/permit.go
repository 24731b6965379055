package dispatch

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/admission"
	"github.com/carawayhold/carawayhold/balance"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// permit is one request on its way through the queue to an endpoint. Its
// fields are guarded by the dispatcher's mutex until it is granted.
type permit struct {
	dispatcher *Dispatcher
	queues     *admission.Controller
	ticket     *admission.Ticket
	tried      []string
	started    time.Time
	hedge      bool // a second attempt; the first one keeps the ticket

	name       string
	client     *endpoint.Client
	decided    bool
	ready      chan struct{} // created only if the request has to wait
	retryAfter time.Duration
}

var _ caller.Permit = (*permit)(nil)

// grant is called with the dispatcher's mutex held.
func (p *permit) grant(name string, client *endpoint.Client) {
	p.name, p.client = name, client
	p.decide()
}

// giveUp is called with the dispatcher's mutex held.
func (p *permit) giveUp(retryAfter time.Duration) {
	p.name, p.client = "", nil
	p.retryAfter = retryAfter
	p.decide()
}

func (p *permit) decide() {
	p.decided = true
	if p.ready != nil {
		close(p.ready)
		p.ready = nil
	}
}

// await waits until the request is granted or given up. It is called with the
// dispatcher's mutex held, which it releases.
func (p *permit) await(ctx context.Context) bool {
	d := p.dispatcher
	if p.decided {
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
		p.withdraw()
		return false
	}
}

func (p *permit) granted() bool {
	p.started = time.Now()
	return p.client != nil
}

// withdraw takes back a request whose caller has left.
func (p *permit) withdraw() {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !p.decided:
		p.queues.Cancel(p.ticket)
		d.waiting--
		p.decided = true
	case p.client != nil:
		now := time.Now()
		d.pool.Done(now, p.name, balance.ResultFailed, 0)
		p.queues.Cancel(p.ticket)
		d.run(now)
	}
}

// Endpoint returns the name of the endpoint.
func (p *permit) Endpoint() string { return p.name }

// Client returns the client of the endpoint.
func (p *permit) Client() *endpoint.Client { return p.client }

// Done ends the attempt.
func (p *permit) Done(result *endpoint.Result) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	spent := now.Sub(p.started)
	served, outcome := judge(result)
	d.pool.Done(now, p.name, served, spent)
	if result != nil && result.Draining() {
		d.pool.SetDraining(p.name, true)
	}
	if !p.hedge || outcome == admission.OutcomeServed {
		p.queues.Done(now, p.ticket, outcome, spent)
	}
	d.run(now)
}

func judge(result *endpoint.Result) (balance.Result, admission.Outcome) {
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

// Retry asks for another attempt and waits for it.
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
	p.decided = false
	p.name, p.client = "", nil
	d.waiting++
	d.run(now)
	return p.await(ctx)
}

// retry takes an endpoint at once: the request has waited in the queue already.
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

// RetryAfter returns the time after which the request would probably be admitted.
func (p *permit) RetryAfter() time.Duration {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.queues.RetryAfter(time.Now(), p.ticket.Class())
}

// HedgeAt returns when a second attempt may be made beside this one.
func (p *permit) HedgeAt() (time.Time, bool) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.queues.HedgeAt(p.ticket)
}

// Hedge returns a permit for a second attempt at another endpoint.
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
	// The pool returns a tried endpoint if no other is available.
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
