package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/once"
)

const (
	// settleParallel bounds the settlements in progress. Each takes up to
	// settleLinger plus maxWriteDelay, so 1024 record about 2,900 a second.
	settleParallel = 1024
	// settleTimeout bounds one attempt to record an outcome.
	settleTimeout = 5 * time.Second
	// retryInterval is the initial interval between retries of unrecorded outcomes.
	// It doubles while none can be recorded.
	retryInterval = 500 * time.Millisecond
	// maxRetryInterval bounds the retry interval. In a proxy without other platform
	// calls, outcomes stay unrecorded for up to this time after an outage; a
	// shorter interval would add load during the outage.
	maxRetryInterval = 30 * time.Second
	// retryProbes is the number of outcomes per retry while none can be recorded.
	retryProbes = 1
)

// settleInBackground queues the outcome of an ended claim to be recorded. If the
// queue is full, retryLoop queues the ticket later.
func (c *Coordinator) settleInBackground(t *Ticket) {
	t.mu.Lock()
	_, ended := t.claim.Settlement(t.retention, t.claimedAt)
	t.mu.Unlock()
	if !ended {
		return
	}
	c.mu.Lock()
	c.tickets[t.claim.ID()] = t
	c.unsettled[t.claim.ID()] = t
	c.mu.Unlock()
	select {
	case c.retryWake <- struct{}{}:
	default:
	}
	c.enqueueSettlement(t)
}

func (c *Coordinator) enqueueSettlement(t *Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queued {
		return
	}
	select {
	case c.settleQueue <- t:
		t.queued = true
	default:
	}
}

// settleLoop records queued outcomes in up to settleParallel goroutines.
func (c *Coordinator) settleLoop(ctx context.Context) {
	slots := make(chan struct{}, settleParallel)
	for {
		var t *Ticket
		select {
		case <-ctx.Done():
			return
		case t = <-c.settleQueue:
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		c.running.Go(func() {
			defer func() { <-slots }()
			c.record(ctx, t)
		})
	}
}

// record executes the settlement of a ticket and, if that succeeds, forgets the
// ticket.
func (c *Coordinator) record(ctx context.Context, t *Ticket) {
	t.mu.Lock()
	settlement, _ := t.claim.Settlement(t.retention, t.claimedAt)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r := c.execute(ctx, t.partition, operation{settlement: &settlement})
	t.mu.Lock()
	t.queued = false
	now, _ := t.claim.Settlement(t.retention, t.claimedAt)
	t.mu.Unlock()
	c.recordFailing.Store(r.err != nil)
	if r.err != nil {
		c.log.Debug("once: outcome not recorded yet", zap.Stringer("key", settlement.Key), zap.Error(r.err))
		return
	}
	if now.State != settlement.State {
		// A late response arrived while the outcome unknown was being recorded.
		c.enqueueSettlement(t)
		return
	}
	if r.settled == once.SettleSuperseded && settlement.State != once.StateReleased {
		c.stats.superseded.Add(1)
	}
	c.forget(t)
}

// retryLoop retries unrecorded outcomes with exponential backoff. While there are
// none, it waits for retryWake.
func (c *Coordinator) retryLoop(ctx context.Context) {
	interval := retryInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		wake := c.retryWake
		if c.Unsettled() > 0 {
			wake = nil
			timer.Reset(interval)
		} else {
			interval = retryInterval
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-c.recovered:
			c.retryUnsettled()
			interval = retryInterval
		case <-timer.C:
			c.retryUnsettled()
			interval = min(2*interval, maxRetryInterval)
			if !c.recordFailing.Load() {
				interval = retryInterval
			}
		}
	}
}

func (c *Coordinator) retryUnsettled() {
	limit := maxUnsettled
	if c.recordFailing.Load() {
		limit = retryProbes
	}
	c.mu.Lock()
	var waiting []*Ticket
	for _, t := range c.unsettled {
		if len(waiting) == limit {
			break
		}
		waiting = append(waiting, t)
	}
	c.mu.Unlock()
	for _, t := range waiting {
		c.enqueueSettlement(t)
	}
}

// Flush waits until all outcomes are recorded. It returns the error of ctx if that
// ends first.
func (c *Coordinator) Flush(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.Unsettled() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
