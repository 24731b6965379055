package once

// ClaimantState is the state of a recorded claim as its claimant reports it.
type ClaimantState string

// The states that a claimant reports.
const (
	// ClaimantRunning: the claim is requested, claimed or sending.
	ClaimantRunning ClaimantState = "running"
	// ClaimantAbandoned: the request has not run and will not be sent under the
	// claim, or its outcome is already recorded.
	ClaimantAbandoned ClaimantState = "abandoned"
	// ClaimantAnswered: the response is known and not yet recorded.
	ClaimantAnswered ClaimantState = "answered"
	// ClaimantUnknown: the request may have run.
	ClaimantUnknown ClaimantState = "unknown"
	// ClaimantUnreachable: the process that made the claim did not reply.
	ClaimantUnreachable ClaimantState = "unreachable"
)

// ClaimantReply is a claimant's reply to a query about one of its claims.
type ClaimantReply struct {
	State    ClaimantState `msgpack:"state"`
	Response *Response     `msgpack:"response"`
}

// NewClaimantReply returns the claimant's reply for a claim. A nil claim means that
// the process no longer knows the claim, and is reported as abandoned: a process
// keeps every claim that may still be sent or whose outcome is not yet recorded.
func NewClaimantReply(c *Claim) ClaimantReply {
	if c == nil {
		return ClaimantReply{State: ClaimantAbandoned}
	}
	switch c.State() {
	case ClaimAbandoned:
		return ClaimantReply{State: ClaimantAbandoned}
	case ClaimAnswered:
		return ClaimantReply{State: ClaimantAnswered, Response: c.Response()}
	case ClaimUnknown:
		return ClaimantReply{State: ClaimantUnknown}
	default:
		return ClaimantReply{State: ClaimantRunning}
	}
}

// Step is the next step of a resubmission after the claimant's reply.
type Step string

// The steps of a resubmission.
const (
	// StepConclude: the verdict ends the submission.
	StepConclude Step = "conclude"
	// StepWait: query the claimant again, until the caller's deadline.
	StepWait Step = "wait"
	// StepTakeOver: claim the key again with AbandonedClaim set to the abandoned claim.
	StepTakeOver Step = "take-over"
)

// Resubmit decides the next step of a submission whose key is held by another
// claim, given the reply of that claim's claimant. The verdict is only valid
// with StepConclude.
func (c *Claim) Resubmit(reply ClaimantReply, deadlinePassed bool) (Step, Verdict) {
	switch {
	case reply.State == ClaimantAnswered && reply.Response != nil:
		c.Reject(Evidence{}, ReasonRecorded)
		return StepConclude, Answered(*reply.Response)
	case reply.State == ClaimantAbandoned && !deadlinePassed:
		return StepTakeOver, Verdict{}
	case reply.State == ClaimantAbandoned:
		return StepConclude, c.Reject(Evidence{}, ReasonDeadline)
	case reply.State == ClaimantRunning && !deadlinePassed:
		return StepWait, Verdict{}
	case reply.State == ClaimantRunning:
		return StepConclude, c.Reject(Evidence{}, ReasonRunning)
	case reply.State == ClaimantUnknown:
		return StepConclude, c.Reject(Evidence{}, ReasonRecorded)
	default:
		return StepConclude, c.Reject(Evidence{}, ReasonClaimantUnreachable)
	}
}

// QueryVerdict returns the verdict of an outcome query for a record in
// StateClaimed, given its claimant's reply.
func QueryVerdict(reply ClaimantReply) Verdict {
	switch {
	case reply.State == ClaimantAnswered && reply.Response != nil:
		return Answered(*reply.Response)
	case reply.State == ClaimantRunning:
		return Unknown(ReasonRunning)
	case reply.State == ClaimantUnreachable:
		return Unknown(ReasonClaimantUnreachable)
	default:
		// An abandoned claim has not run, but its record may have been settled or
		// taken over by another claim in the meantime.
		return Unknown(ReasonRecorded)
	}
}
