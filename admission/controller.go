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
	// Each class with waiting requests gets at least one of guaranteedTurnInterval
	// dispatches, so that no class starves.
	guaranteedTurnInterval = 16
	// lowestClassWaitFactor multiplies the estimated wait of the lowest class. Its
	// dispatch rate is what the other classes and proxies leave, and varies within
	// seconds. Without the factor, more than 10% of its refusals at twice the
	// capacity came after a wait of nearly the whole deadline.
	lowestClassWaitFactor = 2
	// maxRequeues bounds how often a request returns to its queue after declared
	// sheds.
	maxRequeues = 16
	// minRetryAfter is the smallest Retry-After, which is sent in whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds Retry-After, because the estimate is not valid for
	// longer.
	maxRetryAfter = 30 * time.Second
)

// Reason is why a request was refused or dropped.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonDeadline: the deadline cannot be met at the current dispatch rate.
	ReasonDeadline
	// ReasonQueueFull: the limit of the class, or of all classes together, is reached.
	ReasonQueueFull
	// ReasonDisplaced: a request of a higher class took the place in the queue.
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

// Dropped is a request that was dropped from its queue. No endpoint has run it; the
// proxy responds to the caller at once.
type Dropped struct {
	ticket     *Ticket
	reason     Reason
	retryAfter time.Duration
}

// Ticket returns the request.
func (d Dropped) Ticket() *Ticket { return d.ticket }

// Reason returns why the request was dropped.
func (d Dropped) Reason() Reason { return d.reason }

// RetryAfter returns the time after which the caller may send the request again, in
// whole seconds.
func (d Dropped) RetryAfter() time.Duration { return d.retryAfter }

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

// Displaced returns the waiting requests of lower classes that were dropped to make
// room.
func (d Decision) Displaced() []Dropped { return d.displaced }

// Controller holds the queues and the retry budget of one service in one proxy.
type Controller struct {
	queues     []*queue // highest priority first
	byName     map[string]*queue
	totalLimit int
	waiting    int
	rate       dispatchRate
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

// New returns a controller for the classes. The random source is used to add jitter to
// Retry-After.
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

// Admit queues or refuses an arriving request. A callerDeadline that is not zero can
// shorten the deadline of the class. The error is ErrUnknownClass or nil.
func (c *Controller) Admit(now time.Time, class string, callerDeadline time.Time, value any) (Decision, error) {
	q, ok := c.byName[class]
	if !ok {
		return Decision{}, eris.Wrapf(ErrUnknownClass, "class %q", class)
	}
	deadline := now.Add(q.class.deadline)
	if !callerDeadline.IsZero() && callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	if late := c.lateness(now, q, deadline); late > 0 {
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
		displaced = append(displaced, c.drop(now, victim, ReasonDisplaced))
	}
	c.budget.earn()
	t := &Ticket{queue: q, arrived: now, deadline: deadline, value: value}
	c.enqueue(now, t, false)
	return Decision{ticket: t, displaced: displaced}, nil
}

// Next dequeues the request to run now and returns false if none waits. Call it only
// when an endpoint has capacity.
func (c *Controller) Next(now time.Time) (*Ticket, bool) {
	q := c.nextQueue()
	if q == nil {
		return nil, false
	}
	t := q.pop(now)
	c.waiting--
	c.rate.dispatched(now)
	t.state = StateRunning
	t.dispatched = now
	return t, true
}

// nextQueue selects the queue of the next request: the one of the highest class with
// waiting requests, unless a lower one is due by guaranteedTurnInterval.
func (c *Controller) nextQueue() *queue {
	var chosen *queue
	for _, q := range c.queues {
		if len(q.waiting) == 0 {
			q.turnsSkipped = 0
			continue
		}
		if chosen == nil || q.turnsSkipped >= guaranteedTurnInterval-1 {
			chosen = q
		}
	}
	for _, q := range c.queues {
		if len(q.waiting) > 0 {
			q.turnsSkipped++
		}
	}
	if chosen != nil {
		chosen.turnsSkipped = 0
	}
	return chosen
}

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeServed: the endpoint returned a complete response.
	OutcomeServed Outcome = iota + 1
	// OutcomeShed: the endpoint declared that it did not run the request.
	OutcomeShed
	// OutcomeFailed: anything else.
	OutcomeFailed
)

// Done records the end of an attempt of a running request and its service time. The
// request has then ended as well, unless Requeue puts it back into its queue or
// Retry allows another attempt.
func (c *Controller) Done(_ time.Time, t *Ticket, outcome Outcome, service time.Duration) {
	c.budget.observe(outcome == OutcomeShed)
	if outcome == OutcomeServed {
		t.queue.serviceTimes.add(service)
	}
	if t.state == StateRunning {
		t.state = StateEnded
	}
}

