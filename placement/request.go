package placement

import "time"

// Request asks for an endpoint for one attempt.
type Request struct {
	// Token identifies the attempt among those of all proxies.
	Token uint64
	// Proxy and Zone are those of the proxy that will send the attempt.
	Proxy string
	Zone  string
	// Repeatable is set if the request may be sent again after a failure.
	Repeatable bool
	// Retry marks a further attempt that draws on the retry budget.
	Retry bool
	// Rerouted marks a further attempt after one that reached no endpoint. It does not
	// draw on the retry budget.
	Rerouted bool
	// NoProbe keeps the attempt from probing a suspected endpoint.
	NoProbe bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// SoftDeadline is the time until which a response has its full benefit.
	SoftDeadline time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Avoid lists the IDs of endpoints that the attempt must not use.
	Avoid []string
}

// Verdict is the kind of a Decision. Only Queued is not final.
type Verdict uint8

// The kinds of a decision.
const (
	// Granted means that the attempt may be sent to Decision.Endpoint.
	Granted Verdict = iota + 1
	// Queued means that a grant or a refusal follows.
	Queued
	// Refused means that the request cannot be served in time.
	Refused
)

// Reason explains a decision in logs and metrics.
type Reason string

// The reasons of refusals, and of a grant.
const (
	ReasonNone       Reason = ""
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonNoTime     Reason = "no_slot_before_deadline"
	ReasonBudget     Reason = "retry_budget_spent"
	// ReasonRateLimit means that rate limits bound what the endpoints can serve in time.
	ReasonRateLimit Reason = "rate_limit"
	// ReasonRest means that all endpoints want no requests from the proxy.
	ReasonRest Reason = "endpoints_rest"
	// ReasonSurplus is the reason of a grant to a request that would have been refused otherwise.
	ReasonSurplus Reason = "surplus"
)

// Decision is the response to a Request.
type Decision struct {
	Token              uint64
	Proxy              string
	Verdict            Verdict
	Reason             Reason
	Endpoint           Endpoint
	FailureProbability float64
	RetryAfter         time.Duration
}

// Surplus reports whether the request would have been refused for want of slots otherwise. Its
// attempt is the only one: another would spend the retry budget and the slots of others.
func (d Decision) Surplus() bool { return d.Verdict == Granted && d.Reason == ReasonSurplus }

// Suspected reports whether the endpoint was suspected when it was granted.
func (d Decision) Suspected() bool { return d.FailureProbability >= suspicionThreshold }
