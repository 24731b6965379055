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
	// homeTimeout bounds the wait for the home proxy, which needs two platform
	// calls in the usual case.
	homeTimeout = 500 * time.Millisecond
	// avoidHome is how long a proxy that did not answer is not asked again as a
	// home, so that a one-way partition costs homeTimeout once a second only.
	avoidHome = time.Second
	// homeCount is the number of proxies tried for a partition: the home, and
	// the next one when neither the home nor this proxy reaches the platform.
	homeCount = 2
	// defaultDeadline applies to a submission whose context has no deadline.
	defaultDeadline = 30 * time.Second
	// queryWait is the longest time a claimant holds back its reply to a query.
	queryWait = time.Second
	// queryReply is the time allowed for a claimant's reply beyond queryWait.
	queryReply = 500 * time.Millisecond
	// maxUnsettled bounds the outcomes in memory that are not yet recorded, and
	// with them the memory: at most 4096 responses of about 5 KiB.
	maxUnsettled = 4096
)

// Coordinator claims, settles and looks up at-most-once work for one proxy. It
// is safe for concurrent use.
type Coordinator struct {
	store      Store
	peers      Peers
	log        *zap.Logger
	invariants *once.Invariants
	breaker    breaker
	pace       *rate.Limiter // of the updates of all partitions
	stats      counters
	sequence   atomic.Uint64
	recovered  chan struct{} // tells the sweep that the platform answers again
	// cannotRecord means that the last try to record an outcome failed.
	cannotRecord atomic.Bool
	settleNext   chan *Ticket
	sweepWake    chan struct{} // tells the sweep that there is an unsettled outcome

	mu       sync.Mutex
	ctx      context.Context // of Run; nil while it is not running
	batchers map[partitionKey]*batcher
	tickets  map[once.ClaimID]*Ticket
	// unsettled holds the tickets whose outcome is not yet recorded.
	unsettled map[once.ClaimID]*Ticket
	avoid     map[string]time.Time
	running   sync.WaitGroup
}

// Option changes a Coordinator under construction.
type Option func(*Coordinator)

// WithLogger sets the logger.
func WithLogger(log *zap.Logger) Option {
	return func(c *Coordinator) { c.log = log }
}

// WithInvariants sets where violated invariants are counted and reported.
func WithInvariants(invariants *once.Invariants) Option {
	return func(c *Coordinator) { c.invariants = invariants }
}

// WithWriteRate limits the updates of this process, in writes per second; the
// default is no limit. The share of one proxy is the platform's budget divided
// by the number of live proxies, because partitions spread evenly over them.
// An update is never delayed by more than 250 ms, so that claims stay prompt;
// beyond the limit the batches grow.
func WithWriteRate(perSecond float64) Option {
	return func(c *Coordinator) { c.SetWriteRate(perSecond) }
}

// SetWriteRate changes the limit of WithWriteRate, for example when the number
// of live proxies changed. 0 or less means no limit.
func (c *Coordinator) SetWriteRate(perSecond float64) {
	if perSecond <= 0 {
		c.pace.SetLimit(rate.Inf)
		return
	}
	c.pace.SetLimit(rate.Limit(perSecond))
}

