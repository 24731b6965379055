package placement

import (
	"slices"
	"time"
)

// Rest records that an endpoint wants no requests from a proxy until a time, and returns
// the decisions about waiting requests. The proxy stays excluded until the latest such time
// or until another process with the ID of the endpoint starts. A rest is no evidence of a
// failure, and the endpoint stays available to other proxies.
func (s *Scheduler) Rest(now time.Time, id string, start int64, proxy string, until time.Time) []Decision {
	t, found := s.targets[id]
	if !found || t.endpoint.start != start || !until.After(now) || !until.After(t.rests[proxy]) {
		return nil
	}
	if t.rests == nil {
		t.rests = map[string]time.Time{}
	}
	t.rests[proxy] = until
	s.resting[t] = struct{}{}
	return s.refuseHopeless(now)
}

// restsFor reports whether the endpoint wants no requests from the proxy now.
func (t *target) restsFor(now time.Time, proxy string) bool {
	return len(t.rests) > 0 && now.Before(t.rests[proxy])
}

// endRests forgets rests that have ended.
func (s *Scheduler) endRests(now time.Time) {
	for t := range s.resting {
		for proxy, until := range t.rests {
			if !now.Before(until) {
				delete(t.rests, proxy)
			}
		}
		if len(t.rests) == 0 {
			delete(s.resting, t)
		}
	}
}

// clearRests ends the rests of an endpoint, whose process has ended.
func (s *Scheduler) clearRests(t *target) {
	t.rests = nil
	delete(s.resting, t)
}

// restEnd returns the earliest time at which a rest ends that keeps the request from an
// endpoint, and false if there is none.
func (s *Scheduler) restEnd(now time.Time, req Request) (time.Time, bool) {
	var earliest time.Time
	for t := range s.resting {
		if !t.restsFor(now, req.Proxy) || !t.usable(req) {
			continue
		}
		if until := t.rests[req.Proxy]; earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
}

// nextRestEnd returns the earliest time at which any rest ends, and false if there is none.
func (s *Scheduler) nextRestEnd() (time.Time, bool) {
	var earliest time.Time
	for t := range s.resting {
		for _, until := range t.rests {
			if earliest.IsZero() || until.Before(earliest) {
				earliest = until
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// waitForRest returns the time until a request is served whose proxy all usable endpoints
// keep away. Callers that are refused at the same time return one after another.
func (s *Scheduler) waitForRest(now, end time.Time) time.Duration {
	return end.Sub(now) + time.Duration(s.random.Float64()*float64(s.meanServiceTime))
}

// mayAwaitRest reports whether a request that all usable endpoints keep away may wait for the end of
// the first rest. One that an endpoint has turned away already is refused, so that its caller decides
// what to do with the time left.
func (s *Scheduler) mayAwaitRest(req Request, end time.Time) bool {
	return !req.Retry && !end.Add(s.minServiceTime()).After(req.Deadline)
}

// refuseHopeless refuses waiting requests that no endpoint can serve before their deadline,
// because all have left or rest for too long.
func (s *Scheduler) refuseHopeless(now time.Time) []Decision {
	if len(s.resting) == 0 && !s.totalRoom.empty() {
		return nil
	}
	var decisions []Decision
	for _, c := range s.classes {
		for _, late := range []bool{false, true} {
			for _, w := range slices.Clone(*c.list(late)) {
				if d, refused := s.refuseIfHopeless(now, w.request); refused {
					decisions = append(decisions, d)
				}
			}
		}
	}
	return decisions
}

func (s *Scheduler) refuseIfHopeless(now time.Time, req Request) (Decision, bool) {
	if _, all := s.roomFor(now, req); !all.empty() {
		return Decision{}, false
	}
	reason, after := ReasonNoEndpoint, s.meanServiceTime
	if end, resting := s.restEnd(now, req); resting {
		if s.mayAwaitRest(req, end) {
			return Decision{}, false
		}
		reason, after = ReasonRest, s.waitForRest(now, end)
	}
	s.dequeue(req.Token)
	return s.refuse(now, req, reason, after), true
}
