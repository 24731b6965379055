package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type waiter struct {
	request Request
	late    bool // it is in the list of requests that will miss their soft deadline
}

func compareDeadlines(a, b *waiter) int {
	if c := a.request.Deadline.Compare(b.request.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.request.Token, b.request.Token)
}

// priorityClass holds the waiting requests of one priority in two lists by deadline.
// Those that can still meet their soft deadline are served first: if an overloaded
// service used the order of arrival, all requests would wait so long that every
// response is late.
type priorityClass struct {
	priority int
	onTime   []*waiter
	late     []*waiter
}

func (c *priorityClass) list(late bool) *[]*waiter {
	if late {
		return &c.late
	}
	return &c.onTime
}

func (c *priorityClass) len() int { return len(c.onTime) + len(c.late) }

func (c *priorityClass) insert(w *waiter) {
	list := c.list(w.late)
	i, _ := slices.BinarySearchFunc(*list, w, compareDeadlines)
	*list = slices.Insert(*list, i, w)
}

func (c *priorityClass) remove(w *waiter) {
	list := c.list(w.late)
	if i, found := slices.BinarySearchFunc(*list, w, compareDeadlines); found {
		*list = slices.Delete(*list, i, i+1)
	}
}

// at returns the i-th waiter in the order of service.
func (c *priorityClass) at(i int) *waiter {
	if i < len(c.onTime) {
		return c.onTime[i]
	}
	return c.late[i-len(c.onTime)]
}

// classOf returns the class of a priority and creates it if necessary.
func (s *Scheduler) classOf(priority int) *priorityClass {
	i, found := slices.BinarySearchFunc(s.classes, priority, func(c *priorityClass, p int) int { return c.priority - p })
	if !found {
		s.classes = slices.Insert(s.classes, i, &priorityClass{priority: priority})
	}
	return s.classes[i]
}

// demote moves requests that can no longer meet their soft deadline to the late list.
// It checks the heads of the lists only.
func (s *Scheduler) demote(now time.Time) {
	for _, c := range s.classes {
		for len(c.onTime) > 0 && s.isLate(now, c.onTime[0].request) {
			w := c.onTime[0]
			c.remove(w)
			w.late = true
			c.insert(w)
		}
	}
}

// isLate reports whether a response to req would probably miss its soft deadline.
func (s *Scheduler) isLate(now time.Time, req Request) bool {
	return now.Add(time.Duration(softDeadlineFactor * float64(s.meanServiceTime))).After(req.SoftDeadline)
}

// requestsAhead returns the number of waiting requests that are served before req.
func (s *Scheduler) requestsAhead(now time.Time, req Request) int {
	if len(s.waiting) == 0 {
		return 0
	}
	s.demote(now)
	n := 0
	for _, c := range s.classes {
		if c.priority > req.Priority {
			break
		}
		if c.priority < req.Priority {
			n += c.len()
			continue
		}
		late := s.isLate(now, req)
		if late {
			n += len(c.onTime)
		}
		i, _ := slices.BinarySearchFunc(*c.list(late), &waiter{request: req}, compareDeadlines)
		n += i
	}
	return n
}

// enqueue adds req to the queue, or refuses it at once if it is unlikely to get a slot
// in time. During a burst, requests that cannot be served must not wait.
func (s *Scheduler) enqueue(now time.Time, req Request, ahead int) Decision {
	wait, found := s.expectedWait(now, req, ahead)
	if !found {
		end, resting := s.restEnd(now, req)
		if !resting {
			return s.refuse(now, req, ReasonNoEndpoint, s.meanServiceTime)
		}
		wait = s.waitForRest(now, end)
		if !s.mayAwaitRest(req, now.Add(wait)) {
			return s.refuse(now, req, ReasonRest, wait)
		}
	}
	if _, found := s.nextOpening(); found {
		s.heldByLimits++
	}
	limit := max(minQueueLimit, queueLimitPerSlot*s.totalRoom.slots)
	if len(s.waiting) >= limit || now.Add(wait+s.minServiceTime()).After(req.Deadline) {
		return s.refuseForTime(now, req, wait)
	}
	w := &waiter{request: req, late: s.isLate(now, req)}
	if (w.late || s.isLate(now.Add(wait), req)) && s.overloaded(now) {
		return s.refuseForTime(now, req, wait)
	}
	if found && wait > s.meanServiceTime && s.mustRefuse(now) {
		return s.refuseInOverload(now, req, wait)
	}
	if len(s.waiting) == 0 {
		s.queueSince = now
	}
	s.waiting[req.Token] = w
	s.classOf(req.Priority).insert(w)
	return Decision{Token: req.Token, Proxy: req.Proxy, Verdict: Queued, RetryAfter: wait}
}

