package once

// Outcome is the final outcome of a non-repeatable request, sent to the client
// in the header Carawayhold-Outcome.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// Reason is why a submission was not sent to an endpoint.
type Reason string

// The reasons.
const (
	// ReasonNoKey: the request has no idempotency key (status 400).
	ReasonNoKey Reason = "no-key"
	// ReasonBadKey: the service requires UUIDv7 keys, and the key is not one or
	// has a creation time more than ClockMargin in the future (400).
	ReasonBadKey Reason = "bad-key"
	// ReasonTooOld: the timed key is older than the retention.
	ReasonTooOld Reason = "key-too-old"
	// ReasonMismatch: the key was used for another request (422).
	ReasonMismatch Reason = "fingerprint-mismatch"
	// ReasonRecorded: the record holds this outcome.
	ReasonRecorded Reason = "recorded"
	// ReasonRunning: an earlier submission is still running.
	ReasonRunning Reason = "still-running"
	// ReasonClaimantUnreachable: an earlier submission may be running in a
	// process that cannot be reached.
	ReasonClaimantUnreachable Reason = "claimant-unreachable"
	// ReasonUnavailable: the platform cannot be reached (503).
	ReasonUnavailable Reason = "platform-unavailable"
	// ReasonOverloaded: a queue of this process is full (503).
	ReasonOverloaded Reason = "overloaded"
	// ReasonFull: the partition has no room for another record (503).
	ReasonFull Reason = "partition-full"
	// ReasonDeadline: the caller's deadline passed before the request was sent.
	ReasonDeadline Reason = "deadline"
	// ReasonNotSent: no endpoint accepted the request.
	ReasonNotSent Reason = "not-sent"
	// ReasonAbsent: there is no record of the key.
	ReasonAbsent Reason = "no-record"
	// ReasonInvalid: the submission has an invalid field.
	ReasonInvalid Reason = "invalid"
)

// Evidence holds the facts that prove that no submission of a key has run. One
// of them is enough.
type Evidence struct {
	// NotRun means that the record, read or written after the submission
	// arrived, shows that no claim of the key had run.
	NotRun bool
	// FirstSubmission means that the caller declared that it had never submitted
	// the key before and that no intermediary resends requests.
	FirstSubmission bool
}

// Verdict is the final outcome of a submission or an outcome query.
type Verdict struct {
	outcome  Outcome
	reason   Reason
	response *Response
}

// Outcome returns the outcome. It is empty for a submission that may be sent.
func (v Verdict) Outcome() Outcome { return v.outcome }

// Reason returns why the submission was not sent.
func (v Verdict) Reason() Reason { return v.reason }

// Response returns the recorded response; it is nil unless the outcome is
// answered. A response with Incomplete set must not be replayed as complete.
func (v Verdict) Response() *Response { return v.response }

// WithoutKey returns the verdict for a request without an idempotency key,
// which is never sent.
func WithoutKey() Verdict { return Verdict{outcome: OutcomeNotRun, reason: ReasonNoKey} }

// Answered returns the verdict for a response from a record or a claimant.
func Answered(response Response) Verdict {
	return Verdict{outcome: OutcomeAnswered, reason: ReasonRecorded, response: &response}
}

// Unknown returns the verdict for a key that may have run.
func Unknown(reason Reason) Verdict { return Verdict{outcome: OutcomeUnknown, reason: reason} }

// VerdictFor returns the verdict of a decision that ends the claim's submission,
// and abandons the claim. It returns false for DecisionGranted and DecisionHeld.
func (c *Claim) VerdictFor(d Decision) (Verdict, bool) {
	// FirstSubmission is not used: the record overrides the caller's declaration.
	evidence := Evidence{NotRun: d.NotRun()}
	switch d.Kind {
	case DecisionGranted, DecisionHeld:
		return Verdict{}, false
	case DecisionAnswered:
		c.Reject(Evidence{}, ReasonRecorded)
		return Answered(*d.Response), true
	case DecisionMismatch:
		// The key may have run with its first fingerprint. A caller that encodes
		// the same request differently must not get the outcome not-run.
		return c.Reject(evidence, ReasonMismatch), true
	case DecisionFull:
		return c.Reject(evidence, ReasonFull), true
	case DecisionBadKey:
		return c.Reject(evidence, ReasonBadKey), true
	case DecisionTooOld:
		return c.Reject(evidence, ReasonTooOld), true
	case DecisionReleased:
		return c.Reject(evidence, ReasonNotSent), true
	default:
		return c.Reject(evidence, ReasonRecorded), true
	}
}

// LookupVerdict returns the verdict of a lookup, and false for DecisionHeld.
func LookupVerdict(d Decision) (Verdict, bool) {
	switch d.Kind {
	case DecisionHeld:
		return Verdict{}, false
	case DecisionAnswered:
		return Answered(*d.Response), true
	case DecisionReleased:
		return Verdict{outcome: OutcomeNotRun, reason: ReasonRecorded}, true
	case DecisionAbsent:
		// A submission in transit may still claim the key.
		return Unknown(ReasonAbsent), true
	default:
		return Unknown(ReasonRecorded), true
	}
}
