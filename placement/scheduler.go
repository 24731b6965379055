package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scheduler places the requests of one service. It is not safe for concurrent use. The
// cost of a decision does not depend on the number of endpoints and grows
// logarithmically with the number of attempts in flight and of waiting requests.
type Scheduler struct {
	random          *rand.Rand
	targets         map[string]*target
	all             targetSet
	healthy         targetSet
	suspects        targetSet
	available       targetSet
	regaining       targetSet
	availableByZone map[string]*targetSet // sets of kind setZoneAvailable
	// healthyRoom and totalRoom are the room of the healthy endpoints and of all.
	healthyRoom     room
	totalRoom       room
	nextRefresh     time.Time
	limited         map[*target]struct{} // endpoints with a rate limit
	resting         map[*target]struct{} // endpoints that some proxies must not use
	members         []string             // proxies that share rate limits
	shares          map[string]time.Time // until when this view may use the share of a proxy
	nextShareUpdate time.Time
	wantsShares     bool      // the holders of a limit have changed
	heldByLimits    int       // requests without a slot although a rate limit left one unused
	unused          int       // endpoints without recent requests, as of the last refresh
	idle            []*target // healthy endpoints without a request for idleAfter, or at all
	probeCandidates []*target // suspected endpoints that may be probed, ordered by compareProbeCandidates

	grants            map[uint64]grant
	ended             recentTokens // attempts and requests whose end was reported
	expiryTimes       timeHeap     // when attempts in flight expire
	overdueTimes      timeHeap     // when attempts in flight become overdue
	waiting           map[uint64]*waiter
	queueSince        time.Time        // since when requests have waited without a break, if any waits
	classes           []*priorityClass // the waiting requests, the highest priority first
	budget            *Budget
	observer          Observer
	reportedSuspected map[*target]bool // endpoints that the observer knows as suspected
	meanServiceTime   time.Duration
	queueGrants       int                         // grants to waiting requests
	sentEstimates     map[*target]failureEstimate // estimates last returned by Suspicions
	arrivals          decayingCount               // requests
	completions       decayingCount               // ended attempts that were not rejected
	results           decayingCount               // ended attempts other than probes, and refusals
	losses            decayingCount               // results that were failures or refusals
}

type grant struct {
	target  *target
	proxy   string
	since   time.Time
	expires time.Time
	// probe is set for an attempt at an endpoint that was suspected.
	probe bool
	// overdue is set once the attempt has taken much longer than usual.
	overdue bool
	// surplus is set for an attempt of a request that would have been refused otherwise.
	surplus bool
}

const (
	// initialServiceTime is the mean service time before any attempt has ended.
	initialServiceTime = 300 * time.Millisecond
	// serviceTimeWeight is the weight of the newest attempt in the mean service time.
	serviceTimeWeight = 0.05
	// grantGracePeriod is the time after its deadline at which an attempt expires. Its
	// proxy is assumed to be gone if it has not reported the end.
	grantGracePeriod = time.Second
	// An attempt that runs for longer than overdueFactor times the mean service time
	// counts against its endpoint.
	overdueFactor = 3
	// overdueFailureProbability is assumed for an endpoint with several overdue
	// attempts.
	overdueFailureProbability = 0.8
	// Every lowestPriorityInterval-th grant to a waiting request goes to the lowest
	// priority, so that no kind of request starves.
	lowestPriorityInterval = 4
	// A response is slow if it takes longer than slowFactor times the mean service
	// time.
	slowFactor = 4
	// From lastResortFactor times the mean service time before its deadline, a waiting
	// request may use a suspected endpoint.
	lastResortFactor = 2
	// A request is late if less than softDeadlineFactor times the mean service time is
	// left until its soft deadline.
	softDeadlineFactor = 1.3
	// queueLimitPerSlot bounds the waiting requests per slot of a service, and
	// minQueueLimit is the limit of a small service. The platform's deadlines are at
	// most ten times the mean service time.
	queueLimitPerSlot = 8
	minQueueLimit     = 512
	// A request is refused if less than minServiceShare of the mean service time is
	// left until its deadline.
	minServiceShare = 0.6
)

// New returns a scheduler without endpoints. The observer may be nil.
func New(random *rand.Rand, budget *Budget, observer Observer) *Scheduler {
	return &Scheduler{
		random: random, budget: budget, observer: observer, meanServiceTime: initialServiceTime,
		targets: map[string]*target{}, grants: map[uint64]grant{}, waiting: map[uint64]*waiter{}, reportedSuspected: map[*target]bool{},
		sentEstimates: map[*target]failureEstimate{}, limited: map[*target]struct{}{}, resting: map[*target]struct{}{}, shares: map[string]time.Time{},
		all: targetSet{kind: setAll}, healthy: targetSet{kind: setHealthy}, suspects: targetSet{kind: setSuspected},
		available: targetSet{kind: setAvailable}, regaining: targetSet{kind: setRegaining}, availableByZone: map[string]*targetSet{},
	}
}

