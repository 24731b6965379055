package once

// Outcome is the final outcome of a non-repeatable request, as in the header
// Carawayhold-Outcome.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// Reason says why a submission was not sent to an endpoint.
type Reason string

// The reasons.
const (
	// ReasonNoKey: the request has no idempotency key (status 400).
	ReasonNoKey Reason = "no-key"
	// ReasonBadKey: the service wants UUIDv7 keys of about now (400).
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
	// process that cannot be asked.
	ReasonClaimantUnreachable Reason = "claimant-unreachable"
	// ReasonUnavailable: the platform cannot be reached (503).
	ReasonUnavailable Reason = "platform-unavailable"
	// ReasonOverloaded: a queue of this process is full (503).
	ReasonOverloaded Reason = "overloaded"
	// ReasonFull: the partition has no room for another record (503).
	ReasonFull Reason = "partition-full"
	// ReasonDeadline: the caller's deadline passed before the request was sent.
	ReasonDeadline Reason = "deadline"
	// ReasonNotSent: no endpoint took the request.
	ReasonNotSent Reason = "not-sent"
	// ReasonAbsent: there is no record of the key.
	ReasonAbsent Reason = "no-record"
	// ReasonInvalid: the submission has an invalid field.
	ReasonInvalid Reason = "invalid"
)

// Evidence is what a submission may rely on to say that a key has not run.
type Evidence struct {
	// NotRun means that the record, read or written after the submission
	// arrived, showed that no claim of the key had run.
	NotRun bool
	// FirstSubmission means that the caller declared that it had never submitted the key
	// before, and that nothing between the caller and the proxy resends.
	FirstSubmission bool
}

// Verdict is the final outcome of a submission or an outcome query.
type Verdict struct {
	outcome  Outcome
	reason   Reason
	response *Response
}

// Outcome returns the outcome; it is empty for a submission that may be sent.
func (v Verdict) Outcome() Outcome { return v.outcome }

// Reason returns why the outcome was reached without sending.
func (v Verdict) Reason() Reason { return v.reason }

// Response returns the recorded response; it is nil unless the outcome is
// answered. A response with Incomplete set cannot be replayed as complete.
func (v Verdict) Response() *Response { return v.response }

// WithoutKey returns the verdict for a request without an idempotency key,
// which is never sent.
func WithoutKey() Verdict { return Verdict{outcome: OutcomeNotRun, reason: ReasonNoKey} }

// Answered returns the verdict for a recorded or remembered response.
func Answered(response Response) Verdict {
	return Verdict{outcome: OutcomeAnswered, reason: ReasonRecorded, response: &response}
}

// Unknown returns the verdict for a key that may have run.
func Unknown(reason Reason) Verdict { return Verdict{outcome: OutcomeUnknown, reason: reason} }

// VerdictFor returns the verdict of a decision that ends the submission of the
// claim, and false for DecisionGranted and DecisionHeld.
func (c *Claim) VerdictFor(d Decision) (Verdict, bool) {
	// A caller that declares a first submission is not believed when the record
	// shows an earlier one.
	evidence := Evidence{NotRun: d.NotRun()}
	switch d.Kind {
	case DecisionGranted, DecisionHeld:
		return Verdict{}, false
	case DecisionAnswered:
		c.Reject(Evidence{}, ReasonRecorded)
		return Answered(*d.Response), true
	case DecisionMismatch:
		// The key may have run with its first fingerprint, so not-run would be
		// wrong for a caller who encodes the same booking differently.
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
		// A submission that is on its way may still be claimed.
		return Unknown(ReasonAbsent), true
	default:
		return Unknown(ReasonRecorded), true
	}
}
