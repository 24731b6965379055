package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnknownClass means that the service declares no class of that name.
var ErrUnknownClass = eris.New("unknown class")

const (
	// guaranteedTurn is the dispatch that goes to a lower class whose requests
	// wait: every 16th, so that no class is starved indefinitely.
	guaranteedTurn = 16
	// lowestMargin is the factor on the estimated wait of the lowest class. Its
	// rate is what the other classes and proxies leave, and varies over seconds.
	// Without the factor, more than 10% of its refusals at twice the capacity
	// came after a wait of nearly the whole deadline.
	lowestMargin = 2
	// maxDeferrals bounds how often a request returns to its queue after a
	// declared shed.
	maxDeferrals = 16
	// minRetryAfter is the smallest Retry-After; the header has whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds Retry-After, since the estimate changes by then.
	maxRetryAfter = 30 * time.Second
)

// Reason says why a request was refused or given up.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonDeadline: the deadline cannot be met at the current service rate.
	ReasonDeadline
	// ReasonQueueFull: the queue of the class, or the total, is full.
	ReasonQueueFull
	// ReasonDisplaced: a request of a higher class took the place.
	ReasonDisplaced
)

// String returns the name of the reason, as used in metrics.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "deadline"
	case ReasonQueueFull:
		return "queueFull"
	case ReasonDisplaced:
		return "displaced"
	default:
		return "none"
	}
}

// Dropped is a request that was given up while waiting. The proxy answers it at
// once; it was not run.
type Dropped struct {
	ticket     *Ticket
	reason     Reason
	retryAfter time.Duration
}

// Ticket returns the request.
func (g Dropped) Ticket() *Ticket { return g.ticket }

// Reason returns why it was given up.
func (g Dropped) Reason() Reason { return g.reason }

// RetryAfter returns the time after which the caller may send it again, in whole
// seconds.
func (g Dropped) RetryAfter() time.Duration { return g.retryAfter }

// Decision is the result of Admit.
type Decision struct {
	ticket     *Ticket
	reason     Reason
	retryAfter time.Duration
	displaced  []Dropped
}

// Admitted reports whether the request waits in its queue.
func (d Decision) Admitted() bool { return d.ticket != nil }

// Ticket returns the admitted request, or nil.
func (d Decision) Ticket() *Ticket { return d.ticket }

// Reason returns why the request was refused.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns the time after which a refused caller may send the request
// again, in whole seconds.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Displaced returns waiting requests of lower classes that were given up to make
// room.
func (d Decision) Displaced() []Dropped { return d.displaced }

// Controller holds the queues of one service in one proxy.
type Controller struct {
	queues     []*queue // highest priority first
	byName     map[string]*queue
	totalLimit int
	waiting    int
	drain      drain
	budget     budget
	random     *rand.Rand
}

// Option changes a Controller under construction.
type Option func(*Controller)

// WithTotalLimit bounds the waiting requests of all classes together. When it is
// reached, a request of a higher class displaces the newest of the lowest class.
func WithTotalLimit(limit int) Option {
	return func(c *Controller) { c.totalLimit = limit }
}

// WithRetryBudget sets the number of retries and hedges in percent of requests;
// the default is 10.
func WithRetryBudget(percent int) Option {
	return func(c *Controller) { c.budget.perRequest = float64(percent) / 100 }
}

// New returns a controller for the classes. The random source spreads Retry-After.
func New(random *rand.Rand, classes []Class, options ...Option) *Controller {
	c := &Controller{
		byName: make(map[string]*queue, len(classes)),
		budget: budget{perRequest: defaultBudgetPercent / 100.0},
		random: random,
	}
	for _, class := range classes {
		q := &queue{class: class}
		c.queues = append(c.queues, q)
		c.byName[class.name] = q
		c.totalLimit += class.queueLimit
	}
	slices.SortStableFunc(c.queues, func(a, b *queue) int {
		return cmp.Compare(b.class.priority, a.class.priority)
	})
	for _, o := range options {
		o(c)
	}
	return c
}

