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
	// Ended and lost attempts of late, as of countedAt.
	ended     float64
	lost      float64
	countedAt time.Time
}

type grant struct {
	seat    *seat
	since   time.Time
	expires time.Time
	// test is set for an attempt at an endpoint that was suspected.
	test bool
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
	if s.urgent(now, a) {
		if t := s.choose(now, a); t != nil {
			return s.grant(now, a, t)
		}
	}
	return s.enqueue(now, a)
}

// urgent reports whether a goes before everything that waits.
func (s *Scheduler) urgent(now time.Time, a Ask) bool {
	for _, w := range s.waiting {
		if s.compare(now, w.ask, a) <= 0 {
			return false
		}
	}
	return true
}

// late reports whether a response would probably come after the aim.
func (s *Scheduler) late(now time.Time, a Ask) bool {
	return now.Add(time.Duration(aimFactor * float64(s.service))).After(a.Aim)
}

// compare orders requests by rank; within a rank, those that can still meet their
// aim come first. It answers an overload: served in the order of arrival, all
// requests would wait so long that each one is late.
func (s *Scheduler) compare(now time.Time, a, b Ask) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if x, y := s.late(now, a), s.late(now, b); x != y {
		if x {
			return 1
		}
		return -1
	}
	return a.Deadline.Compare(b.Deadline)
}

// enqueue lets a wait for a slot, or refuses it at once if none is likely in
// time. It answers bursts: a request that cannot be served must not wait.
func (s *Scheduler) enqueue(now time.Time, a Ask) Decision {
	wait, possible := s.expectedWait(now, a)
	if !possible {
		return s.refuse(a, ReasonNoEndpoint, s.service)
	}
	if len(s.waiting) >= queueLimit || now.Add(wait+s.leastService()).After(a.Deadline) {
		return s.refuse(a, ReasonNoTime, wait)
	}
	s.waiting = append(s.waiting, waiter{ask: a, since: now})
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Queued, RetryAfter: wait}
}

// expectedWait returns the time until a slot is free for a, and false if there is
// no endpoint for it at all.
func (s *Scheduler) expectedWait(now time.Time, a Ask) (time.Duration, bool) {
	well, all := s.slots(now, a)
	if well == 0 {
		well = all
	}
	if well == 0 {
		return 0, false
	}
	ahead := 1
	for _, w := range s.waiting {
		if s.compare(now, w.ask, a) <= 0 {
			ahead++
		}
	}
	return time.Duration(float64(s.service) * float64(ahead) / float64(well)), true
}

func (s *Scheduler) leastService() time.Duration {
	return time.Duration(hopefulShare * float64(s.service))
}

func (s *Scheduler) refuse(a Ask, reason Reason, after time.Duration) Decision {
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Refused, Reason: reason, RetryAfter: after}
}

// slots counts the slots of the endpoints that a may use: of those that are not
// suspected, and of all.
func (s *Scheduler) slots(now time.Time, a Ask) (well, all int) {
	for _, t := range s.order {
		if !t.open(a) {
			continue
		}
		n := t.capacity(now)
		all += n
		if s.failing(now, t) < suspected {
			well += n
		}
	}
	return well, all
}

// open reports whether the endpoint may be used for a at all.
func (t *seat) open(a Ask) bool { return !t.leaving && !slices.Contains(a.Avoid, t.endpoint.id) }

// free reports whether the endpoint has a slot for a.
func (t *seat) free(now time.Time, a Ask) bool { return t.open(a) && t.inFlight < t.capacity(now) }

// The weights of the score of an endpoint, in units of the probability that the
// attempt fails.
const (
	// repeatableRisk scales the risk of a request that can be sent again.
	repeatableRisk = 0.6
	// loadWeight spreads work, so that a failure meets few requests in flight.
	loadWeight = 0.12
	// zoneWeight is the cost of bytes between zones.
	zoneWeight = 0.04
	// warmWeight is the cost of an endpoint that is slow after its start.
	warmWeight = 0.05
	// shedWeight is the cost of an attempt that the endpoint refuses.
	shedWeight = 0.3
	// unusedWeight draws a first request to an endpoint that joined: nothing is
	// learnt about an endpoint without work.
	unusedWeight = 0.3
)

// choose returns the endpoint with a free slot and the lowest expected loss, or nil
// if the request should wait. It answers a third of the endpoints failing with good
// health paths: failing endpoints answer at once and look idle, so work must wait
// for a slot at the others rather than be lost there.
func (s *Scheduler) choose(now time.Time, a Ask) *seat {
	best := s.best(now, a, false)
	if best != nil {
		if t := s.trial(now, a); t != nil {
			return t
		}
		if !a.Repeatable && !a.Again && s.distressed(now) {
			if t := s.testable(now, a, distressPause); t != nil {
				return t
			}
		}
		return best
	}
	if t := s.sacrifice(now, a); t != nil {
		return t
	}
	t := s.best(now, a, true)
	if t != nil && s.worthWaiting(now, a, t) {
		return nil
	}
	return t
}

