package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scheduler places the requests of one service. It is not safe for concurrent use. The
// cost of a decision does not grow with the number of endpoints, of attempts in flight
// or of waiting requests, but for the logarithm of the latter two.
type Scheduler struct {
	random   *rand.Rand
	seats    map[string]*seat
	all      seatSet
	well     seatSet
	suspects seatSet
	ready    seatSet
	zones    map[string]*seatSet // of setLocal, by availability zone
	// wellSlots and slots are the attempts that endpoints may have in flight: those
	// that are not suspected, and all.
	wellSlots int
	slots     int
	nextLook  time.Time
	unused    int     // endpoints without recent work, as of the last look
	idle      []*seat // endpoints that are well and have had no work for some time
	tests     []*seat // suspected endpoints that may be tested, by risk

	grants   map[uint64]grant
	ended    tokens   // attempts and asks whose end was reported
	expiries timeline // when attempts end whose proxies are gone
	overdues timeline // when attempts are overdue
	waiting  map[uint64]*waiter
	ranks    []*rank // the same requests, the highest priority first
	budget   *Budget
	observer Observer
	doubted  map[*seat]bool   // endpoints that were reported as suspected
	service  time.Duration    // mean time of an attempt
	served   int              // grants to waiters since the lowest rank had one
	told     map[*seat]belief // what other views were last told of endpoints
	asked    rate             // requests
	done     rate             // ended attempts
	judged   rate             // ended attempts other than tests, and refusals
	lost     rate             // those of them that were not served
}

type grant struct {
	seat    *seat
	proxy   string
	since   time.Time
	expires time.Time
	// test is set for an attempt at an endpoint that was suspected.
	test bool
	// overdue is set once the attempt has taken much longer than usual.
	overdue bool
}

const (
	// firstServiceTime is the mean time of an attempt before any was observed.
	firstServiceTime = 300 * time.Millisecond
	// serviceStep is the weight of the newest attempt in the mean.
	serviceStep = 0.05
	// grantSlack is the time after a deadline at which an attempt whose end was
	// not reported counts as ended: its proxy is gone.
	grantSlack = time.Second
	// overdueFactor times the mean service time without an end makes an attempt
	// evidence against its endpoint.
	overdueFactor = 3
	// overdueFailing is the belief in an endpoint with overdue attempts.
	overdueFailing = 0.8
	// lowestShare is the number of grants to waiters after which the lowest rank
	// is served, so that no kind of request starves.
	lowestShare = 4
	// slowFactor times the mean service time makes a response slow.
	slowFactor = 4
	// lastResortFactor times the mean service time before its deadline, a waiting
	// request takes a suspected endpoint.
	lastResortFactor = 2
	// aimFactor times the mean service time must be left of the aim of a request
	// that is expected to meet it.
	aimFactor = 1.3
	// queuePerSlot bounds the requests that wait for each slot of a service, and
	// queueLeast those of a small one: the platform's deadlines are at most ten times
	// the mean service time.
	queuePerSlot = 8
	queueLeast   = 512
	// hopefulShare of the mean service time must be left before the deadline.
	hopefulShare = 0.6
)

// New returns a scheduler without endpoints. The observer may be nil.
func New(random *rand.Rand, budget *Budget, observer Observer) *Scheduler {
	return &Scheduler{
		random: random, budget: budget, observer: observer, service: firstServiceTime,
		seats: map[string]*seat{}, grants: map[uint64]grant{}, waiting: map[uint64]*waiter{}, doubted: map[*seat]bool{},
		told: map[*seat]belief{},
		all:  seatSet{kind: setAll}, well: seatSet{kind: setWell}, suspects: seatSet{kind: setSuspect},
		ready: seatSet{kind: setReady}, zones: map[string]*seatSet{},
	}
}

// SetEndpoints replaces the endpoints that may get new work. Endpoints that are
// missing keep their work in flight and get no more.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []Endpoint) []Decision {
	for _, t := range s.all.list {
		t.leaving = true
	}
	for _, e := range endpoints {
		t, found := s.seats[e.id]
		switch {
		case !found:
			t = &seat{endpoint: e, belief: newBelief(now), joined: now}
			s.seats[e.id] = t
			s.all.put(t, true)
		case t.endpoint.zone != e.zone:
			s.local(t.endpoint.zone).put(t, false)
		}
		t.endpoint, t.leaving = e, false
	}
	for _, t := range slices.Clone(s.all.list) {
		if t.leaving && t.inFlight == 0 {
			s.drop(t)
		}
		s.look(now, t)
	}
	s.nextLook = now
	return s.Advance(now)
}

// Place decides about a request. A request whose end was reported before it came is refused: its
// proxy does not wait any longer, and a slot that it got would stay taken until its
// deadline.
func (s *Scheduler) Place(now time.Time, a Request) Decision {
	if d, known := s.known(now, a); known {
		return d
	}
	switch {
	case a.Rerouted:
	case !a.Retry:
		s.budget.Request(now)
		s.asked.add(now)
	case !s.budget.Allow(now):
		return s.refuse(now, a, ReasonBudget, 0)
	}
	s.refresh(now)
	ahead := s.ahead(now, a)
	if ahead == 0 {
		if t := s.choose(now, a); t != nil {
			return s.grant(now, a, t)
		}
	}
	return s.enqueue(now, a, ahead)
}

