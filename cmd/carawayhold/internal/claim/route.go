package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// execute tries an operation at each candidate until one returns no error: the
// home proxy of the partition, then this process in case the home proxy is
// unreachable, then the proxy with the next rendezvous weight in case this
// process cannot reach the platform either.
func (c *Coordinator) execute(ctx context.Context, partition partitionKey, o operation) reply {
	var last reply
	tried := false
	for _, incarnation := range c.candidates(partition) {
		if ctx.Err() != nil {
			break
		}
		r := c.executeAt(ctx, incarnation, partition, o)
		if r.err == nil {
			return r
		}
		r.notRun = r.notRun || last.notRun
		r.inDoubt = r.inDoubt || last.inDoubt
		last = r
		tried = true
	}
	if !tried {
		last.err = context.Cause(ctx)
	}
	return last
}

// candidates returns the home proxy, this process and the proxy with the next
// rendezvous weight. It omits duplicates and proxies that recently failed to reply.
func (c *Coordinator) candidates(partition partitionKey) []string {
	self := c.peers.Self()
	homes := c.peers.Homes(partition.object(), homeCount)
	var route []string
	if len(homes) > 0 && homes[0] != self && !c.isAvoided(homes[0]) {
		route = append(route, homes[0])
	}
	route = append(route, self)
	for _, h := range homes[min(1, len(homes)):] {
		if h != self && !c.isAvoided(h) {
			route = append(route, h)
		}
	}
	return route
}

func (c *Coordinator) executeAt(ctx context.Context, incarnation string, partition partitionKey, o operation) reply {
	if incarnation == c.peers.Self() {
		return c.submit(ctx, partition, o)
	}
	timeout := min(homeTimeout, remaining(ctx)/2)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if o.settlement != nil {
		return c.settleAt(ctx, incarnation, partition, o)
	}
	call := claimCall{
		Service:         partition.service,
		Partitions:      partition.partitions,
		Request:         *o.claim,
		RemainingMillis: timeout.Milliseconds(),
	}
	var response claimReply
	if err := c.call(ctx, incarnation, TopicClaim, &call, &response); err != nil {
		c.avoid(incarnation)
		return reply{err: err, inDoubt: true}
	}
	return reply{
		decision: response.Decision,
		notRun:   response.NotRun,
		inDoubt:  response.InDoubt,
		err:      errorOf(response.Problem),
	}
}

func (c *Coordinator) settleAt(ctx context.Context, incarnation string, partition partitionKey, o operation) reply {
	call := settleCall{
		Service:         partition.service,
		Partitions:      partition.partitions,
		Settlement:      *o.settlement,
		RemainingMillis: remaining(ctx).Milliseconds(),
	}
	var response settleReply
	if err := c.call(ctx, incarnation, TopicSettle, &call, &response); err != nil {
		c.avoid(incarnation)
		return reply{err: err}
	}
	return reply{settled: response.Result, err: errorOf(response.Problem)}
}

func (c *Coordinator) call(ctx context.Context, incarnation, topic string, call, response any) error {
	payload, err := msgpack.Marshal(call)
	if err != nil {
		return eris.Wrapf(err, "once: cannot encode %s", topic)
	}
	received, err := c.peers.Request(ctx, incarnation, topic, payload)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s to %s: %v", topic, incarnation, err)
	}
	if err := peer.Decode(received, response); err != nil {
		return eris.Wrapf(ErrUnavailable, "%s to %s: bad reply: %v", topic, incarnation, err)
	}
	return nil
}

// submit queues an operation at this process's batcher for the partition and
// waits for the reply.
func (c *Coordinator) submit(ctx context.Context, partition partitionKey, o operation) reply {
	o.ctx = ctx
	o.reply = make(chan reply, 1)
	if err := c.enqueue(partition, &o); err != nil {
		return reply{err: err}
	}
	// The batcher replies to every operation, since platform calls have a timeout,
	// and at the latest when the context of Run ends. The caller's deadline may be
	// earlier.
	select {
	case r := <-o.reply:
		return r
	case <-ctx.Done():
		return reply{err: ctx.Err(), inDoubt: true}
	}
}

func (c *Coordinator) enqueue(partition partitionKey, o *operation) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		return ErrStopped
	}
	b := c.batchers[partition]
	if b == nil {
		b = &batcher{coordinator: c, key: partition, queue: make(chan *operation, maxQueue)}
		c.batchers[partition] = b
		ctx := c.ctx
		c.running.Go(func() { b.run(ctx) })
	}
	select {
	case b.queue <- o:
		return nil
	default:
		return ErrOverloaded
	}
}

// removeIdle removes a batcher and returns true, unless an operation is queued.
func (c *Coordinator) removeIdle(b *batcher) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b.queue) > 0 {
		return false
	}
	delete(c.batchers, b.key)
	return true
}

// resubmit queries the process that holds the key's claim, and returns how the
// submission continues. While that claim is in progress, the query waits for up
// to maxQueryWait.
func (c *Coordinator) resubmit(ctx context.Context, t *Ticket, d once.Decision) (once.Step, once.Verdict) {
	response := c.query(ctx, d, maxQueryWait)
	t.mu.Lock()
	defer t.mu.Unlock()
	step, verdict := t.claim.Resubmit(response, ctx.Err() != nil)
	t.closeDone()
	return step, verdict
}

func (c *Coordinator) query(ctx context.Context, d once.Decision, wait time.Duration) once.ClaimantReply {
	wait = min(wait, remaining(ctx))
	if d.Claimant == c.peers.Self() {
		return c.awaitClaim(ctx, d.Claim, wait)
	}
	call := queryCall{Claim: d.Claim, Claimant: d.Claimant, WaitMillis: wait.Milliseconds()}
	ctx, cancel := context.WithTimeout(ctx, wait+queryReplyTimeout)
	defer cancel()
	var response queryReply
	if err := c.call(ctx, d.Claimant, TopicQuery, &call, &response); err != nil {
		return once.ClaimantReply{State: once.ClaimantUnreachable}
	}
	return response.Reply
}

func (c *Coordinator) awaitClaim(ctx context.Context, id once.ClaimID, wait time.Duration) once.ClaimantReply {
	t := c.ticket(id)
	if t == nil {
		return once.NewClaimantReply(nil)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.report()
}

func (c *Coordinator) isAvoided(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.avoidedUntil[incarnation]
	if ok && time.Now().After(until) {
		delete(c.avoidedUntil, incarnation)
		return false
	}
	return ok
}

func (c *Coordinator) avoid(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidedUntil[incarnation] = time.Now().Add(avoidDuration)
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultDeadline
	}
	return max(time.Until(deadline), 0)
}
