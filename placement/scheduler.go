package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Scheduler places the requests of one service. It is not safe for concurrent use.
type Scheduler struct {
	random   *rand.Rand
	seats    map[string]*seat
	order    []*seat // by identifier, so that runs repeat
	grants   map[uint64]grant
	waiting  []waiter
	budget   *Budget
	observer Observer
	doubted  map[*seat]bool // endpoints that were reported as suspected
	service  time.Duration  // mean time of an attempt
	served   int            // grants to waiters since the lowest rank had one
	// Ended and lost attempts of late, as of countedAt.
	ended     float64
	lost      float64
	countedAt time.Time
}

type grant struct {
	seat    *seat
	proxy   string
	since   time.Time
	expires time.Time
	// test is set for an attempt at an endpoint that was suspected.
	test bool
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
	// queueLimit bounds the requests that wait for a service.
	queueLimit = 512
	// hopefulShare of the mean service time must be left before the deadline.
	hopefulShare = 0.6
)

// New returns a scheduler without endpoints. The observer may be nil.
func New(random *rand.Rand, budget *Budget, observer Observer) *Scheduler {
	return &Scheduler{
		random: random, budget: budget, observer: observer, service: firstServiceTime,
		seats: map[string]*seat{}, grants: map[uint64]grant{}, doubted: map[*seat]bool{},
	}
}

// SetEndpoints replaces the endpoints that may get new work. Endpoints that are
// missing keep their work in flight and get no more.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []Endpoint) []Decision {
	for _, t := range s.seats {
		t.leaving = true
	}
	for _, e := range endpoints {
		t, found := s.seats[e.id]
		if !found {
			t = &seat{belief: newBelief(now), joined: now}
			s.seats[e.id] = t
		}
		t.endpoint, t.leaving = e, false
	}
	s.order = s.order[:0]
	for id, t := range s.seats {
		if t.leaving && t.inFlight == 0 {
			delete(s.seats, id)
			continue
		}
		s.order = append(s.order, t)
	}
	slices.SortFunc(s.order, func(a, b *seat) int { return strings.Compare(a.endpoint.id, b.endpoint.id) })
	return s.Advance(now)
}

// Place answers an ask.
func (s *Scheduler) Place(now time.Time, a Ask) Decision {
	switch {
	case a.Moved:
	case !a.Again:
		s.budget.Request(now)
	case !s.budget.Take(now):
		return s.refuse(a, ReasonBudget, 0)
	}
	if s.urgent(now, a) {
		if t := s.choose(now, a); t != nil {
			return s.grant(now, a, t)
		}
	}
	return s.enqueue(now, a)
}

func (s *Scheduler) refuse(a Ask, reason Reason, after time.Duration) Decision {
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Refused, Reason: reason, RetryAfter: after}
}

func (s *Scheduler) grant(now time.Time, a Ask, t *seat) Decision {
	t.inFlight++
	t.since = append(t.since, now)
	t.lastUsed = now
	s.grants[a.Token] = grant{
		seat: t, proxy: a.Proxy, since: now, expires: a.Deadline.Add(grantSlack), test: t.belief.value(now) >= suspected,
	}
	return Decision{
		Token: a.Token, Proxy: a.Proxy, Verdict: Granted,
		Endpoint: t.endpoint, Failing: t.belief.value(now),
	}
}

// Begin counts an attempt that began at now and was placed without this view, unless
// it is known.
func (s *Scheduler) Begin(now time.Time, a Ask, id string) {
	t, found := s.seats[id]
	if _, known := s.grants[a.Token]; found && !known {
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

// Has reports whether the view counts an attempt.
func (s *Scheduler) Has(token uint64) bool {
	_, found := s.grants[token]
	return found
}

// Held returns the attempts of a proxy that are in flight.
func (s *Scheduler) Held(proxy string) []Attempt {
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
	g, found := s.grants[token]
	if !found {
		s.withdraw(token)
		return nil
	}
	delete(s.grants, token)
	s.release(g)
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
	t.observeShed(now, o == OutcomeShed)
	if o != OutcomeServed && o != OutcomeNone {
		t.nextTrial = now.Add(trialPause)
	}
	s.report(now, t, Evidence{Outcome: o, Token: token})
}

// Observe takes evidence about an endpoint whose attempt this view did not count.
func (s *Scheduler) Observe(now time.Time, id string, token uint64, o Outcome) {
	if t, found := s.seats[id]; found {
		s.learn(now, t, token, o, 0)
	}
}

func (s *Scheduler) release(g grant) {
	t := g.seat
	t.inFlight--
	if i := slices.Index(t.since, g.since); i >= 0 {
		t.since = slices.Delete(t.since, i, i+1)
	}
	if t.leaving && t.inFlight == 0 {
		delete(s.seats, t.endpoint.id)
		s.order = slices.DeleteFunc(s.order, func(other *seat) bool { return other == t })
	}
}

// Advance ends attempts whose proxies are gone and decides about waiting requests.
func (s *Scheduler) Advance(now time.Time) []Decision {
	for token, g := range s.grants {
		if now.After(g.expires) {
			delete(s.grants, token)
			s.release(g)
		}
	}
	if len(s.waiting) == 0 {
		return nil
	}
	if !s.possible(now) {
		return nil
	}
	s.arrange(now)
	var decisions []Decision
	remaining := s.waiting[:0]
	for i, w := range s.waiting {
		if now.Add(s.leastService()).After(w.ask.Deadline) {
			decisions = append(decisions, s.refuse(w.ask, ReasonNoTime, s.service))
			continue
		}
		if t := s.choose(now, w.ask); t != nil {
			decisions = append(decisions, s.grant(now, w.ask, t))
			s.served++
			if !s.possible(now) {
				remaining = append(remaining, s.waiting[i+1:]...)
				break
			}
			continue
		}
		remaining = append(remaining, w)
	}
	s.waiting = remaining
	return decisions
}

// Suspicion is the belief of a view in one endpoint.
type Suspicion struct {
	ID      string
	Failing float64
}

// Suspicions returns the endpoints that this view suspects.
func (s *Scheduler) Suspicions(now time.Time) []Suspicion {
	var list []Suspicion
	for _, t := range s.order {
		if p := t.belief.value(now); p >= suspected && !t.leaving {
			list = append(list, Suspicion{ID: t.endpoint.id, Failing: p})
		}
	}
	return list
}

// Learn takes the suspicions of the view that places requests.
func (s *Scheduler) Learn(now time.Time, suspicions []Suspicion) {
	for _, t := range s.order {
		i := slices.IndexFunc(suspicions, func(v Suspicion) bool { return v.ID == t.endpoint.id })
		if i >= 0 {
			t.belief.set(now, suspicions[i].Failing)
		} else if t.belief.value(now) >= suspected {
			t.belief.set(now, priorFailing)
		}
		s.report(now, t, Evidence{Learnt: true})
	}
}
