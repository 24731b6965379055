package placement

import (
	"math"
	"time"
)

// Outcome is the result of an attempt as evidence about its endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeNone is no evidence: the caller left or the request was not sent.
	OutcomeNone Outcome = iota
	// OutcomeServed is a complete response other than a server error.
	OutcomeServed
	// OutcomeFailed is a server error.
	OutcomeFailed
	// OutcomeShed is an explicit rejection by the endpoint, which did not run the
	// request.
	OutcomeShed
	// OutcomeBroken is a connection reset or a malformed, foreign or truncated
	// response.
	OutcomeBroken
	// OutcomeTimeout means that no response came in time.
	OutcomeTimeout
	// OutcomeUnreachable means that no connection could be opened.
	OutcomeUnreachable
	// OutcomeExpired means that the endpoint itself reported an exceeded deadline.
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
	// priorFailureProbability is the share of endpoints that fail at any time, assumed
	// without evidence. The platform documents bad spells, periods of several seconds
	// in which an endpoint fails most of its requests.
	priorFailureProbability = 0.2
	// evidenceTimeConstant is the time constant with which evidence decays. It is of
	// the order of the length of a bad spell.
	evidenceTimeConstant = 2500 * time.Millisecond
	// The bounds let a few observations correct any estimate.
	minFailureProbability = 0.02
	maxFailureProbability = 0.98
)

// likelihoodRatio is the probability of an outcome at a failing endpoint relative to a
// healthy one. A failing endpoint fails most of its requests, but not all.
var likelihoodRatio = map[Outcome]float64{
	OutcomeServed:      0.3,
	OutcomeFailed:      40,
	OutcomeBroken:      8,
	OutcomeTimeout:     15,
	OutcomeUnreachable: 6,
	OutcomeSlow:        3,
}

// failureEstimate is the estimated probability that an endpoint fails its requests,
// updated by Bayes' rule. It detects gray failures, during which the health check
// passes: one server error is nearly conclusive. The estimate decays to the prior,
// because bad spells end.
type failureEstimate struct {
	probability float64
	at          time.Time
}

func newFailureEstimate(now time.Time) failureEstimate {
	return failureEstimate{probability: priorFailureProbability, at: now}
}

// value returns the probability at now.
func (e *failureEstimate) value(now time.Time) float64 {
	age := now.Sub(e.at)
	if age <= 0 {
		return e.probability
	}
	return priorFailureProbability + (e.probability-priorFailureProbability)*math.Exp(-float64(age)/float64(evidenceTimeConstant))
}

// observe updates the estimate with the outcome of an attempt.
func (e *failureEstimate) observe(now time.Time, o Outcome) {
	ratio, found := likelihoodRatio[o]
	if !found {
		return
	}
	p := e.value(now)
	odds := p / (1 - p) * ratio
	e.probability = min(maxFailureProbability, max(minFailureProbability, odds/(1+odds)))
	e.at = now
}

// set replaces the estimate by that of another view.
func (e *failureEstimate) set(now time.Time, probability float64) {
	e.probability = min(maxFailureProbability, max(minFailureProbability, probability))
	e.at = now
}