const (
	// sacrificePause is the least time after a failure before a request that must
	// not repeat tests the endpoint. Spells last several seconds.
	sacrificePause = 3 * time.Second
	// sacrificePressure is the number of waiting requests for each slot that is not
	// suspected from which capacity is short.
	sacrificePressure = 0.25
)

// sacrifice lets a request test a suspected endpoint although it cannot be sent
// again, if capacity is short. It answers services that get no repeatable requests:
// without a test, endpoints whose bad spell has ended stay unused in an overload.
func (s *Scheduler) sacrifice(now time.Time, a Ask) *seat {
	well, _ := s.slots(now, a)
	if float64(len(s.waiting)) < sacrificePressure*float64(well) {
		return nil
	}
	return s.testable(now, a, sacrificePause)
}

// testable returns the suspected endpoint that a request which cannot be sent again
// may test, or nil. The pause counts from its last failure.
func (s *Scheduler) testable(now time.Time, a Ask, pause time.Duration) *seat {
	var best *seat
	for _, t := range s.order {
		if !t.open(a) || t.inFlight > 0 || now.Before(t.nextTrial.Add(pause-trialPause)) {
			continue
		}
		if t.belief.value(now) < suspected {
			continue
		}
		if best == nil || t.belief.value(now) < best.belief.value(now) {
			best = t
		}
	}
	return best
}

const (
	// distressShare of failed attempts is the share from which endpoints are kept in
	// use although they are suspected, the tenth at which the platform asks for
	// requests at most endpoints within 2 s.
	distressShare = 0.1
	// distressPause is the time after a failure before an endpoint is tested then.
	distressPause = 1500 * time.Millisecond
	// distressLeast is the number of recent attempts that a share needs.
	distressLeast = 8.0
	// distressMemory is the time constant with which ended attempts are forgotten.
	distressMemory = time.Second
)

// distressed reports whether many attempts have failed lately.
func (s *Scheduler) distressed(now time.Time) bool {
	age := now.Sub(s.countedAt)
	ended := decay(s.ended, age, distressMemory)
	return ended >= distressLeast && decay(s.lost, age, distressMemory) > distressShare*ended
}

// count takes the end of an attempt into the recent shares. Tests of suspected
// endpoints are left out, because their failures would call for more tests.
func (s *Scheduler) count(now time.Time, o Outcome) {
	if o == OutcomeNone || o == OutcomeUnreachable {
		return
	}
	age := now.Sub(s.countedAt)
	s.ended = decay(s.ended, age, distressMemory) + 1
	s.lost = decay(s.lost, age, distressMemory)
	if o == OutcomeFailed || o == OutcomeBroken || o == OutcomeSilent {
		s.lost++
	}
	s.countedAt = now
}

// waitGain is the least gain in the probability of failure for which a request waits
// for another endpoint than a free one.
const waitGain = 0.2

// worthWaiting reports whether a request should wait for a slot elsewhere although t
// is free. An endpoint that fails at once is always free: it would drain the queue
// while all others, suspected or not, are busy.
func (s *Scheduler) worthWaiting(now time.Time, a Ask, t *seat) bool {
	if !now.Before(s.lastResort(a)) {
		return false
	}
	risk := s.failing(now, t)
	return slices.ContainsFunc(s.order, func(other *seat) bool {
		return other.open(a) && s.failing(now, other) < risk-waitGain
	})
}

// lastResort returns when a waiting request takes any endpoint.
func (s *Scheduler) lastResort(a Ask) time.Time {
	return a.Deadline.Add(-time.Duration(lastResortFactor * float64(s.service)))
}

