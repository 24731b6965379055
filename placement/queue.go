package placement

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	ask  Request
	late bool // it is in the list of those that cannot meet their aim
}

func compareDeadlines(a, b *waiter) int {
	if c := a.ask.Deadline.Compare(b.ask.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.ask.Token, b.ask.Token)
}

// rank holds the waiting requests of one priority, each list by deadline. Those that
// can still meet their aim go first. It answers an overload: served in the order of
// arrival, all requests would wait so long that each one is late.
type rank struct {
	priority int
	onTime   []*waiter
	late     []*waiter
}

func (r *rank) list(late bool) *[]*waiter {
	if late {
		return &r.late
	}
	return &r.onTime
}

func (r *rank) len() int { return len(r.onTime) + len(r.late) }

func (r *rank) insert(w *waiter) {
	list := r.list(w.late)
	i, _ := slices.BinarySearchFunc(*list, w, compareDeadlines)
	*list = slices.Insert(*list, i, w)
}

func (r *rank) remove(w *waiter) {
	list := r.list(w.late)
	if i, found := slices.BinarySearchFunc(*list, w, compareDeadlines); found {
		*list = slices.Delete(*list, i, i+1)
	}
}

// at returns the waiter at a place of the order in which they are served.
func (r *rank) at(i int) *waiter {
	if i < len(r.onTime) {
		return r.onTime[i]
	}
	return r.late[i-len(r.onTime)]
}

// rankOf returns the waiting requests of a priority.
func (s *Scheduler) rankOf(priority int) *rank {
	i, found := slices.BinarySearchFunc(s.ranks, priority, func(r *rank, p int) int { return r.priority - p })
	if !found {
		s.ranks = slices.Insert(s.ranks, i, &rank{priority: priority})
	}
	return s.ranks[i]
}

// demote moves requests that reach the head of those that can meet their aim and no
// longer can.
func (s *Scheduler) demote(now time.Time) {
	for _, r := range s.ranks {
		for len(r.onTime) > 0 && s.isLate(now, r.onTime[0].ask) {
			w := r.onTime[0]
			r.remove(w)
			w.late = true
			r.insert(w)
		}
	}
}

// isLate reports whether a response would probably come after the aim.
func (s *Scheduler) isLate(now time.Time, a Request) bool {
	return now.Add(time.Duration(aimFactor * float64(s.service))).After(a.SoftDeadline)
}

// ahead returns the number of waiting requests that go before a.
func (s *Scheduler) ahead(now time.Time, a Request) int {
	if len(s.waiting) == 0 {
		return 0
	}
	s.demote(now)
	n := 0
	for _, r := range s.ranks {
		if r.priority > a.Priority {
			break
		}
		if r.priority < a.Priority {
			n += r.len()
			continue
		}
		late := s.isLate(now, a)
		if late {
			n += len(r.onTime)
		}
		i, _ := slices.BinarySearchFunc(*r.list(late), &waiter{ask: a}, compareDeadlines)
		n += i
	}
	return n
}

// enqueue lets a wait for a slot behind those ahead of it, or refuses it at once if
// none is likely in time. It answers bursts: a request that cannot be served must not
// wait.
func (s *Scheduler) enqueue(now time.Time, a Request, ahead int) Decision {
	wait, possible := s.expectedWait(a, ahead)
	if !possible {
		return s.refuse(now, a, ReasonNoEndpoint, s.service)
	}
	limit := max(queueLeast, queuePerSlot*s.slots)
	if len(s.waiting) >= limit || now.Add(wait+s.leastService()).After(a.Deadline) {
		return s.refuse(now, a, ReasonNoTime, wait)
	}
	w := &waiter{ask: a, late: s.isLate(now, a)}
	if (w.late || s.isLate(now.Add(wait), a)) && s.overloaded(now) {
		return s.refuse(now, a, ReasonNoTime, wait)
	}
	s.waiting[a.Token] = w
	s.rankOf(a.Priority).insert(w)
	return Decision{Token: a.Token, Proxy: a.Proxy, Verdict: Queued, RetryAfter: wait}
}

// expectedWait returns the time until a slot is free for a, and false if there is
// no endpoint for it at all.
func (s *Scheduler) expectedWait(a Request, ahead int) (time.Duration, bool) {
	well, all := s.slotsFor(a)
	if well == 0 {
		well = all
	}
	if well == 0 {
		return 0, false
	}
	return time.Duration(float64(s.service) * float64(ahead+1) / float64(well)), true
}