// standingAfter is the time from which a queue that was never empty is not the effect of a random
// burst.
const standingAfter = time.Second

// mustRefuse reports whether requests have waited without a break for standingAfter and more
// arrive than end. A longer queue serves no more of them then: a short one keeps all slots in use,
// and in a long one each request spends the time for which its response has its full benefit.
func (s *Scheduler) mustRefuse(now time.Time) bool {
	stood := now.Sub(s.queueSince)
	if len(s.waiting) == 0 || stood < standingAfter {
		return false
	}
	// Random deviations average out while the queue stands.
	return s.arrivalsExceedEnds(now, overloadMinDeviations/math.Sqrt(stood.Seconds()))
}

// maxOverloadHint bounds the time after which callers are asked to return.
const maxOverloadHint = 5 * time.Second

// refuseInOverload refuses a request of a queue that stands. The overload is expected to last as
// long again as it has lasted, and callers that are refused at the same time return spread over
// that time.
func (s *Scheduler) refuseInOverload(now time.Time, req Request, wait time.Duration) Decision {
	lasts := min(now.Sub(s.queueSince), maxOverloadHint)
	return s.refuseForTime(now, req, wait+time.Duration(s.random.Float64()*float64(lasts)))
}

// refuseForTime refuses a request that will not get a slot in time, unless it may be spent on a
// suspected endpoint. If rate limits bind at
// all healthy endpoints, callers that are refused at the same time return one after
// another, as the limits allow.
func (s *Scheduler) refuseForTime(now time.Time, req Request, wait time.Duration) Decision {
	if t := s.surplusEndpoint(now, req); t != nil {
		return s.grantSurplus(now, req, t, wait)
	}
	if s.healthyRoom.slots > 0 || s.healthyRoom.empty() {
		return s.refuse(now, req, ReasonNoTime, wait)
	}
	wait = max(wait, s.healthyRoom.wait(len(s.waiting)+1, s.meanServiceTime))
	return s.refuse(now, req, ReasonRateLimit, wait+time.Duration(s.random.Float64()*float64(wait)))
}

// expectedWait returns the time until a slot is free for req, and false if no endpoint
// may be used for it.
func (s *Scheduler) expectedWait(now time.Time, req Request, ahead int) (time.Duration, bool) {
	available, all := s.roomFor(now, req)
	if available.slots == 0 {
		// Suspected endpoints serve requests again within seconds, or as a last resort.
		available = all
	}
	if available.empty() {
		return 0, false
	}
	return available.wait(ahead+1, s.meanServiceTime), true
}

// roomFor returns the room that req may use, at healthy endpoints and at all endpoints.
func (s *Scheduler) roomFor(now time.Time, req Request) (healthy, all room) {
	healthy, all = s.healthyRoom, s.totalRoom
	for i, id := range req.Avoid {
		t, found := s.targets[id]
		if !found || t.draining || slices.Contains(req.Avoid[:i], id) {
			continue
		}
		all.add(t.counted, -1)
		if t.position[setHealthy] > 0 {
			healthy.add(t.counted, -1)
		}
	}
	for t := range s.resting {
		if !t.restsFor(now, req.Proxy) || !t.usable(req) {
			continue
		}
		all.add(t.counted, -1)
		if t.position[setHealthy] > 0 {
			healthy.add(t.counted, -1)
		}
	}
	return healthy, all
}

func (s *Scheduler) minServiceTime() time.Duration {
	return time.Duration(minServiceShare * float64(s.meanServiceTime))
}

// lastResortTime returns the time from which a waiting request may use any endpoint.
func (s *Scheduler) lastResortTime(req Request) time.Time {
	return req.Deadline.Add(-time.Duration(lastResortFactor * float64(s.meanServiceTime)))
}

// dequeue removes a waiting request.
func (s *Scheduler) dequeue(token uint64) {
	if w, found := s.waiting[token]; found {
		delete(s.waiting, token)
		s.classOf(w.request.Priority).remove(w)
	}
}