// best returns the endpoint with a free slot and the lowest cost, among those that
// are suspected or those that are not.
func (s *Scheduler) best(now time.Time, a Ask, suspects bool) *seat {
	var best *seat
	lowest := 0.0
	offset := 0
	if len(s.order) > 0 {
		offset = s.random.IntN(len(s.order))
	}
	for i := range s.order {
		t := s.order[(i+offset)%len(s.order)]
		if !t.free(now, a) {
			continue
		}
		risk := s.failing(now, t)
		if risk >= suspected != suspects {
			continue
		}
		if cost := s.cost(now, a, t, risk); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

func (s *Scheduler) cost(now time.Time, a Ask, t *seat, risk float64) float64 {
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
	return cost - staleBonus(now, a, t)
}

const (
	// unusedPause leaves the first request at a new endpoint to one that can be sent
	// again, if there is any.
	unusedPause = 1500 * time.Millisecond
	// stalePause is the time without work after which an endpoint is drawn into use
	// again: the platform asks for requests at most endpoints of a service within 2 s.
	stalePause = time.Second
)

// staleBonus lowers the cost of endpoints that have had no work for some time. It
// answers a failure of the endpoints in use: work that is concentrated on few of them
// would have nowhere else to go.
func staleBonus(now time.Time, a Ask, t *seat) float64 {
	idle, pause := now.Sub(t.lastUsed), stalePause
	if t.lastUsed.IsZero() {
		idle, pause = now.Sub(t.joined), unusedPause
		if a.Repeatable {
			pause = 0
		}
	}
	if idle < pause {
		return 0
	}
	return unusedWeight
}

// failing returns the probability that an attempt at the endpoint fails. Attempts
// that are overdue count before they end: an endpoint that hangs reports nothing.
func (s *Scheduler) failing(now time.Time, t *seat) float64 {
	p := t.belief.value(now)
	if p >= overdueFailing || t.inFlight == 0 {
		return p
	}
	overdue := 0
	for _, since := range t.since {
		if now.Sub(since) > overdueFactor*s.service {
			overdue++
		}
	}
	switch {
	case overdue >= 2:
		return overdueFailing
	case overdue == 1:
		return max(p, suspected)
	}
	return p
}

const (
	// suspected is the belief from which an endpoint gets work only as a trial, or
	// when nothing else is left.
	suspected = 0.3
	// trialPause is the least time between a failed trial of an endpoint and the next.
	trialPause = time.Second
	// trialRoom times the mean service time must be left of the aim, so that a
	// failed trial does no harm.
	trialRoom = 1.6
)

// trial lets a request that can be sent again test a suspected endpoint, so that
// its capacity returns when its bad spell has ended.
func (s *Scheduler) trial(now time.Time, a Ask) *seat {
	if !a.Repeatable || a.Again || a.Moved || a.Aim.Sub(now) < time.Duration(trialRoom*float64(s.service)) {
		return nil
	}
	for _, t := range s.order {
		if t.open(a) && t.inFlight == 0 && !now.Before(t.nextTrial) && t.belief.value(now) >= suspected {
			return t
		}
	}
	return nil
}

func (s *Scheduler) grant(now time.Time, a Ask, t *seat) Decision {
	t.inFlight++
	t.since = append(t.since, now)
	t.lastUsed = now
	s.grants[a.Token] = grant{
		seat: t, since: now, expires: a.Deadline.Add(grantSlack), test: t.belief.value(now) >= suspected,
	}
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
	s.release(g)
	s.learn(now, g.seat, o, elapsed)
	if !g.test {
		s.count(now, o)
	}
	if o == OutcomeServed {
		s.service += time.Duration(serviceStep * float64(elapsed-s.service))
	}
	return s.Advance(now)
}

// learn takes the outcome of an attempt as evidence about the endpoint.
func (s *Scheduler) learn(now time.Time, t *seat, o Outcome, elapsed time.Duration) {
	slow := elapsed > time.Duration(slowFactor*float64(s.service))
	if slow && (o == OutcomeServed || o == OutcomeExpired) {
		o = OutcomeSlow
	}
	t.belief.observe(now, o)
	t.observeShed(now, o == OutcomeShed)
	if o != OutcomeServed && o != OutcomeNone {
		t.nextTrial = now.Add(trialPause)
	}
}

// Observe takes evidence about an endpoint whose attempt this view did not count.
func (s *Scheduler) Observe(now time.Time, id string, o Outcome) {
	if t, found := s.seats[id]; found {
		s.learn(now, t, o, 0)
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

// withdraw removes a waiting request.
func (s *Scheduler) withdraw(token uint64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.ask.Token == token })
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

// possible reports whether any waiting request can be decided now: there is a free
// slot at an endpoint that is not suspected, an endpoint to test, or a request whose
// time is short.
func (s *Scheduler) possible(now time.Time) bool {
	lowest, lowestFree := 1.0, 1.0
	for _, t := range s.order {
		if t.leaving {
			continue
		}
		risk := s.failing(now, t)
		lowest = min(lowest, risk)
		if t.inFlight >= t.capacity(now) {
			continue
		}
		lowestFree = min(lowestFree, risk)
		if t.inFlight == 0 && !now.Before(t.nextTrial) {
			return true
		}
	}
	if lowestFree < max(suspected, lowest+waitGain) {
		return true
	}
	due, waiting := s.NextDue()
	return waiting && !now.Before(due)
}

// arrange orders the waiting requests. Each lowestShare-th place goes to the lowest
// rank, so that a burst or retry abuse of one kind of request starves no other.
func (s *Scheduler) arrange(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b waiter) int { return s.compare(now, a.ask, b.ask) })
	if s.served%lowestShare != lowestShare-1 {
		return
	}
	last := s.waiting[len(s.waiting)-1].ask.Priority
	first := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.ask.Priority == last })
	w := s.waiting[first]
	s.waiting = slices.Insert(slices.Delete(s.waiting, first, first+1), 0, w)
}

// NextDue returns when a waiting request must be looked at, or false if none waits.
func (s *Scheduler) NextDue() (time.Time, bool) {
	var earliest time.Time
	for _, w := range s.waiting {
		if due := s.lastResort(w.ask); earliest.IsZero() || due.Before(earliest) {
			earliest = due
		}
	}
	return earliest, !earliest.IsZero()
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
