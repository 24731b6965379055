package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/once"
)

// decide has an operation decided: by the home proxy of the partition, by this
// process if the home proxy cannot be reached, and by the next proxy in line if
// this process cannot reach the platform either.
func (c *Coordinator) decide(ctx context.Context, partition partitionKey, o operation) reply {
	var last reply
	tried := false
	for _, incarnation := range c.route(partition) {
		if ctx.Err() != nil {
			break
		}
		r := c.decideAt(ctx, incarnation, partition, o)
		if r.err == nil {
			return r
		}
		r.neverRan = r.neverRan || last.neverRan
		r.inDoubt = r.inDoubt || last.inDoubt
		last = r
		tried = true
	}
	if !tried {
		last.err = context.Cause(ctx)
	}
	return last
}

// route returns the home, this process and the next proxy in line, without duplicates.
func (c *Coordinator) route(partition partitionKey) []string {
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

func (c *Coordinator) decideAt(ctx context.Context, incarnation string, partition partitionKey, o operation) reply {
	if incarnation == c.peers.Self() {
		return c.submit(ctx, partition, o)
	}
	timeout := min(homeTimeout, remaining(ctx)/2)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if o.settlement != nil {
		return c.settleAt(ctx, incarnation, partition, o)
	}
	call := GrantCall{
		Service:         partition.service,
		Partitions:      partition.partitions,
		Request:         *o.claim,
		RemainingMillis: timeout.Milliseconds(),
	}
	var answer GrantReply
	if err := c.call(ctx, incarnation, TopicClaim, &call, &answer); err != nil {
		c.avoidFor(incarnation)
		return reply{err: err, inDoubt: true}
	}
	return reply{
		decision: answer.Decision,
		neverRan: answer.NotRun,
		inDoubt:  answer.InDoubt,
		err:      errorOf(answer.Problem),
	}
}

func (c *Coordinator) settleAt(ctx context.Context, incarnation string, partition partitionKey, o operation) reply {
	call := SettleCall{
		Service:         partition.service,
		Partitions:      partition.partitions,
		Settlement:      *o.settlement,
		RemainingMillis: remaining(ctx).Milliseconds(),
	}
	var answer SettleReply
	if err := c.call(ctx, incarnation, TopicSettle, &call, &answer); err != nil {
		c.avoidFor(incarnation)
		return reply{err: err}
	}
	return reply{settled: answer.Result, err: errorOf(answer.Problem)}
}

func (c *Coordinator) call(ctx context.Context, incarnation, topic string, call, answer any) error {
	payload, err := msgpack.Marshal(call)
	if err != nil {
		return eris.Wrapf(err, "once: cannot encode %s", topic)
	}
	received, err := c.peers.Request(ctx, incarnation, topic, payload)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s to %s: %v", topic, incarnation, err)
	}
	if err := msgpack.Unmarshal(received, answer); err != nil {
		return eris.Wrapf(ErrUnavailable, "%s to %s: bad reply: %v", topic, incarnation, err)
	}
	return nil
}

// submit hands an operation to this process's batcher and waits for its reply.
func (c *Coordinator) submit(ctx context.Context, partition partitionKey, o operation) reply {
	o.ctx = ctx
	o.reply = make(chan reply, 1)
	if err := c.enqueue(partition, &o); err != nil {
		return reply{err: err}
	}
	// The batcher replies to every operation at the latest when the context of
	// Run ends, and platform calls are bounded; but the caller waits no longer
	// than its deadline.
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

// removeIdle ends a batcher unless an operation arrived in the meantime.
func (c *Coordinator) removeIdle(b *batcher) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b.queue) > 0 {
		return false
	}
	delete(c.batchers, b.key)
	return true
}

// askClaimant asks the claimant of the record that holds the key, and waits
// while it is still running.
func (c *Coordinator) askClaimant(ctx context.Context, t *Ticket, d once.Decision) (once.Step, once.Verdict) {
	answer := c.query(ctx, d, queryWait)
	t.mu.Lock()
	defer t.mu.Unlock()
	step, verdict := t.claim.Resubmit(answer, ctx.Err() != nil)
	t.closeEnded()
	return step, verdict
}

func (c *Coordinator) query(ctx context.Context, d once.Decision, wait time.Duration) once.ClaimantReply {
	wait = min(wait, remaining(ctx))
	if d.Claimant == c.peers.Self() {
		return c.answerQuery(ctx, d.Claim, wait)
	}
	call := QueryCall{Claim: d.Claim, Claimant: d.Claimant, WaitMillis: wait.Milliseconds()}
	ctx, cancel := context.WithTimeout(ctx, wait+queryReply)
	defer cancel()
	var answer QueryReply
	if err := c.call(ctx, d.Claimant, TopicQuery, &call, &answer); err != nil {
		return once.ClaimantReply{State: once.ClaimantUnreachable}
	}
	return answer.Reply
}

func (c *Coordinator) answerQuery(ctx context.Context, id once.ClaimID, wait time.Duration) once.ClaimantReply {
	t := c.ticket(id)
	if t == nil {
		return once.Report(nil)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.report()
}

func (c *Coordinator) isAvoided(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.avoid[incarnation]
	if ok && time.Now().After(until) {
		delete(c.avoid, incarnation)
		return false
	}
	return ok
}

func (c *Coordinator) avoidFor(incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[incarnation] = time.Now().Add(avoidHome)
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultDeadline
	}
	return max(time.Until(deadline), 0)
}