// Admit decides about an arriving request. A callerDeadline that is not zero
// shortens the deadline of the class. The error is ErrUnknownClass or nil.
func (c *Controller) Admit(now time.Time, class string, callerDeadline time.Time, value any) (Decision, error) {
	q, ok := c.byName[class]
	if !ok {
		return Decision{}, eris.Wrapf(ErrUnknownClass, "class %q", class)
	}
	deadline := now.Add(q.class.deadline)
	if !callerDeadline.IsZero() && callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	if late := c.late(now, q, deadline); late > 0 {
		return Decision{reason: ReasonDeadline, retryAfter: c.retryAfter(late)}, nil
	}
	if len(q.waiting) >= q.class.queueLimit {
		return Decision{reason: ReasonQueueFull, retryAfter: c.retryAfter(c.wait(now, q))}, nil
	}
	var displaced []Dropped
	if c.waiting >= c.totalLimit {
		victim := c.victim(q)
		if victim == nil {
			return Decision{reason: ReasonQueueFull, retryAfter: c.retryAfter(c.wait(now, q))}, nil
		}
		displaced = append(displaced, c.giveUp(now, victim, ReasonDisplaced))
	}
	c.budget.earn()
	t := &Ticket{queue: q, arrived: now, deadline: deadline, value: value}
	c.enqueue(now, t, false)
	return Decision{ticket: t, displaced: displaced}, nil
}

// Next returns the request to run now. Call it only when an endpoint has room.
func (c *Controller) Next(now time.Time) (*Ticket, bool) {
	q := c.turn()
	if q == nil {
		return nil, false
	}
	t := q.pop(now)
	c.waiting--
	c.drain.dispatched(now)
	t.state = StateRunning
	t.dispatched = now
	return t, true
}

// turn selects the class of the next request: the highest that waits, unless a
// lower one is due.
func (c *Controller) turn() *queue {
	var chosen *queue
	for _, q := range c.queues {
		if len(q.waiting) == 0 {
			q.passed = 0
			continue
		}
		if chosen == nil || q.passed >= guaranteedTurn-1 {
			chosen = q
		}
	}
	for _, q := range c.queues {
		if len(q.waiting) > 0 {
			q.passed++
		}
	}
	if chosen != nil {
		chosen.passed = 0
	}
	return chosen
}

// Outcome is the end of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeServed: the endpoint gave a complete response.
	OutcomeServed Outcome = iota + 1
	// OutcomeShed: the endpoint declared that it did not run the request.
	OutcomeShed
	// OutcomeFailed: anything else.
	OutcomeFailed
)

// Done records the end of an attempt of a running request and its service time.
// The request itself ends with it, unless Requeue puts it back into its queue or
// the proxy goes on with a retry.
func (c *Controller) Done(_ time.Time, t *Ticket, outcome Outcome, service time.Duration) {
	c.budget.observe(outcome == OutcomeShed)
	if outcome == OutcomeServed {
		t.queue.latency.add(service)
	}
	if t.state == StateRunning {
		t.state = StateEnded
	}
}

// Requeue puts a request that an endpoint declared as not run back to the front of
// its queue, where it waits for room like any other. That is not a retry: it
// adds no load beyond the concurrency limits. It returns false if the deadline
// cannot be met or the request was requeued too often; the proxy then answers it
// with the time that RetryAfter returns.
func (c *Controller) Requeue(now time.Time, t *Ticket) bool {
	if t.state == StateWaiting || t.deferrals >= maxDeferrals {
		return false
	}
	if now.Add(t.queue.need()).After(t.deadline) {
		return false
	}
	t.deferrals++
	c.enqueue(now, t, true)
	return true
}

// Cancel removes a waiting request whose caller has gone away.
func (c *Controller) Cancel(t *Ticket) {
	if t.state == StateWaiting && t.queue.remove(t) {
		c.waiting--
	}
	t.state = StateEnded
}

// Expire gives up the waiting requests that can no longer meet their deadlines,
// because it passed or because less than the 95th percentile of the service time remains.
func (c *Controller) Expire(now time.Time) []Dropped {
	var expired []Dropped
	for _, q := range c.queues {
		for at := 0; at < len(q.waiting); {
			t := q.waiting[at]
			if now.Add(q.need()).Before(t.deadline) {
				at++
				continue
			}
			expired = append(expired, c.giveUp(now, t, ReasonDeadline))
		}
	}
	return expired
}