// SetEndpoints replaces the endpoints that may get new requests and returns the
// decisions about waiting requests. Endpoints that are missing from the list finish
// their attempts in flight.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []Endpoint) []Decision {
	for _, t := range s.all.list {
		t.draining = true
	}
	for _, e := range endpoints {
		t, found := s.targets[e.id]
		switch {
		case !found:
			t = &target{endpoint: e, estimate: newFailureEstimate(now), joinedAt: now}
			s.targets[e.id] = t
			s.all.setMember(t, true)
		case t.endpoint.zone != e.zone:
			s.availableInZone(t.endpoint.zone).setMember(t, false)
		}
		if t.endpoint.start != e.start {
			s.clearRests(t)
		}
		t.endpoint, t.draining = e, false
	}
	for _, t := range slices.Clone(s.all.list) {
		if t.draining && t.inFlight == 0 {
			s.removeTarget(t)
		}
		s.updateTarget(now, t)
	}
	s.nextRefresh = now
	decisions := s.refuseHopeless(now)
	return append(decisions, s.Advance(now)...)
}

// Place decides about a request. It refuses a request whose end was reported before:
// the proxy no longer waits for the decision, and a granted slot would stay taken until
// the deadline.
func (s *Scheduler) Place(now time.Time, req Request) Decision {
	if d, known := s.priorDecision(now, req); known {
		return d
	}
	switch {
	case req.Rerouted:
	case !req.Retry:
		s.budget.Request(now)
		s.arrivals.add(now)
	case !s.budget.Allow(now):
		return s.refuse(now, req, ReasonBudget, 0)
	}
	s.refresh(now)
	ahead := s.requestsAhead(now, req)
	if ahead == 0 {
		if t := s.choose(now, req); t != nil {
			return s.grant(now, req, t)
		}
	}
	return s.enqueue(now, req, ahead)
}

// priorDecision returns the decision about a request that was placed before.
func (s *Scheduler) priorDecision(now time.Time, req Request) (Decision, bool) {
	d := Decision{Token: req.Token, Proxy: req.Proxy}
	if g, found := s.grants[req.Token]; found {
		d.Verdict, d.Endpoint, d.FailureProbability = Granted, g.target.endpoint, g.target.estimate.value(now)
		return d, true
	}
	if _, queued := s.waiting[req.Token]; queued {
		d.Verdict = Queued
		return d, true
	}
	if s.ended.has(req.Token) {
		d.Verdict, d.Reason = Refused, ReasonNoTime
		return d, true
	}
	return d, false
}

func (s *Scheduler) refuse(now time.Time, req Request, reason Reason, after time.Duration) Decision {
	s.countRefusal(now)
	return Decision{Token: req.Token, Proxy: req.Proxy, Verdict: Refused, Reason: reason, RetryAfter: after}
}

func (s *Scheduler) grant(now time.Time, req Request, t *target) Decision {
	if t.limit != nil {
		t.limit.tokens--
		t.limit.granted++
	}
	return s.begin(now, req, t)
}

// begin counts an attempt that was granted by this view or another one.
func (s *Scheduler) begin(now time.Time, req Request, t *target) Decision {
	t.inFlight++
	t.lastUsed = now
	probability := t.estimate.value(now)
	expires := req.Deadline.Add(grantGracePeriod)
	s.grants[req.Token] = grant{target: t, proxy: req.Proxy, since: now, expires: expires, probe: probability >= suspicionThreshold}
	s.expiryTimes.add(expires, req.Token)
	s.overdueTimes.add(now.Add(overdueFactor*s.meanServiceTime), req.Token)
	s.updateTarget(now, t)
	return Decision{Token: req.Token, Proxy: req.Proxy, Verdict: Granted, Endpoint: t.endpoint, FailureProbability: probability}
}

// Begin counts an attempt that began at now and was placed by another view, unless it
// is known or has ended. A waiting request with the same token leaves the queue, because
// its proxy no longer waits for this view.
func (s *Scheduler) Begin(now time.Time, req Request, id string) {
	t, found := s.targets[id]
	if found && !s.HasAttempt(req.Token) && !s.ended.has(req.Token) {
		s.dequeue(req.Token)
		s.begin(now, req, t)
	}
}

// MeanServiceTime returns the mean duration of recent attempts that were served.
func (s *Scheduler) MeanServiceTime() time.Duration { return s.meanServiceTime }