// slotsFor counts the slots of the endpoints that a may use: of those that are not
// suspected, and of all.
func (s *Scheduler) slotsFor(a Request) (well, all int) {
	well, all = s.wellSlots, s.slots
	for i, id := range a.Avoid {
		t, found := s.seats[id]
		if !found || t.leaving || slices.Contains(a.Avoid[:i], id) {
			continue
		}
		all -= t.capacity
		if t.place[setWell] > 0 {
			well -= t.capacity
		}
	}
	return well, all
}

func (s *Scheduler) leastService() time.Duration {
	return time.Duration(hopefulShare * float64(s.service))
}

// lastResort returns when a waiting request takes any endpoint.
func (s *Scheduler) lastResort(a Request) time.Time {
	return a.Deadline.Add(-time.Duration(lastResortFactor * float64(s.service)))
}

// withdraw removes a waiting request.
func (s *Scheduler) withdraw(token uint64) {
	if w, found := s.waiting[token]; found {
		delete(s.waiting, token)
		s.rankOf(w.ask.Priority).remove(w)
	}
}

// possible reports whether any waiting request can be decided now: there is a free
// slot at an endpoint that is not suspected, an endpoint to test, no endpoint that is
// not suspected, or a request whose time is short.
func (s *Scheduler) possible(now time.Time) bool {
	if len(s.ready.list) > 0 || len(s.tests) > 0 || len(s.well.list) == 0 {
		return true
	}
	due, waiting := s.NextDue()
	return waiting && !now.Before(due)
}

// refuseHopeless refuses waiting requests whose time is too short.
func (s *Scheduler) refuseHopeless(now time.Time) []Decision {
	var decisions []Decision
	latest := now.Add(s.leastService())
	if s.overloaded(now) {
		decisions = s.refuseLate(now)
	}
	for _, r := range s.ranks {
		for _, late := range []bool{false, true} {
			list := r.list(late)
			for len(*list) > 0 && latest.After((*list)[0].ask.Deadline) {
				a := (*list)[0].ask
				s.withdraw(a.Token)
				decisions = append(decisions, s.refuse(now, a, ReasonNoTime, s.service))
			}
		}
	}
	return decisions
}

// refuseLate refuses waiting requests that can no longer meet their aim. It answers an
// overload that goes on: those behind them would be late in their turn, and they would
// wait until their deadline for slots that others get first.
func (s *Scheduler) refuseLate(now time.Time) []Decision {
	var decisions []Decision
	s.demote(now)
	for _, r := range s.ranks {
		for len(r.late) > 0 {
			a := r.late[0].ask
			s.withdraw(a.Token)
			decisions = append(decisions, s.refuse(now, a, ReasonNoTime, s.service))
		}
	}
	return decisions
}

// lookAhead is the number of waiting requests that are tried for a slot in one
// decision. They differ only in the endpoints that they avoid.
const lookAhead = 4

// next returns the waiting request that gets a slot now and its endpoint, or nil. Each
// lowestShare-th place goes to the lowest rank, so that a burst or retry abuse of one
// kind of request starves no other.
func (s *Scheduler) next(now time.Time) (*waiter, *seat) {
	s.demote(now)
	tried := 0
	if s.served%lowestShare == lowestShare-1 {
		for _, r := range slices.Backward(s.ranks) {
			if r.len() > 0 {
				if t := s.choose(now, r.at(0).ask); t != nil {
					return r.at(0), t
				}
				break
			}
		}
	}
	for _, r := range s.ranks {
		for i := 0; i < r.len() && tried < lookAhead; i++ {
			tried++
			if t := s.choose(now, r.at(i).ask); t != nil {
				return r.at(i), t
			}
		}
	}
	return s.nextDue(now)
}

// nextDue returns a waiting request that takes any endpoint now.
func (s *Scheduler) nextDue(now time.Time) (*waiter, *seat) {
	for _, r := range s.ranks {
		for _, late := range []bool{false, true} {
			list := *r.list(late)
			if len(list) == 0 || now.Before(s.lastResort(list[0].ask)) {
				continue
			}
			if t := s.choose(now, list[0].ask); t != nil {
				return list[0], t
			}
		}
	}
	return nil, nil
}

// NextDue returns when a waiting request must be looked at, or false if none waits.
func (s *Scheduler) NextDue() (time.Time, bool) {
	var earliest time.Time
	for _, r := range s.ranks {
		for _, late := range []bool{false, true} {
			list := *r.list(late)
			if len(list) == 0 {
				continue
			}
			if due := s.lastResort(list[0].ask); earliest.IsZero() || due.Before(earliest) {
				earliest = due
			}
		}
	}
	return earliest, !earliest.IsZero()
}
