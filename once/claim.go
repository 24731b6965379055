package once

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Errors that callers test with errors.Is.
var (
	// ErrClaimState means that the claim's state does not allow the transition.
	ErrClaimState = eris.New("once: claim state does not allow this transition")
	// ErrSendDeadline means that the deadline for sending under the claim has passed.
	ErrSendDeadline = eris.New("once: deadline for sending under the claim has passed")
)

// ClaimState is the state of a claim in the memory of its claimant.
type ClaimState string

// The states of a claim.
const (
	// ClaimRequested: it is not known yet whether the claim has been recorded.
	ClaimRequested ClaimState = "requested"
	// ClaimRecorded: the claim is recorded and the request has not run.
	ClaimRecorded ClaimState = "claimed"
	// ClaimSending: an endpoint may have received part of the request.
	ClaimSending ClaimState = "sending"
	// ClaimAbandoned: the request has not run and will not be sent under this claim.
	ClaimAbandoned ClaimState = "abandoned"
	// ClaimAnswered: the backend's complete response is known.
	ClaimAnswered ClaimState = "answered"
	// ClaimUnknown: the request may have run; its response may still arrive.
	ClaimUnknown ClaimState = "unknown"
)

var claimTransitions = map[ClaimState][]ClaimState{
	ClaimRequested: {ClaimRecorded, ClaimAbandoned},
	ClaimRecorded:  {ClaimSending, ClaimAbandoned},
	ClaimSending:   {ClaimRecorded, ClaimAnswered, ClaimUnknown},
	ClaimUnknown:   {ClaimAnswered},
}

// Claim is the state machine of one claim in the process that made it. It is
// not safe for concurrent use.
type Claim struct {
	id          ClaimID
	key         Key
	fingerprint Fingerprint
	// sendBefore is the time after which the request may not be sent.
	sendBefore time.Time
	state      ClaimState
	response   *Response
	// mayHaveRun and abandoned are kept independently of state, so that the
	// invariant checks detect a bug in the state machine.
	mayHaveRun bool
	abandoned  bool
	invariants *Invariants
}

// NewClaim returns a claim in ClaimRequested. The request may not be sent after
// sendBefore, which should be the request's own deadline.
func NewClaim(id ClaimID, key Key, fingerprint Fingerprint, sendBefore time.Time, invariants *Invariants) *Claim {
	return &Claim{
		id:          id,
		key:         key,
		fingerprint: fingerprint,
		sendBefore:  sendBefore,
		state:       ClaimRequested,
		invariants:  invariants,
	}
}

// ID returns the id under which the claim is recorded.
func (c *Claim) ID() ClaimID { return c.id }

// Key returns the claimed key.
func (c *Claim) Key() Key { return c.key }

// Fingerprint returns the fingerprint of the claimed request.
func (c *Claim) Fingerprint() Fingerprint { return c.fingerprint }

// State returns the state in this process; the record may be behind it.
func (c *Claim) State() ClaimState { return c.state }

// Response returns the backend's response, or nil unless the state is ClaimAnswered.
func (c *Claim) Response() *Response { return c.response }

// Grant moves the claim to ClaimRecorded. Call it when the claim is known to be recorded.
func (c *Claim) Grant() error { return c.transition(ClaimRecorded, ClaimRequested) }

// BeginSend must succeed before the first byte is written to an endpoint. The
// errors are ErrSendDeadline and ErrClaimState.
func (c *Claim) BeginSend(now time.Time) error {
	// Round(0) strips the monotonic reading: the monotonic clock stops while a
	// VM is suspended, the wall clock does not.
	if now.Round(0).After(c.sendBefore.Round(0)) {
		return eris.Wrapf(ErrSendDeadline, "claim %s", c.id)
	}
	if err := c.transition(ClaimSending, ClaimRecorded); err != nil {
		return err
	}
	c.invariants.check(!c.mayHaveRun, InvariantSingleSend, "claim %s of key %s", c.id, c.key)
	c.mayHaveRun = true
	return nil
}

// MarkNotSent records that the attempt failed before a byte was written, or
// that the endpoint declared that it did not run the request. The request may
// then be sent to another endpoint under the same claim.
func (c *Claim) MarkNotSent() error {
	if err := c.transition(ClaimRecorded, ClaimSending); err != nil {
		return err
	}
	c.mayHaveRun = false
	return nil
}

// MarkAnswered records the backend's complete response. A response that arrives after
// MarkUnknown is recorded too.
func (c *Claim) MarkAnswered(response Response) error {
	if err := c.transition(ClaimAnswered, ClaimSending, ClaimUnknown); err != nil {
		return err
	}
	c.response = &response
	return nil
}

// MarkUnknown records that the request may have run and no complete response arrived.
func (c *Claim) MarkUnknown() error { return c.transition(ClaimUnknown, ClaimSending) }

// Abandon records that the request has not run and will not be sent under this
// claim. It is idempotent.
func (c *Claim) Abandon() error {
	if c.state == ClaimAbandoned {
		return nil
	}
	return c.transition(ClaimAbandoned, ClaimRequested, ClaimRecorded)
}

// Reject ends a submission without sending the request. It abandons the claim and
// returns not-run if the evidence proves it, and unknown otherwise.
func (c *Claim) Reject(evidence Evidence, reason Reason) Verdict {
	if err := c.Abandon(); err != nil {
		return Verdict{outcome: OutcomeUnknown, reason: reason}
	}
	if !evidence.NotRun && !evidence.FirstSubmission {
		return Verdict{outcome: OutcomeUnknown, reason: reason}
	}
	if !c.invariants.check(!c.mayHaveRun, InvariantNotRun, "claim %s of key %s", c.id, c.key) {
		return Verdict{outcome: OutcomeUnknown, reason: reason}
	}
	return Verdict{outcome: OutcomeNotRun, reason: reason}
}

// Settlement returns the outcome to write to the claim's record, and false in the
// states ClaimRequested, ClaimRecorded and ClaimSending. The retention is counted
// from when the settlement is applied.
func (c *Claim) Settlement(retention time.Duration, claimedAt time.Time) (Settlement, bool) {
	s := Settlement{
		Key:             c.key,
		Claim:           c.id,
		RetentionMillis: retention.Milliseconds(),
		ClaimedMillis:   claimedAt.UnixMilli(),
	}
	switch c.state {
	case ClaimAnswered:
		s.State = StateAnswered
		s.Response = c.response
	case ClaimUnknown:
		s.State = StateUnknown
	case ClaimAbandoned:
		s.State = StateReleased
	default:
		return Settlement{}, false
	}
	return s, true
}

func (c *Claim) transition(next ClaimState, from ...ClaimState) error {
	if !slices.Contains(from, c.state) {
		return eris.Wrapf(ErrClaimState, "claim %s: %s to %s", c.id, c.state, next)
	}
	c.invariants.check(slices.Contains(claimTransitions[c.state], next), InvariantClaimState,
		"claim %s: %s to %s", c.id, c.state, next)
	c.invariants.check(!c.abandoned || next != ClaimSending, InvariantAbandoned, "claim %s of key %s", c.id, c.key)
	c.abandoned = c.abandoned || next == ClaimAbandoned
	c.state = next
	return nil
}
