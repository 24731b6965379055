package placement

import (
	"time"
)

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

// muchLostLeast is the number of attempts lost lately from which distress is certain
// enough to test suspected endpoints, whatever the others do: a few failures are a
// tenth of the attempts of a service with little work.
const muchLostLeast = 5.0

// muchLost reports whether many attempts were lost lately, not only a large share.
func (s *Scheduler) muchLost(now time.Time) bool {
	return decay(s.lost, now.Sub(s.countedAt), distressMemory) >= muchLostLeast
}

const (
	// neglectedAfter is the time without work from which an endpoint counts as unused,
	// half of that in which the platform asks for requests at most endpoints.
	neglectedAfter = time.Second
	// neglectedShare of unused endpoints is half of the share that the platform allows.
	neglectedShare = 0.15
)

// neglected reports whether many endpoints have had no work lately.
func (s *Scheduler) neglected(now time.Time) bool {
	all, unused := 0, 0
	for _, t := range s.order {
		if t.leaving {
			continue
		}
		all++
		if t.inFlight == 0 && now.Sub(t.lastUsed) > neglectedAfter {
			unused++
		}
	}
	return float64(unused) > neglectedShare*float64(all)
}
