package admission

import (
	"slices"
	"time"
)

// intervalWeight is the weight of a new interval in the moving average of the time
// between dispatches: it covers about the last 16 dispatches.
const intervalWeight = 1.0 / 16

// queue holds the waiting requests of one class, oldest first.
type queue struct {
	class        Class
	waiting      []*Ticket
	rate         dispatchRate
	serviceTimes serviceTimes
	// turnsSkipped counts the dispatches from other classes since the last one from
	// this class, while it has waiting requests.
	turnsSkipped int
}

func (q *queue) push(now time.Time, t *Ticket) {
	if len(q.waiting) == 0 {
		q.rate.restart(now)
	}
	t.state = StateWaiting
	t.queued = now
	q.waiting = append(q.waiting, t)
}

func (q *queue) pushFront(now time.Time, t *Ticket) {
	if len(q.waiting) == 0 {
		q.rate.restart(now)
	}
	t.state = StateWaiting
	t.queued = now
	q.waiting = slices.Insert(q.waiting, 0, t)
}

func (q *queue) pop(now time.Time) *Ticket {
	t := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	q.rate.dispatched(now)
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

// attemptTime returns the time to reserve for an attempt: the 95th percentile of the
// service time, or the mean if it is higher or until there is a percentile. With the
// mean alone, 1.6% of the lowest class ended after their deadline at twice the
// capacity. The result is at most half of the deadline of the class: after a stall the
// samples may exceed the whole deadline, and a class that admits no request would
// never get newer ones.
func (q *queue) attemptTime() time.Duration {
	return min(max(q.serviceTimes.mean, q.serviceTimes.p95), q.class.deadline/2)
}

// dispatchRate estimates the dispatch rate, as the time between two dispatches while
// requests wait.
type dispatchRate struct {
	interval     time.Duration
	lastDispatch time.Time
}

// restart starts a new period in which requests wait.
func (d *dispatchRate) restart(now time.Time) { d.lastDispatch = now }

func (d *dispatchRate) dispatched(now time.Time) {
	elapsed := max(0, now.Sub(d.lastDispatch))
	d.lastDispatch = now
	if d.interval == 0 {
		d.interval = elapsed
		return
	}
	d.interval += time.Duration(intervalWeight * float64(elapsed-d.interval))
}

// wait returns the expected time until the request at position (0 is the front) is
// dispatched. It reacts to a stall at once: the time since the last dispatch
// replaces the average as soon as it is longer.
func (d *dispatchRate) wait(now time.Time, position int) time.Duration {
	current := max(d.interval, now.Sub(d.lastDispatch))
	return time.Duration(position)*d.interval + current
}
