package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scheduler places the requests of one service. It is not safe for concurrent use.
type Scheduler struct {
	random  *rand.Rand
	seats   map[string]*seat
	order   []*seat // by identifier, so that runs repeat
	grants  map[uint64]grant
	waiting []waiter
	budget  *Budget
	service time.Duration // mean time of an attempt
	served  int           // grants to waiters since the lowest rank had one
}

type grant struct {
	seat    *seat
	since   time.Time
	expires time.Time
}

type waiter struct {
	ask   Ask
	since time.Time
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
	overdueFactor = 5
	// overdueFailing is the belief in an endpoint with overdue attempts.
	overdueFailing = 0.8
	// lowestShare is the number of grants to waiters after which the lowest rank
	// is served, so that no kind of request starves.
	lowestShare = 4
	// hopefulShare of the mean service time must be left before the deadline.
	hopefulShare = 0.6
)

// New returns a scheduler without endpoints.
func New(random *rand.Rand, budget *Budget) *Scheduler {
	return &Scheduler{
		random: random, budget: budget, service: firstServiceTime,
		seats: map[string]*seat{}, grants: map[uint64]grant{},
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
			t = &seat{belief: newBelief(now)}
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
	slices.SortFunc(s.order, func(a, b *seat) int { return compare(a.endpoint.id, b.endpoint.id) })
	return s.Advance(now)
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
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
	if len(s.waiting) == 0 || s.urgent(a) {
		if t := s.choose(now, a); t != nil {
			return s.grant(now, a, t)
		}
	}
	return s.enqueue(now, a)
}

// urgent reports whether a goes before everything that waits.
func (s *Scheduler) urgent(a Ask) bool {
	for _, w := range s.waiting {
		if w.ask.Priority <= a.Priority {
			return false
		}
	}
	return true
}

// enqueue lets a wait for a slot, or refuses it at once if none is likely in
// time. It answers bursts: a request that cannot be served must not wait.
func (s *Scheduler) enqueue(now time.Time, a Ask) Decision {
	slots := s.slots(now, a)
	if slots == 0 {
		return s.refuse(a, ReasonNoEndpoint, s.service)
	}
	ahead := 1
	for _, w := range s.waiting {
		if w.ask.Priority <= a.Priority {
			ahead++
		}
	}
	wait := time.Duration(float64(s.service) * float64(ahead) / float64(slots))
	if now.Add(wait + s.leastService()).After(a.Deadline) {
		return s.refuse(a, ReasonNoTime, wait)
	}
	s.waiting = append(s.waiting, waiter{ask: a, since: now})
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Queued, RetryAfter: wait}
}

func (s *Scheduler) leastService() time.Duration {
	return time.Duration(hopefulShare * float64(s.service))
}

func (s *Scheduler) refuse(a Ask, reason Reason, after time.Duration) Decision {
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Refused, Reason: reason, RetryAfter: after}
}

// slots counts the slots of the endpoints that a may use.
func (s *Scheduler) slots(now time.Time, a Ask) int {
	n := 0
	for _, t := range s.order {
		if !t.leaving && !slices.Contains(a.Avoid, t.endpoint.id) {
			n += t.capacity(now)
		}
	}
	return n
}

// The weights of the score of an endpoint, in units of the probability that the
// attempt fails.
const (
	// repeatableRisk scales the risk of a request that can be sent again.
	repeatableRisk = 0.6
	// loadWeight spreads work, so that a failure meets few requests in flight.
	loadWeight = 0.12
	// zoneWeight is the cost of bytes between zones.
	zoneWeight = 0.02
	// warmWeight is the cost of an endpoint that is slow after its start.
	warmWeight = 0.05
	// shedWeight is the cost of an attempt that the endpoint refuses.
	shedWeight = 0.3
)

