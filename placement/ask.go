package placement

import "time"

// Request asks for an endpoint for one attempt.
type Request struct {
	// Token identifies the attempt among those of all proxies.
	Token uint64
	// Proxy and Zone are those of the proxy that will send the attempt.
	Proxy string
	Zone  string
	// Repeatable requests may be sent again after a failure.
	Repeatable bool
	// Retry marks a further attempt that draws on the retry budget.
	Retry bool
	// Rerouted marks a further attempt after one that reached no endpoint.
	Rerouted bool
	// NoProbe keeps the attempt from probing a suspected endpoint.
	NoProbe bool
	// Priority is the rank of the request, 0 the highest.
	Priority int
	// SoftDeadline is the time until which a response earns its full benefit.
	SoftDeadline time.Time
	// Deadline is the time at which the caller leaves.
	Deadline time.Time
	// Avoid names endpoints that this proxy must or would not use.
	Avoid []string
}

// Verdict is the kind of a decision.
type Verdict uint8

// The verdicts.
const (
	// Granted names an endpoint.
	Granted Verdict = iota + 1
	// Queued means that a grant or a refusal follows.
	Queued
	// Refused means that the request cannot be served in time.
	Refused
)

// Reason explains a refusal in logs and metrics.
type Reason string

// The reasons of refusals.
const (
	ReasonNone       Reason = ""
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonNoTime     Reason = "no_slot_before_deadline"
	ReasonBudget     Reason = "retry_budget_spent"
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

// Suspected reports whether the endpoint was suspected when it was granted.
func (d Decision) Suspected() bool { return d.FailureProbability >= suspected }