// Requeue puts a request that an endpoint declared as not run back at the front of
// its queue, where it waits for capacity like any other request. This is not a
// retry: it adds no load beyond the concurrency limits. It returns false if the
// deadline cannot be met or the request was requeued too often; the proxy then
// refuses it with the time that RetryAfter returns.
func (c *Controller) Requeue(now time.Time, t *Ticket) bool {
	if t.state == StateWaiting || t.requeues >= maxRequeues {
		return false
	}
	if now.Add(t.queue.attemptTime()).After(t.deadline) {
		return false
	}
	t.requeues++
	c.enqueue(now, t, true)
	return true
}

// Cancel ends a request whose caller has disconnected, and removes it from its queue.
func (c *Controller) Cancel(t *Ticket) {
	if t.state == StateWaiting && t.queue.remove(t) {
		c.waiting--
	}
	t.state = StateEnded
}

// Expire drops the waiting requests that can no longer meet their deadline, because
// it has passed or because the remaining time is shorter than the time to reserve
// for an attempt: usually the 95th percentile of the service time.
func (c *Controller) Expire(now time.Time) []Dropped {
	var expired []Dropped
	for _, q := range c.queues {
		for at := 0; at < len(q.waiting); {
			t := q.waiting[at]
			if now.Add(q.attemptTime()).Before(t.deadline) {
				at++
				continue
			}
			expired = append(expired, c.drop(now, t, ReasonDeadline))
		}
	}
	return expired
}

// NextExpiry returns the earliest time at which Expire drops a request, and false if
// none waits.
func (c *Controller) NextExpiry() (time.Time, bool) {
	var earliest time.Time
	for _, q := range c.queues {
		for _, t := range q.waiting {
			at := t.deadline.Add(-q.attemptTime())
			if earliest.IsZero() || at.Before(earliest) {
				earliest = at
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// Retry charges another attempt of a repeatable request to the retry budget and
// reports whether it may be made.
func (c *Controller) Retry(now time.Time, t *Ticket) bool {
	if !t.queue.class.repeatable || now.Add(t.queue.attemptTime()).After(t.deadline) {
		return false
	}
	if !c.budget.spend(now) {
		return false
	}
	t.state = StateRunning
	return true
}

// HedgeAt returns when a running request may be hedged: after the 95th percentile of
// the service time of its class. It returns false if the class does not allow
// hedges, the request was already hedged, or there are too few samples.
func (c *Controller) HedgeAt(t *Ticket) (time.Time, bool) {
	class := t.queue.class
	if !class.hedge || !class.repeatable || t.hedged || t.queue.serviceTimes.p95 == 0 {
		return time.Time{}, false
	}
	return t.dispatched.Add(t.queue.serviceTimes.p95), true
}

// Hedge charges a hedged attempt to the retry budget and reports whether it may be
// made now. A request gets at most one.
func (c *Controller) Hedge(now time.Time, t *Ticket) bool {
	at, ok := c.HedgeAt(t)
	if !ok || now.Before(at) || t.state != StateRunning || !c.budget.spend(now) {
		return false
	}
	t.hedged = true
	return true
}

// SetShedRatio sets the share of attempts that endpoints shed in the whole fleet. It
// applies before until; afterwards the proxy's own share applies.
func (c *Controller) SetShedRatio(ratio float64, until time.Time) {
	c.budget.fleetShed = ratio
	c.budget.fleetShedUntil = until
}

// Waiting returns the number of waiting requests of a class.
func (c *Controller) Waiting(class string) int {
	if q, ok := c.byName[class]; ok {
		return len(q.waiting)
	}
	return 0
}

// RetryAfter returns the time after which a request of the class would probably be
// admitted, in whole seconds.
func (c *Controller) RetryAfter(now time.Time, class string) time.Duration {
	q, ok := c.byName[class]
	if !ok {
		return minRetryAfter
	}
	return c.retryAfter(c.wait(now, q))
}

func (c *Controller) enqueue(now time.Time, t *Ticket, front bool) {
	if c.waiting == 0 {
		c.rate.restart(now)
	}
	c.waiting++
	if front {
		t.queue.pushFront(now, t)
		return
	}
	t.queue.push(now, t)
}

func (c *Controller) drop(now time.Time, t *Ticket, reason Reason) Dropped {
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

// wait estimates how long a request that joins q now would wait: the time that its
// class needs at its own dispatch rate, and at least the time that the waiting
// requests of its and higher classes need at the common dispatch rate.
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
		own = q.rate.wait(now, len(q.waiting))
	}
	return max(own, c.rate.wait(now, ahead))
}

// lateness returns by how much a request that joins q now would miss its deadline,
// and 0 if it would meet it.
func (c *Controller) lateness(now time.Time, q *queue, deadline time.Time) time.Duration {
	wait := c.wait(now, q)
	if len(c.queues) > 1 && q == c.queues[len(c.queues)-1] {
		wait *= lowestClassWaitFactor
	}
	finish := now.Add(wait + q.attemptTime())
	return max(0, finish.Sub(deadline))
}

// retryAfter adds a random delay of up to half of the given time, so that refused
// callers do not return together, and rounds up to whole seconds.
func (c *Controller) retryAfter(after time.Duration) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after += time.Duration(c.random.Float64() * 0.5 * float64(after))
	return (after + time.Second - 1).Truncate(time.Second)
}
