package placement

import (
	"slices"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	ask Ask
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
	s.waiting = append(s.waiting, waiter{ask: a})
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

// lastResort returns when a waiting request takes any endpoint.
func (s *Scheduler) lastResort(a Ask) time.Time {
	return a.Deadline.Add(-time.Duration(lastResortFactor * float64(s.service)))
}

// withdraw removes a waiting request.
func (s *Scheduler) withdraw(token uint64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.ask.Token == token })
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
