package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/once"
)

const (
	// settleParallel is the number of outcomes recorded at the same time. One
	// waits up to settleLinger and maxPace, so 1024 record about 2,900 a second.
	settleParallel = 1024
	// settleTimeout bounds one try to record an outcome.
	settleTimeout = 5 * time.Second
	// sweepInterval is how often outcomes that could not be recorded are tried again.
	sweepInterval = 500 * time.Millisecond
	// maxSweepInterval bounds how long an outcome stays unrecorded after an
	// outage in a proxy that makes no other platform call, and the load of the
	// tries during it.
	maxSweepInterval = 30 * time.Second
	// sweepProbes is the number of outcomes tried per sweep while none can be
	// recorded.
	sweepProbes = 1
)

// queueSettlement records the outcome of an ended claim in the background. If
// the queue is full, the next sweep finds the ticket.
func (c *Coordinator) queueSettlement(t *Ticket) {
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
	case c.sweepWake <- struct{}{}:
	default:
	}
	c.push(t)
}

func (c *Coordinator) push(t *Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queued {
		return
	}
	select {
	case c.settleNext <- t:
		t.queued = true
	default:
	}
}

// settleLoop starts the recording of queued outcomes.
func (c *Coordinator) settleLoop(ctx context.Context) {
	slots := make(chan struct{}, settleParallel)
	for {
		var t *Ticket
		select {
		case <-ctx.Done():
			return
		case t = <-c.settleNext:
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

// record writes the outcome of a ticket and forgets the ticket if the record
// shows it.
func (c *Coordinator) record(ctx context.Context, t *Ticket) {
	t.mu.Lock()
	settlement, _ := t.claim.Settlement(t.retention, t.claimedAt)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r := c.decide(ctx, t.partition, operation{settlement: &settlement})
	t.mu.Lock()
	t.queued = false
	now, _ := t.claim.Settlement(t.retention, t.claimedAt)
	t.mu.Unlock()
	c.cannotRecord.Store(r.err != nil)
	if r.err != nil {
		c.log.Debug("once: outcome not recorded yet", zap.Stringer("key", settlement.Key), zap.Error(r.err))
		return
	}
	if now.State != settlement.State {
		// A late answer arrived while unknown was being recorded.
		c.push(t)
		return
	}
	if r.settled == once.SettleSuperseded && settlement.State != once.StateReleased {
		c.stats.superseded.Add(1)
	}
	c.forget(t)
}

// sweepLoop tries outcomes again that could not be recorded, less often the
// longer none can be recorded. It sleeps while there are none.
func (c *Coordinator) sweepLoop(ctx context.Context) {
	interval := sweepInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		wake := c.sweepWake
		if c.Unsettled() > 0 {
			wake = nil
			timer.Reset(interval)
		} else {
			interval = sweepInterval
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-c.recovered:
			c.sweep()
			interval = sweepInterval
		case <-timer.C:
			c.sweep()
			interval = min(2*interval, maxSweepInterval)
			if !c.cannotRecord.Load() {
				interval = sweepInterval
			}
		}
	}
}

func (c *Coordinator) sweep() {
	limit := maxUnsettled
	if c.cannotRecord.Load() {
		limit = sweepProbes
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
		c.push(t)
	}
}

// Flush waits until every outcome is recorded, or the context ends.
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
