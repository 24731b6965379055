package once

// ClaimantState is what a claimant says about a recorded claim of its own.
type ClaimantState string

// The states that a claimant reports.
const (
	// ClaimantRunning: the claim is requested, claimed or sending.
	ClaimantRunning ClaimantState = "running"
	// ClaimantAbandoned: nothing was sent under the claim and nothing ever will
	// be, or the outcome is in the record.
	ClaimantAbandoned ClaimantState = "abandoned"
	// ClaimantAnswered: the response is known and not yet recorded.
	ClaimantAnswered ClaimantState = "answered"
	// ClaimantUnknown: the request may have run.
	ClaimantUnknown ClaimantState = "unknown"
	// ClaimantUnreachable: nobody answered for the claimant's incarnation.
	ClaimantUnreachable ClaimantState = "unreachable"
)

// ClaimantReply is a claimant's statement about one claim.
type ClaimantReply struct {
	State    ClaimantState `msgpack:"state"`
	Response *Response     `msgpack:"response"`
}

// Report returns what a claimant says about a claim. A nil claim is one that
// the process does not remember: it remembers every claim that may still be
// sent or whose outcome is not recorded, so a forgotten one is neither.
func Report(c *Claim) ClaimantReply {
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

// Step is what a resubmission does after its claimant was asked.
type Step string

// The steps of a resubmission.
const (
	// StepConclude: the verdict ends the submission.
	StepConclude Step = "conclude"
	// StepWait: ask the claimant again until the caller's deadline.
	StepWait Step = "wait"
	// StepTakeOver: claim again, naming the abandoned claim.
	StepTakeOver Step = "take-over"
)

// Resubmit decides the next step of a submission whose key is held by another
// claim, from that claimant's reply.
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

// QueryVerdict returns the verdict of an outcome query for a claimed record,
// from its claimant's reply.
func QueryVerdict(reply ClaimantReply) Verdict {
	switch {
	case reply.State == ClaimantAnswered && reply.Response != nil:
		return Answered(*reply.Response)
	case reply.State == ClaimantRunning:
		return Unknown(ReasonRunning)
	case reply.State == ClaimantUnreachable:
		return Unknown(ReasonClaimantUnreachable)
	default:
		// An abandoned claim has not run, but its record may already be settled or
		// taken over by another.
		return Unknown(ReasonRecorded)
	}
}
