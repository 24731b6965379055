package placement

import "time"

// surplusEndpoint returns a suspected endpoint for a repeatable request that would be refused for want
// of slots, or nil. In an overload such requests cost nobody a slot: a failing endpoint fails most
// of them at once and serves the others, and one whose bad spell has ended is found without delay.
// An endpoint that may hang is left out, because a caller that is refused at once is better off
// than one that waits in vain, and so is a request that must not run twice.
func (s *Scheduler) surplusEndpoint(now time.Time, req Request) *target {
	if !req.Repeatable || req.Retry || req.NoProbe || now.Add(s.meanServiceTime).After(req.SoftDeadline) {
		return nil
	}
	var best *target
	list := s.suspects.list
	if len(list) == 0 {
		return nil
	}
	offset := s.random.IntN(len(list))
	for i := range min(suspectSamples, len(list)) {
		t := list[(offset+i)%len(list)]
		if t.inFlight >= t.capacity || t.overdue > 0 || t.hangs || !t.eligible(now, req) || !t.open(now) {
			continue
		}
		if best == nil || t.risk < best.risk {
			best = t
		}
	}
	return best
}

// grantSurplus grants an attempt that counts as a refusal unless it is served. wait is the time after
// which the caller may return if the endpoint does not run it.
func (s *Scheduler) grantSurplus(now time.Time, req Request, t *target, wait time.Duration) Decision {
	d := s.grant(now, req, t)
	g := s.grants[req.Token]
	g.surplus = true
	s.grants[req.Token] = g
	d.Reason, d.RetryAfter = ReasonSurplus, wait
	return d
}

// observeHang records whether attempts at the endpoint last until they are given up. Only a response
// or a failure at once ends that.
func (t *target) observeHang(o Outcome) {
	switch o {
	case OutcomeTimeout, OutcomeExpired, OutcomeSlow:
		t.hangs = true
	case OutcomeServed, OutcomeFailed, OutcomeBroken:
		t.hangs = false
	case OutcomeNone, OutcomeShed, OutcomeUnreachable:
	}
}
