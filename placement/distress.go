package placement

import (
	"math"
	"time"
)

const (
	// distressShare of failed attempts is the share from which endpoints are kept in
	// use although they are suspected, the tenth at which the platform asks for
	// requests at most endpoints within 2 s.
	distressShare = 0.1
	// distressPause is the time after a failure before an endpoint is tested then.
	distressPause = time.Second
	// distressLeast is the number of recent attempts that a share needs.
	distressLeast = 8.0
	// distressMemory is the time constant with which ended attempts are forgotten.
	distressMemory = time.Second
)

// distressed reports whether many attempts have failed or were refused lately.
func (s *Scheduler) distressed(now time.Time) bool {
	judged := s.judged.now(now)
	return judged >= distressLeast && s.lost.now(now) > distressShare*judged
}

// count takes the end of an attempt into the recent shares. Tests of suspected
// endpoints are left out, because their failures would call for more tests.
func (s *Scheduler) count(now time.Time, o Outcome) {
	if o == OutcomeNone || o == OutcomeUnreachable {
		return
	}
	s.judged.add(now)
	if o == OutcomeFailed || o == OutcomeBroken || o == OutcomeTimeout {
		s.lost.add(now)
	}
}

// countRefused takes a refusal into them: the platform asks for work at most endpoints
// also while requests are refused.
func (s *Scheduler) countRefused(now time.Time) {
	s.judged.add(now)
	s.lost.add(now)
}

const (
	// overloadFactor times the attempts that end is the demand from which a service has
	// more work than it can do.
	overloadFactor = 1.1
	// overloadDeviations is the number of standard deviations by which the demand must
	// be larger, because a service with little work has bursts by chance.
	overloadDeviations = 2
)

// overloaded reports whether requests wait and more arrive than end.
func (s *Scheduler) overloaded(now time.Time) bool {
	if len(s.waiting) == 0 {
		return false
	}
	asked, done := s.asked.now(now), s.done.now(now)
	return asked > overloadFactor*done+overloadDeviations*math.Sqrt(asked)
}

// rate counts events of late.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) now(now time.Time) float64 { return decay(r.value, now.Sub(r.at), distressMemory) }

func (r *rate) add(now time.Time) { r.value, r.at = r.now(now)+1, now }

// muchLostLeast is the number of attempts lost lately from which distress is certain
// enough to test suspected endpoints, whatever the others do: a few failures are a
// tenth of the attempts of a service with little work.
const muchLostLeast = 5.0

// muchLost reports whether many attempts were lost lately, not only a large share.
func (s *Scheduler) muchLost(now time.Time) bool {
	return s.lost.now(now) >= muchLostLeast
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
	s.refresh(now)
	return float64(s.unused) > neglectedShare*float64(len(s.well.list)+len(s.suspects.list))
}