// NextExpiry returns the time at which Expire next has something to do, and
// false if nothing waits.
func (c *Controller) NextExpiry() (time.Time, bool) {
	var earliest time.Time
	for _, q := range c.queues {
		for _, t := range q.waiting {
			at := t.deadline.Add(-q.need())
			if earliest.IsZero() || at.Before(earliest) {
				earliest = at
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// Retry charges a second attempt of a repeatable request to the retry budget and
// reports whether it may be made.
func (c *Controller) Retry(now time.Time, t *Ticket) bool {
	if !t.queue.class.repeatable || now.Add(t.queue.need()).After(t.deadline) {
		return false
	}
	if !c.budget.spend(now) {
		return false
	}
	t.state = StateRunning
	return true
}

// HedgeAt returns when a running request may get a second attempt: after the p95
// service time of its class. It returns false if the class is not hedged or
// too few responses were seen.
func (c *Controller) HedgeAt(t *Ticket) (time.Time, bool) {
	class := t.queue.class
	if !class.hedge || !class.repeatable || t.hedged || t.queue.latency.p95 == 0 {
		return time.Time{}, false
	}
	return t.dispatched.Add(t.queue.latency.p95), true
}

// Hedge charges a hedged attempt to the retry budget and reports whether it may
// be made now. A request gets at most one.
func (c *Controller) Hedge(now time.Time, t *Ticket) bool {
	at, ok := c.HedgeAt(t)
	if !ok || now.Before(at) || t.state != StateRunning || !c.budget.spend(now) {
		return false
	}
	t.hedged = true
	return true
}

// SetShedRatio records the share of attempts that endpoints shed in the fleet's
// evidence. It counts until the time until; after that the proxy's own share does.
func (c *Controller) SetShedRatio(ratio float64, until time.Time) {
	c.budget.fleetShed = ratio
	c.budget.fleetUntil = until
}

// Waiting returns the number of waiting requests of a class.
func (c *Controller) Waiting(class string) int {
	if q, ok := c.byName[class]; ok {
		return len(q.waiting)
	}
	return 0
}

// RetryAfter returns the time after which a request of the class would probably
// be admitted, in whole seconds.
func (c *Controller) RetryAfter(now time.Time, class string) time.Duration {
	q, ok := c.byName[class]
	if !ok {
		return minRetryAfter
	}
	return c.retryAfter(c.wait(now, q))
}

func (c *Controller) enqueue(now time.Time, t *Ticket, front bool) {
	if c.waiting == 0 {
		c.drain.restart(now)
	}
	c.waiting++
	if front {
		t.queue.pushFront(now, t)
		return
	}
	t.queue.push(now, t)
}

func (c *Controller) giveUp(now time.Time, t *Ticket, reason Reason) Dropped {
	if t.queue.remove(t) {
		c.waiting--
	}
	t.state = StateEnded
	return Dropped{ticket: t, reason: reason, retryAfter: c.retryAfter(c.wait(now, t.queue))}
}

// victim returns the newest waiting request of the lowest class below q.
func (c *Controller) victim(q *queue) *Ticket {
	for _, lower := range slices.Backward(c.queues) {
		if lower.class.priority >= q.class.priority {
			return nil
		}
		if len(lower.waiting) > 0 {
			return lower.waiting[len(lower.waiting)-1]
		}
	}
	return nil
}

// wait estimates how long a request that joins q now waits: the time its own
// class needs at its own rate, and at least the time that the waiting requests
// of its and higher classes need at the common rate.
func (c *Controller) wait(now time.Time, q *queue) time.Duration {
	if c.waiting == 0 {
		return 0
	}
	ahead := 0
	for _, other := range c.queues {
		if other.class.priority >= q.class.priority {
			ahead += len(other.waiting)
		}
	}
	var own time.Duration
	if len(q.waiting) > 0 {
		own = q.drain.wait(now, len(q.waiting))
	}
	return max(own, c.drain.wait(now, ahead))
}

// late returns by how much a request that joins q now would miss its deadline.
func (c *Controller) late(now time.Time, q *queue, deadline time.Time) time.Duration {
	wait := c.wait(now, q)
	if len(c.queues) > 1 && q == c.queues[len(c.queues)-1] {
		wait *= lowestMargin
	}
	finish := now.Add(wait + q.need())
	return max(0, finish.Sub(deadline))
}

// retryAfter rounds a time up to whole seconds and adds up to half of it, so that
// refused callers do not return together.
func (c *Controller) retryAfter(after time.Duration) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after += time.Duration(c.random.Float64() * 0.5 * float64(after))
	return (after + time.Second - 1).Truncate(time.Second)
}