// known returns the answer to an ask that was decided before.
func (s *Scheduler) known(now time.Time, a Request) (Decision, bool) {
	d := Decision{Token: a.Token, Proxy: a.Proxy}
	if g, held := s.grants[a.Token]; held {
		d.Verdict, d.Endpoint, d.FailureProbability = Granted, g.seat.endpoint, g.seat.belief.value(now)
		return d, true
	}
	if _, waits := s.waiting[a.Token]; waits {
		d.Verdict = Queued
		return d, true
	}
	if s.ended.has(a.Token) {
		d.Verdict, d.Reason = Refused, ReasonNoTime
		return d, true
	}
	return d, false
}

func (s *Scheduler) refuse(now time.Time, a Request, reason Reason, after time.Duration) Decision {
	s.countRefused(now)
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Refused, Reason: reason, RetryAfter: after}
}

func (s *Scheduler) grant(now time.Time, a Request, t *seat) Decision {
	t.inFlight++
	t.lastUsed = now
	failing := t.belief.value(now)
	expires := a.Deadline.Add(grantSlack)
	s.grants[a.Token] = grant{seat: t, proxy: a.Proxy, since: now, expires: expires, test: failing >= suspected}
	s.expiries.add(expires, a.Token)
	s.overdues.add(now.Add(overdueFactor*s.service), a.Token)
	s.look(now, t)
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Granted, Endpoint: t.endpoint, FailureProbability: failing}
}

// Begin counts an attempt that began at now and was placed without this view, unless
// it is known or has ended. If it waits here, its proxy has given the wait up.
func (s *Scheduler) Begin(now time.Time, a Request, id string) {
	t, found := s.seats[id]
	if found && !s.HasAttempt(a.Token) && !s.ended.has(a.Token) {
		s.withdraw(a.Token)
		s.grant(now, a, t)
	}
}

// Attempt is one in flight.
type Attempt struct {
	Token    uint64
	Endpoint string
	Since    time.Time
	Deadline time.Time
}

// HasAttempt reports whether the view counts an attempt.
func (s *Scheduler) HasAttempt(token uint64) bool {
	_, found := s.grants[token]
	return found
}

// InFlight returns the attempts of a proxy that are in flight.
func (s *Scheduler) InFlight(proxy string) []Attempt {
	var list []Attempt
	for token, g := range s.grants {
		if g.proxy == proxy {
			list = append(list, Attempt{
				Token: token, Endpoint: g.seat.endpoint.id, Since: g.since, Deadline: g.expires.Add(-grantSlack),
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
		s.withdraw(token)
		return nil
	}
	delete(s.grants, token)
	s.done.add(now)
	s.release(now, g)
	s.learn(now, g.seat, token, o, elapsed)
	if !g.test {
		s.count(now, o)
	}
	if o == OutcomeServed {
		s.service += time.Duration(serviceStep * float64(elapsed-s.service))
	}
	return s.Advance(now)
}

// learn takes the outcome of an attempt as evidence about the endpoint.
func (s *Scheduler) learn(now time.Time, t *seat, token uint64, o Outcome, elapsed time.Duration) {
	slow := elapsed > time.Duration(slowFactor*float64(s.service))
	if slow && (o == OutcomeServed || o == OutcomeExpired) {
		o = OutcomeSlow
	}
	t.belief.observe(now, o)
	t.observeShed(now, o == OutcomeShed, t.inFlight+1 >= t.endpoint.slots)
	if o != OutcomeServed && o != OutcomeNone {
		t.nextTrial = now.Add(trialPause)
	}
	s.look(now, t)
	t.recovers = o == OutcomeServed && t.place[setSuspect] > 0
	if t.recovers && t.inFlight == 0 && !now.Before(t.nextTrial) {
		s.tests = slices.Insert(s.tests, 0, t)
	}
	s.report(now, t, Evidence{Outcome: o, Token: token})
}

// Observe takes evidence about an endpoint whose attempt this view did not count.
func (s *Scheduler) Observe(now time.Time, id string, token uint64, o Outcome) {
	if t, found := s.seats[id]; found {
		s.learn(now, t, token, o, 0)
	}
}

func (s *Scheduler) release(now time.Time, g grant) {
	t := g.seat
	t.inFlight--
	if g.overdue {
		t.overdue--
	}
	if t.leaving && t.inFlight == 0 {
		s.drop(t)
	}
	s.look(now, t)
}

// expire ends attempts whose proxies are gone.
func (s *Scheduler) expire(now time.Time) {
	for {
		token, found := s.expiries.take(now)
		if !found {
			return
		}
		if g, held := s.grants[token]; held && now.After(g.expires) {
			delete(s.grants, token)
			s.release(now, g)
		}
	}
}

// markOverdue takes attempts that have not ended for some time as evidence.
func (s *Scheduler) markOverdue(now time.Time) {
	for {
		token, found := s.overdues.take(now)
		if !found {
			return
		}
		if g, held := s.grants[token]; held && !g.overdue {
			g.overdue = true
			s.grants[token] = g
			g.seat.overdue++
			s.look(now, g.seat)
		}
	}
}

// Advance ends attempts whose proxies are gone and decides about waiting requests.
func (s *Scheduler) Advance(now time.Time) []Decision {
	s.expire(now)
	if len(s.waiting) == 0 {
		return nil
	}
	s.refresh(now)
	decisions := s.refuseHopeless(now)
	for len(s.waiting) > 0 && s.possible(now) {
		w, t := s.next(now)
		if t == nil {
			break
		}
		s.withdraw(w.ask.Token)
		decisions = append(decisions, s.grant(now, w.ask, t))
		s.served++
	}
	return decisions
}
