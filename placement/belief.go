package placement

import (
	"math"
	"time"
)

// Outcome is the end of an attempt as evidence about the endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeNone is no evidence: the caller left or the request was not sent.
	OutcomeNone Outcome = iota
	// OutcomeServed is a complete response other than a server error.
	OutcomeServed
	// OutcomeFailed is a server error.
	OutcomeFailed
	// OutcomeShed is a declared refusal; the request was not run.
	OutcomeShed
	// OutcomeBroken is a reset or a malformed, foreign or truncated response.
	OutcomeBroken
	// OutcomeTimeout is a response that did not come in time.
	OutcomeTimeout
	// OutcomeUnreachable means that no connection could be opened.
	OutcomeUnreachable
	// OutcomeExpired is the endpoint's own answer that the time was over.
	OutcomeExpired
	// OutcomeSlow is a response that took much longer than usual.
	OutcomeSlow
)

var outcomeNames = [...]string{
	"none", "served", "failed", "shed", "broken", "silent", "unreachable", "expired", "slow",
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

const (
	// priorFailing is the share of endpoints that fail at any time when nothing
	// is known: the platform's pages describe spells of several seconds.
	priorFailing = 0.2
	// spellMemory is the time constant with which evidence fades, in the order of
	// the length of a spell.
	spellMemory = 2500 * time.Millisecond
	// The bounds keep a belief correctable by few observations.
	leastFailing = 0.02
	mostFailing  = 0.98
)

// likelihood of an outcome at an endpoint that fails, relative to one that is well.
// A failing endpoint fails most, not all, of its requests.
var likelihood = map[Outcome]float64{
	OutcomeServed:      0.3,
	OutcomeFailed:      40,
	OutcomeBroken:      8,
	OutcomeTimeout:     15,
	OutcomeUnreachable: 6,
	OutcomeSlow:        3,
}

// belief is the probability that an endpoint fails its requests. It answers gray
// failures whose health path reports that all is well: one server error is nearly
// conclusive, and what was learnt fades because spells end.
type belief struct {
	failing float64
	at      time.Time
}

func newBelief(now time.Time) belief { return belief{failing: priorFailing, at: now} }

// value returns the probability at now.
func (b *belief) value(now time.Time) float64 {
	age := now.Sub(b.at)
	if age <= 0 {
		return b.failing
	}
	return priorFailing + (b.failing-priorFailing)*math.Exp(-float64(age)/float64(spellMemory))
}

// observe takes the outcome of an attempt.
func (b *belief) observe(now time.Time, o Outcome) {
	ratio, found := likelihood[o]
	if !found {
		return
	}
	p := b.value(now)
	odds := p / (1 - p) * ratio
	b.failing = min(mostFailing, max(leastFailing, odds/(1+odds)))
	b.at = now
}

// set replaces the belief by one that another view has formed.
func (b *belief) set(now time.Time, failing float64) {
	b.failing = min(mostFailing, max(leastFailing, failing))
	b.at = now
}