// New returns a coordinator. Calls fail until Run has started.
func New(store Store, peers Peers, options ...Option) *Coordinator {
	c := &Coordinator{
		store:      store,
		peers:      peers,
		log:        zap.NewNop(),
		invariants: once.NewInvariants(nil),
		pace:       rate.NewLimiter(rate.Inf, paceBurst),
		settleNext: make(chan *Ticket, maxUnsettled),
		sweepWake:  make(chan struct{}, 1),
		recovered:  make(chan struct{}, 1),
		batchers:   map[partitionKey]*batcher{},
		tickets:    map[once.ClaimID]*Ticket{},
		unsettled:  map[once.ClaimID]*Ticket{},
		avoid:      map[string]time.Time{},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Run serves calls until the context ends, and returns when all goroutines
// have ended. Call Flush first to record what is still in memory.
func (c *Coordinator) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	c.running.Go(func() { c.settleLoop(ctx) })
	c.running.Go(func() { c.sweepLoop(ctx) })
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

// Claim obtains the right to send the request of a submission. It returns a
// ticket, or the final outcome and no ticket. The context carries the caller's
// deadline. Every ticket must be ended with Settle.
func (c *Coordinator) Claim(ctx context.Context, s Submission) (*Ticket, once.Verdict) {
	if s.Identity.IdempotencyKey == "" {
		return nil, once.WithoutKey()
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	t, request := c.newTicket(ctx, s)
	if err := s.Service.validate(); err != nil {
		return nil, c.refuse(t, once.Evidence{FirstSubmission: s.FirstSubmission}, once.ReasonInvalid, false)
	}
	if c.Unsettled() >= maxUnsettled {
		return nil, c.refuse(t, once.Evidence{FirstSubmission: s.FirstSubmission}, once.ReasonOverloaded, false)
	}
	for {
		r := c.decide(ctx, t.partition, operation{claim: &request})
		if r.err != nil {
			evidence := once.Evidence{NotRun: r.neverRan, FirstSubmission: s.FirstSubmission}
			return nil, c.refuse(t, evidence, reasonOf(ctx, r.err), r.inDoubt)
		}
		if r.decision.Kind == once.DecisionGranted {
			return c.granted(ctx, t)
		}
		if verdict, done := c.conclude(t, r.decision); done {
			return nil, verdict
		}
		// The record shows an earlier submission.
		s.FirstSubmission = false
		step, verdict := c.askClaimant(ctx, t, r.decision)
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
		ended:     make(chan struct{}),
	}
	// The ticket is known before the first message leaves, so that a query for
	// its claim never finds it forgotten while it may still be sent.
	c.mu.Lock()
	c.tickets[id] = t
	c.mu.Unlock()
	return t, request
}

func (c *Coordinator) granted(ctx context.Context, t *Ticket) (*Ticket, once.Verdict) {
	if ctx.Err() != nil {
		return nil, c.refuse(t, once.Evidence{NotRun: true}, once.ReasonDeadline, true)
	}
	t.mu.Lock()
	err := t.claim.Grant()
	t.mu.Unlock()
	if err != nil {
		return nil, c.refuse(t, once.Evidence{}, once.ReasonNotSent, true)
	}
	return t, once.Verdict{}
}

// refuse abandons the claim. If the claim may have been written, its release is
// recorded in the background.
func (c *Coordinator) refuse(t *Ticket, evidence once.Evidence, reason once.Reason, written bool) once.Verdict {
	t.mu.Lock()
	verdict := t.claim.Reject(evidence, reason)
	t.closeEnded()
	t.mu.Unlock()
	if written {
		c.queueSettlement(t)
	} else {
		c.forget(t)
	}
	return verdict
}

// conclude ends a submission whose claim was not written.
func (c *Coordinator) conclude(t *Ticket, d once.Decision) (once.Verdict, bool) {
	t.mu.Lock()
	verdict, done := t.claim.VerdictFor(d)
	t.closeEnded()
	t.mu.Unlock()
	if done {
		c.forget(t)
	}
	return verdict, done
}

// Settle ends the work under a ticket and returns the outcome for the caller.
// The outcome is recorded in the background; until then this process answers
// queries for it from memory. A late answer may be settled after Unknown.
func (c *Coordinator) Settle(t *Ticket, e Ending) once.Verdict {
	t.mu.Lock()
	verdict := t.settle(e)
	t.closeEnded()
	t.mu.Unlock()
	c.queueSettlement(t)
	return verdict
}

// settle is called with mu held.
func (t *Ticket) settle(e Ending) once.Verdict {
	switch {
	case e.response != nil:
		if err := t.claim.Answer(*e.response); err != nil {
			return once.Unknown(once.ReasonInvalid)
		}
		return once.Answered(*e.response)
	case e.lost || t.claim.State() == once.ClaimSending:
		if err := t.claim.MarkUnknown(); err != nil {
			return once.Unknown(once.ReasonInvalid)
		}
		return once.Unknown(once.ReasonDeadline)
	default:
		// The claim was granted, so no other claim of the key ran before it.
		return t.claim.Reject(once.Evidence{NotRun: true}, e.reason)
	}
}

// Outcome returns the outcome of a key: the recorded one, or the one that the
// claimant remembers.
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

// lookUp reads a record. While the platform is not tried, because it did not
// answer a moment ago, it waits for the next try.
func (c *Coordinator) lookUp(ctx context.Context, partition partitionKey, key once.Key) reply {
	const tries = 3
	var r reply
	for range tries {
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

// Unsettled returns the number of outcomes that are not yet recorded.
func (c *Coordinator) Unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsettled)
}

// forget drops a ticket that was abandoned, or whose outcome is recorded.
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
