package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/carawayhold/carawayhold/once"
)

const (
	// homeTimeout bounds a request to another proxy, which usually makes two
	// platform calls for it.
	homeTimeout = 500 * time.Millisecond
	// avoidDuration is how long a proxy that failed to reply gets no operations, so
	// that a one-way network partition costs homeTimeout at most once a second.
	avoidDuration = time.Second
	// homeCount is the number of home candidates of a partition: the home proxy,
	// and the next one in case neither the home proxy nor this process reaches the
	// platform.
	homeCount = 2
	// defaultDeadline applies to a submission whose context has no deadline.
	defaultDeadline = 30 * time.Second
	// maxQueryWait bounds how long a claimant delays its reply to a query while the
	// claim is in progress.
	maxQueryWait = time.Second
	// queryReplyTimeout is the time allowed for the reply beyond the requested wait.
	queryReplyTimeout = 500 * time.Millisecond
	// maxUnsettled bounds the unrecorded outcomes in memory: at most 4096 responses
	// of about 5 KiB.
	maxUnsettled = 4096
)

// Coordinator claims, settles and looks up at-most-once submissions for one
// proxy. It is safe for concurrent use.
type Coordinator struct {
	store        Store
	peers        Peers
	log          *zap.Logger
	invariants   *once.Invariants
	breaker      breaker
	writeLimiter *rate.Limiter // shared by all partitions
	stats        counters
	sequence     atomic.Uint64
	recovered    chan struct{} // signals retryLoop that platform calls succeed again
	// recordFailing reports that the last attempt to record an outcome failed.
	recordFailing atomic.Bool
	settleQueue   chan *Ticket
	retryWake     chan struct{} // signals retryLoop that there is an unsettled ticket

	mu       sync.Mutex
	ctx      context.Context // of Run; nil while Run is not running
	batchers map[partitionKey]*batcher
	tickets  map[once.ClaimID]*Ticket
	// unsettled holds the tickets whose outcome is not yet recorded.
	unsettled    map[once.ClaimID]*Ticket
	avoidedUntil map[string]time.Time
	running      sync.WaitGroup
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithLogger sets the logger. The default discards all messages.
func WithLogger(log *zap.Logger) Option {
	return func(c *Coordinator) { c.log = log }
}

// WithInvariants sets the counter and hook for violated invariants.
func WithInvariants(invariants *once.Invariants) Option {
	return func(c *Coordinator) { c.invariants = invariants }
}

// WithWriteRate limits the updates of this process, in writes per second; the
// default is no limit. The rate of one proxy is the fleet's write budget divided
// by the number of live proxies, because partitions spread evenly over them.
// Updates that exceed the rate are delayed by up to 250 ms, which bounds the
// latency of claims and makes batches larger.
func WithWriteRate(perSecond float64) Option {
	return func(c *Coordinator) { c.SetWriteRate(perSecond) }
}

// SetWriteRate changes the limit set by WithWriteRate, for example when the
// number of live proxies changes. 0 or less means no limit.
func (c *Coordinator) SetWriteRate(perSecond float64) {
	if perSecond <= 0 {
		c.writeLimiter.SetLimit(rate.Inf)
		return
	}
	c.writeLimiter.SetLimit(rate.Limit(perSecond))
}

// New returns a coordinator. It rejects submissions as unavailable until Run has
// started.
func New(store Store, peers Peers, options ...Option) *Coordinator {
	c := &Coordinator{
		store:        store,
		peers:        peers,
		log:          zap.NewNop(),
		invariants:   once.NewInvariants(nil),
		writeLimiter: rate.NewLimiter(rate.Inf, writeBurst),
		settleQueue:  make(chan *Ticket, maxUnsettled),
		retryWake:    make(chan struct{}, 1),
		recovered:    make(chan struct{}, 1),
		batchers:     map[partitionKey]*batcher{},
		tickets:      map[once.ClaimID]*Ticket{},
		unsettled:    map[once.ClaimID]*Ticket{},
		avoidedUntil: map[string]time.Time{},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Run executes operations until the context is cancelled, and returns after all
// goroutines have stopped. Call Flush before cancelling the context; unrecorded
// outcomes are lost otherwise.
func (c *Coordinator) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	c.running.Go(func() { c.settleLoop(ctx) })
	c.running.Go(func() { c.retryLoop(ctx) })
	<-ctx.Done()
	c.mu.Lock()
	c.ctx = nil
	batchers := c.batchers
	c.batchers = map[partitionKey]*batcher{}
	c.mu.Unlock()
	c.running.Wait()
	for _, b := range batchers {
		b.drain()
	}
	return nil
}

func (b *batcher) drain() {
	for {
		select {
		case o := <-b.queue:
			o.fail(ErrStopped)
		default:
			return
		}
	}
}

// Claim requests the right to send a submission. It returns a ticket, or no
// ticket and the final outcome. The deadline of ctx is that of the caller.
// Every ticket must be passed to Settle.
func (c *Coordinator) Claim(ctx context.Context, s Submission) (*Ticket, once.Verdict) {
	if s.Identity.IdempotencyKey == "" {
		return nil, once.WithoutKey()
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	t, request := c.newTicket(ctx, s)
	if err := s.Service.validate(); err != nil {
		return nil, c.reject(t, once.Evidence{FirstSubmission: s.FirstSubmission}, once.ReasonInvalid, false)
	}
	if c.Unsettled() >= maxUnsettled {
		return nil, c.reject(t, once.Evidence{FirstSubmission: s.FirstSubmission}, once.ReasonOverloaded, false)
	}
	for {
		r := c.execute(ctx, t.partition, operation{claim: &request})
		if r.err != nil {
			evidence := once.Evidence{NotRun: r.notRun, FirstSubmission: s.FirstSubmission}
			return nil, c.reject(t, evidence, reasonOf(ctx, r.err), r.inDoubt)
		}
		if r.decision.Kind == once.DecisionGranted {
			return c.granted(ctx, t)
		}
		if verdict, done := c.conclude(t, r.decision); done {
			return nil, verdict
		}
		// The record shows an earlier submission.
		s.FirstSubmission = false
		step, verdict := c.resubmit(ctx, t, r.decision)
		if step == once.StepConclude {
			c.forget(t)
			return nil, verdict
		}
		if step == once.StepTakeOver {
			request.AbandonedClaim = r.decision.Claim
		}
	}
}

func (c *Coordinator) newTicket(ctx context.Context, s Submission) (*Ticket, once.ClaimRequest) {
	deadline, _ := ctx.Deadline()
	id := once.NewClaimID(c.peers.Self(), c.sequence.Add(1))
	request := s.request(id, c.peers.Self())
	t := &Ticket{
		partition: partitionKey{
			service:    s.Service.Name,
			index:      once.PartitionOf(request.Key, s.Service.Partitions),
			partitions: s.Service.Partitions,
		},
		retention: s.Service.Retention,
		claimedAt: time.Now(),
		claim:     once.NewClaim(id, request.Key, request.Fingerprint, deadline, c.invariants),
		done:      make(chan struct{}),
	}
	// Register the ticket before the first message is sent: to a query, a missing
	// ticket means that the request will not be sent.
	c.mu.Lock()
	c.tickets[id] = t
	c.mu.Unlock()
	return t, request
}

func (c *Coordinator) granted(ctx context.Context, t *Ticket) (*Ticket, once.Verdict) {
	if ctx.Err() != nil {
		return nil, c.reject(t, once.Evidence{NotRun: true}, once.ReasonDeadline, true)
	}
	t.mu.Lock()
	err := t.claim.Grant()
	t.mu.Unlock()
	if err != nil {
		return nil, c.reject(t, once.Evidence{}, once.ReasonNotSent, true)
	}
	return t, once.Verdict{}
}

// reject abandons the claim. If written is set, the claim may have been written,
// and its release is recorded in the background.
func (c *Coordinator) reject(t *Ticket, evidence once.Evidence, reason once.Reason, written bool) once.Verdict {
	t.mu.Lock()
	verdict := t.claim.Reject(evidence, reason)
	t.closeDone()
	t.mu.Unlock()
	if written {
		c.settleInBackground(t)
	} else {
		c.forget(t)
	}
	return verdict
}

// conclude ends a submission whose claim was not granted, if the decision
// determines its outcome.
func (c *Coordinator) conclude(t *Ticket, d once.Decision) (once.Verdict, bool) {
	t.mu.Lock()
	verdict, done := t.claim.VerdictFor(d)
	t.closeDone()
	t.mu.Unlock()
	if done {
		c.forget(t)
	}
	return verdict, done
}

// Settle ends a claim and returns the outcome for the caller. The outcome is
// recorded in the background; until then, this process replies to queries from
// memory. A ticket settled with Unknown may be settled again with Answered when
// the response arrives late.
func (c *Coordinator) Settle(t *Ticket, e Completion) once.Verdict {
	t.mu.Lock()
	verdict := t.settle(e)
	t.closeDone()
	t.mu.Unlock()
	c.settleInBackground(t)
	return verdict
}

// settle must be called with mu held.
func (t *Ticket) settle(e Completion) once.Verdict {
	switch {
	case e.response != nil:
		if err := t.claim.MarkAnswered(*e.response); err != nil {
			return once.Unknown(once.ReasonInvalid)
		}
		return once.Answered(*e.response)
	case e.unknown || t.claim.State() == once.ClaimSending:
		if err := t.claim.MarkUnknown(); err != nil {
			return once.Unknown(once.ReasonInvalid)
		}
		return once.Unknown(once.ReasonDeadline)
	default:
		// The claim was granted, so no other claim of the key ran before it.
		return t.claim.Reject(once.Evidence{NotRun: true}, e.reason)
	}
}

// Outcome returns the recorded outcome of a key, or the one that the claimant
// has in memory.
func (c *Coordinator) Outcome(ctx context.Context, service Service, identity Identity) once.Verdict {
	if identity.IdempotencyKey == "" {
		return once.Unknown(once.ReasonNoKey)
	}
	if err := service.validate(); err != nil {
		return once.Unknown(once.ReasonInvalid)
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	key := identity.key(service.Name)
	partition := partitionKey{
		service:    service.Name,
		index:      once.PartitionOf(key, service.Partitions),
		partitions: service.Partitions,
	}
	r := c.lookUp(ctx, partition, key)
	if r.err != nil {
		return once.Unknown(reasonOf(ctx, r.err))
	}
	if verdict, done := once.LookupVerdict(r.decision); done {
		return verdict
	}
	return once.QueryVerdict(c.query(ctx, r.decision, 0))
}

// lookUp reads a record. It retries after probeInterval, because operations fail
// without a platform call while the breaker is open.
func (c *Coordinator) lookUp(ctx context.Context, partition partitionKey, key once.Key) reply {
	const attempts = 3
	var r reply
	for range attempts {
		r = c.submit(ctx, partition, operation{lookup: &once.Lookup{Key: key}})
		if r.err == nil {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(probeInterval):
		}
	}
	return r
}

func (c *Coordinator) reportPlatform(ok bool) {
	if !c.breaker.report(time.Now(), ok) {
		return
	}
	select {
	case c.recovered <- struct{}{}:
	default:
	}
}

// Unsettled returns the number of unrecorded outcomes.
func (c *Coordinator) Unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsettled)
}

// forget removes a ticket whose claim was abandoned or whose outcome is recorded.
func (c *Coordinator) forget(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tickets, t.claim.ID())
	delete(c.unsettled, t.claim.ID())
}

func (c *Coordinator) ticket(id once.ClaimID) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tickets[id]
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

func reasonOf(ctx context.Context, err error) once.Reason {
	switch {
	case ctx.Err() != nil:
		return once.ReasonDeadline
	case errors.Is(err, ErrOverloaded):
		return once.ReasonOverloaded
	default:
		return once.ReasonUnavailable
	}
}