// choose returns the endpoint with a free slot and the lowest expected loss. It
// answers a third of the endpoints failing with good health paths: requests that
// must not repeat go where the last evidence is good.
func (s *Scheduler) choose(now time.Time, a Ask) *seat {
	if t := s.trial(now, a); t != nil {
		return t
	}
	var best *seat
	lowest := 0.0
	offset := 0
	if len(s.order) > 0 {
		offset = s.random.IntN(len(s.order))
	}
	for i := range s.order {
		t := s.order[(i+offset)%len(s.order)]
		if t.leaving || t.inFlight >= t.capacity(now) || slices.Contains(a.Avoid, t.endpoint.id) {
			continue
		}
		if cost := s.cost(now, a, t); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

func (s *Scheduler) cost(now time.Time, a Ask, t *seat) float64 {
	risk := s.failing(now, t)
	if a.Repeatable && !a.Again {
		risk *= repeatableRisk
	}
	cost := risk + loadWeight*float64(t.inFlight)/float64(t.endpoint.slots) + shedWeight*t.shedShare(now)
	if t.endpoint.zone != a.Zone {
		cost += zoneWeight
	}
	if now.Before(t.endpoint.warmAt) {
		cost += warmWeight
	}
	return cost
}

// failing returns the probability that an attempt at the endpoint fails. Attempts
// that are overdue count before they end: an endpoint that hangs reports nothing.
func (s *Scheduler) failing(now time.Time, t *seat) float64 {
	p := t.belief.value(now)
	if p >= overdueFailing || t.inFlight == 0 {
		return p
	}
	for _, g := range s.grants {
		if g.seat == t && now.Sub(g.since) > overdueFactor*s.service {
			return overdueFailing
		}
	}
	return p
}

const (
	// suspected is the belief from which an endpoint gets work only as a trial.
	suspected = 0.3
	// trialPause is the least time between trials of an endpoint.
	trialPause = 700 * time.Millisecond
)

// trial lets a request that can be sent again test a suspected endpoint, so that
// its capacity returns when its bad spell has ended.
func (s *Scheduler) trial(now time.Time, a Ask) *seat {
	if !a.Repeatable || a.Again || a.Aim.Sub(now) < 2*s.service {
		return nil
	}
	for _, t := range s.order {
		if t.leaving || t.trying || t.inFlight > 0 || slices.Contains(a.Avoid, t.endpoint.id) {
			continue
		}
		if t.belief.value(now) >= suspected && now.Sub(t.lastUsed) >= trialPause {
			return t
		}
	}
	return nil
}

func (s *Scheduler) grant(now time.Time, a Ask, t *seat) Decision {
	t.inFlight++
	t.lastUsed = now
	t.trying = t.belief.value(now) >= suspected
	s.grants[a.Token] = grant{seat: t, since: now, expires: a.Deadline.Add(grantSlack), }
	return Decision{
		Token: a.Token, Proxy: a.Proxy, Verdict: Granted,
		Endpoint: t.endpoint, Failing: t.belief.value(now),
	}
}

// Begin counts an attempt that its proxy placed without this view.
func (s *Scheduler) Begin(now time.Time, a Ask, id string) {
	if t, found := s.seats[id]; found {
		s.grant(now, a, t)
	}
}

// End ends an attempt and returns the decisions about waiting requests.
func (s *Scheduler) End(now time.Time, token uint64, o Outcome, elapsed time.Duration) []Decision {
	g, found := s.grants[token]
	if !found {
		s.withdraw(token)
		return nil
	}
	delete(s.grants, token)
	s.release(g.seat)
	g.seat.belief.observe(now, o)
	g.seat.observeShed(now, o == OutcomeShed)
	if o == OutcomeServed {
		s.service += time.Duration(serviceStep * float64(elapsed-s.service))
	}
	return s.Advance(now)
}

// Observe takes evidence about an endpoint whose attempt this view did not count.
func (s *Scheduler) Observe(now time.Time, id string, o Outcome) {
	if t, found := s.seats[id]; found {
		t.belief.observe(now, o)
	}
}

func (s *Scheduler) release(t *seat) {
	t.inFlight--
	t.trying = false
	if t.leaving && t.inFlight == 0 {
		delete(s.seats, t.endpoint.id)
		s.order = slices.DeleteFunc(s.order, func(other *seat) bool { return other == t })
	}
}

// withdraw removes a waiting request.
func (s *Scheduler) withdraw(token uint64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.ask.Token == token })
}

// Advance ends attempts whose proxies are gone and decides about waiting requests.
func (s *Scheduler) Advance(now time.Time) []Decision {
	for token, g := range s.grants {
		if now.After(g.expires) {
			delete(s.grants, token)
			s.release(g.seat)
		}
	}
	var decisions []Decision
	for len(s.waiting) > 0 {
		i := s.next()
		w := s.waiting[i]
		if now.Add(s.leastService()).After(w.ask.Deadline) {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			decisions = append(decisions, s.refuse(w.ask, ReasonNoTime, s.service))
			continue
		}
		t := s.choose(now, w.ask)
		if t == nil {
			break
		}
		s.waiting = slices.Delete(s.waiting, i, i+1)
		decisions = append(decisions, s.grant(now, w.ask, t))
	}
	return decisions
}

// next returns the index of the waiting request that goes first: by rank, then by
// deadline. Each lowestShare-th place goes to the lowest rank. It answers bursts
// and retry abuse of one kind of request.
func (s *Scheduler) next() int {
	s.served++
	lowest := s.served%lowestShare == 0
	best := 0
	for i, w := range s.waiting {
		b := s.waiting[best].ask
		better := w.ask.Priority < b.Priority
		if lowest {
			better = w.ask.Priority > b.Priority
		}
		if better || w.ask.Priority == b.Priority && w.ask.Deadline.Before(b.Deadline) {
			best = i
		}
	}
	return best
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
	}
}

// InFlight returns the attempts in flight.
func (s *Scheduler) InFlight() int { return len(s.grants) }

// Waiting returns the requests that wait for a slot.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// ServiceTime returns the mean time of an attempt.
func (s *Scheduler) ServiceTime() time.Duration { return s.service }
