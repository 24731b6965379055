package admission

import (
	"slices"
	"time"
)

// gapWeight is the weight of a new gap in the moving average of the time between
// dispatches; about the last 16 dispatches count.
const gapWeight = 1.0 / 16

// queue holds the waiting requests of one class, oldest first.
type queue struct {
	class   Class
	waiting []*Ticket
	drain   drain
	latency latencies
	// passed counts the dispatches of other classes since this class had its last
	// turn, while requests of it wait.
	passed int
}

func (q *queue) push(now time.Time, t *Ticket) {
	if len(q.waiting) == 0 {
		q.drain.restart(now)
	}
	t.state = StateWaiting
	t.queued = now
	q.waiting = append(q.waiting, t)
}

func (q *queue) pushFront(now time.Time, t *Ticket) {
	if len(q.waiting) == 0 {
		q.drain.restart(now)
	}
	t.state = StateWaiting
	t.queued = now
	q.waiting = slices.Insert(q.waiting, 0, t)
}

func (q *queue) pop(now time.Time) *Ticket {
	t := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	q.drain.dispatched(now)
	return t
}

func (q *queue) remove(t *Ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// need returns the time to set aside for an attempt: the 95th percentile, or the
// mean of the first samples. With the mean alone, 1.6% of the lowest class ended
// after their deadline at twice the capacity. It is at most half of the deadline
// of the class: after a stall the samples may exceed the whole deadline, and a
// class of which nothing is admitted would never get newer ones.
func (q *queue) need() time.Duration {
	return min(max(q.latency.mean, q.latency.p95), q.class.deadline/2)
}

// drain estimates the time between two dispatches while requests wait.
type drain struct {
	gap  time.Duration
	last time.Time
}

// restart begins a period in which requests wait.
func (d *drain) restart(now time.Time) { d.last = now }

func (d *drain) dispatched(now time.Time) {
	gap := max(0, now.Sub(d.last))
	d.last = now
	if d.gap == 0 {
		d.gap = gap
		return
	}
	d.gap += time.Duration(gapWeight * float64(gap-d.gap))
}

// wait returns the expected time until the request at position (0 is the front)
// is dispatched. A stall counts from its beginning: the time since the last
// dispatch replaces the average once it is longer.
func (d *drain) wait(now time.Time, position int) time.Duration {
	current := max(d.gap, now.Sub(d.last))
	return time.Duration(position)*d.gap + current
}