// canDecide reports whether a waiting request may be decided now: there is a free slot
// at a healthy endpoint or, in an overload, at one that regains trust, a probe candidate, no
// healthy endpoint at all, or a request past its lastResortTime.
func (s *Scheduler) canDecide(now time.Time) bool {
	if len(s.available.list) > 0 || len(s.probeCandidates) > 0 || len(s.healthy.list) == 0 {
		return true
	}
	if len(s.regaining.list) > 0 && s.mustRefuse(now) {
		return true
	}
	due, waiting := s.nextLastResortTime()
	return waiting && !now.Before(due)
}

// refuseUnservable refuses waiting requests that are too close to their deadline.
func (s *Scheduler) refuseUnservable(now time.Time) []Decision {
	var decisions []Decision
	latest := now.Add(s.minServiceTime())
	if s.overloaded(now) {
		decisions = s.refuseLate(now)
	}
	for _, c := range s.classes {
		for _, late := range []bool{false, true} {
			list := c.list(late)
			for len(*list) > 0 && latest.After((*list)[0].request.Deadline) {
				req := (*list)[0].request
				s.dequeue(req.Token)
				decisions = append(decisions, s.refuseForTime(now, req, s.meanServiceTime))
			}
		}
	}
	return decisions
}

// refuseLate refuses waiting requests that can no longer meet their soft deadline. In a
// lasting overload, they would wait until their deadline for slots that others get
// first, and make the requests behind them late in turn.
func (s *Scheduler) refuseLate(now time.Time) []Decision {
	var decisions []Decision
	s.demote(now)
	for _, c := range s.classes {
		for len(c.late) > 0 {
			req := c.late[0].request
			s.dequeue(req.Token)
			decisions = append(decisions, s.refuseForTime(now, req, s.meanServiceTime))
		}
	}
	return decisions
}

// lookAhead is the number of waiting requests that are tried for a slot in one
// decision. They differ only in the endpoints that they avoid.
const lookAhead = 4

// restLookAhead is that number while endpoints rest for some proxies, whose requests must
// not keep those of other proxies waiting.
const restLookAhead = 64

// next returns the waiting request that gets a slot now and its endpoint, or nil. Every
// lowestPriorityInterval-th grant goes to the lowest priority, so that a burst or
// excessive retries of one kind of request starve no other.
func (s *Scheduler) next(now time.Time) (*waiter, *target) {
	s.demote(now)
	tried, most := 0, lookAhead
	if len(s.resting) > 0 {
		most = restLookAhead
	}
	if s.queueGrants%lowestPriorityInterval == lowestPriorityInterval-1 {
		for _, c := range slices.Backward(s.classes) {
			if c.len() > 0 {
				if t := s.choose(now, c.at(0).request); t != nil {
					return c.at(0), t
				}
				break
			}
		}
	}
	for _, c := range s.classes {
		for i := 0; i < c.len() && tried < most; i++ {
			tried++
			if t := s.choose(now, c.at(i).request); t != nil {
				return c.at(i), t
			}
		}
	}
	return s.nextLastResort(now)
}

// nextLastResort returns a waiting request that may use any endpoint now, and its
// endpoint.
func (s *Scheduler) nextLastResort(now time.Time) (*waiter, *target) {
	for _, c := range s.classes {
		for _, late := range []bool{false, true} {
			list := *c.list(late)
			if len(list) == 0 || now.Before(s.lastResortTime(list[0].request)) {
				continue
			}
			if t := s.choose(now, list[0].request); t != nil {
				return list[0], t
			}
		}
	}
	return nil, nil
}

// NextDue returns the time at which a waiting request needs a decision, or false if
// none waits.
func (s *Scheduler) NextDue() (time.Time, bool) {
	if len(s.waiting) == 0 {
		return time.Time{}, false
	}
	due, _ := s.nextLastResortTime()
	if opening, found := s.nextOpening(); found && opening.Before(due) {
		due = opening
	}
	if end, found := s.nextRestEnd(); found && end.Before(due) {
		due = end
	}
	return due, true
}

// nextLastResortTime returns the earliest time from which a waiting request may use any
// endpoint, or false if none waits.
func (s *Scheduler) nextLastResortTime() (time.Time, bool) {
	var earliest time.Time
	for _, c := range s.classes {
		for _, late := range []bool{false, true} {
			list := *c.list(late)
			if len(list) == 0 {
				continue
			}
			if due := s.lastResortTime(list[0].request); earliest.IsZero() || due.Before(earliest) {
				earliest = due
			}
		}
	}
	return earliest, !earliest.IsZero()
}