// Attempt is an attempt in flight.
type Attempt struct {
	Token    uint64
	Endpoint string
	Since    time.Time
	Deadline time.Time
}

// HasAttempt reports whether the attempt is in flight in this view.
func (s *Scheduler) HasAttempt(token uint64) bool {
	_, found := s.grants[token]
	return found
}

// InFlight returns the attempts in flight of a proxy, in no particular order.
func (s *Scheduler) InFlight(proxy string) []Attempt {
	var list []Attempt
	for token, g := range s.grants {
		if g.proxy == proxy {
			list = append(list, Attempt{
				Token: token, Endpoint: g.target.endpoint.id, Since: g.since, Deadline: g.expires.Add(-grantGracePeriod),
			})
		}
	}
	return list
}

// End ends an attempt and returns the decisions about waiting requests.
func (s *Scheduler) End(now time.Time, token uint64, o Outcome, elapsed time.Duration) []Decision {
	s.ended.add(now, token)
	g, found := s.grants[token]
	if !found {
		s.dequeue(token)
		return nil
	}
	delete(s.grants, token)
	switch {
	case g.surplus && o != OutcomeServed:
		s.countRefusal(now)
	case o != OutcomeShed:
		s.completions.add(now)
	}
	s.release(now, g)
	s.recordOutcome(now, g.target, token, o, elapsed)
	if !g.probe {
		s.countOutcome(now, o)
	}
	if o == OutcomeServed {
		s.meanServiceTime += time.Duration(serviceTimeWeight * float64(elapsed-s.meanServiceTime))
	}
	return s.Advance(now)
}

// recordOutcome updates the state of an endpoint with the outcome of an attempt.
func (s *Scheduler) recordOutcome(now time.Time, t *target, token uint64, o Outcome, elapsed time.Duration) {
	slow := elapsed > time.Duration(slowFactor*float64(s.meanServiceTime))
	if slow && (o == OutcomeServed || o == OutcomeExpired) {
		o = OutcomeSlow
	}
	t.estimate.observe(now, o)
	t.observeHang(o)
	t.observeShed(now, o == OutcomeShed, t.inFlight+1 >= t.endpoint.slots)
	if o != OutcomeServed && o != OutcomeNone {
		t.nextProbe = now.Add(probeInterval)
	}
	s.updateTarget(now, t)
	if served := o == OutcomeServed && t.position[setSuspected] > 0; served != t.lastProbeServed {
		t.lastProbeServed = served
		s.updateTarget(now, t)
	}
	if t.lastProbeServed && t.inFlight == 0 && !now.Before(t.nextProbe) {
		s.probeCandidates = slices.Insert(s.probeCandidates, 0, t)
	}
	s.notifyObserver(now, t, Evidence{Outcome: o, Token: token})
}

// Observe records the outcome of an attempt that this view did not count.
func (s *Scheduler) Observe(now time.Time, id string, token uint64, o Outcome) {
	if t, found := s.targets[id]; found {
		s.recordOutcome(now, t, token, o, 0)
	}
}

func (s *Scheduler) release(now time.Time, g grant) {
	t := g.target
	t.inFlight--
	if g.overdue {
		t.overdue--
	}
	if t.draining && t.inFlight == 0 {
		s.removeTarget(t)
	}
	s.updateTarget(now, t)
}

// expire ends attempts past their expiry time, whose proxies are gone.
func (s *Scheduler) expire(now time.Time) {
	for {
		token, found := s.expiryTimes.popBefore(now)
		if !found {
			return
		}
		if g, held := s.grants[token]; held && now.After(g.expires) {
			delete(s.grants, token)
			s.release(now, g)
		}
	}
}

// markOverdue marks attempts that take much longer than usual.
func (s *Scheduler) markOverdue(now time.Time) {
	for {
		token, found := s.overdueTimes.popBefore(now)
		if !found {
			return
		}
		if g, held := s.grants[token]; held && !g.overdue {
			g.overdue = true
			s.grants[token] = g
			g.target.overdue++
			s.updateTarget(now, g.target)
		}
	}
}

// Advance expires attempts whose proxies are gone and decides about waiting requests.
func (s *Scheduler) Advance(now time.Time) []Decision {
	s.expire(now)
	if len(s.waiting) == 0 {
		return nil
	}
	s.refresh(now)
	decisions := s.refuseUnservable(now)
	for len(s.waiting) > 0 && s.canDecide(now) {
		w, t := s.next(now)
		if t == nil {
			break
		}
		s.dequeue(w.request.Token)
		decisions = append(decisions, s.grant(now, w.request, t))
		s.queueGrants++
	}
	return decisions
}
