package once

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Errors that callers test with errors.Is.
var (
	// ErrClaimState means that the claim's state does not allow the step.
	ErrClaimState = eris.New("once: the claim's state does not allow this step")
	// ErrSendDeadline means that the time to send under the claim is over.
	ErrSendDeadline = eris.New("once: the time to send under the claim is over")
)

// ClaimState is the state of a claim in the memory of its claimant.
type ClaimState string

// The states of a claim.
const (
	// ClaimRequested: the claim may be in the record, but is not known to be.
	ClaimRequested ClaimState = "requested"
	// ClaimClaimed: the claim is in the record and nothing reached an endpoint.
	ClaimClaimed ClaimState = "claimed"
	// ClaimSending: bytes may have reached an endpoint.
	ClaimSending ClaimState = "sending"
	// ClaimAbandoned: nothing was sent and nothing ever will be.
	ClaimAbandoned ClaimState = "abandoned"
	// ClaimAnswered: the backend's complete response is known.
	ClaimAnswered ClaimState = "answered"
	// ClaimUnknown: the request may have run; an answer may still arrive.
	ClaimUnknown ClaimState = "unknown"
)

var claimTransitions = map[ClaimState][]ClaimState{
	ClaimRequested: {ClaimClaimed, ClaimAbandoned},
	ClaimClaimed:   {ClaimSending, ClaimAbandoned},
	ClaimSending:   {ClaimClaimed, ClaimAnswered, ClaimUnknown},
	ClaimUnknown:   {ClaimAnswered},
}

// Claim is the state machine of one claim in the process that made it. It is
// not safe for concurrent use.
type Claim struct {
	id          ClaimID
	key         Key
	fingerprint Fingerprint
	// sendBefore is the time after which nothing may be sent under the claim.
	sendBefore time.Time
	state      ClaimState
	response   *Response
	// mayHaveRun and abandoned repeat what the transitions should guarantee;
	// the invariants are checked against them.
	mayHaveRun bool
	abandoned  bool
	invariants *Invariants
}

// NewClaim returns a claim in ClaimRequested. Nothing may be sent under it
// after sendBefore, which should be the request's own deadline.
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

// ID returns the claim's id.
func (c *Claim) ID() ClaimID { return c.id }

// Key returns the key that the claim is for.
func (c *Claim) Key() Key { return c.key }

// Fingerprint returns the fingerprint that the claim was made with.
func (c *Claim) Fingerprint() Fingerprint { return c.fingerprint }

// State returns the claim's state.
func (c *Claim) State() ClaimState { return c.state }

// Response returns the backend's response, or nil unless the state is ClaimAnswered.
func (c *Claim) Response() *Response { return c.response }

// Grant records that the claim is known to be in the record.
func (c *Claim) Grant() error { return c.move(ClaimClaimed, ClaimRequested) }

// BeginSend must succeed before the first byte is written to an endpoint.
func (c *Claim) BeginSend(now time.Time) error {
	// The wall clock is compared, because the monotonic clock stands still
	// while a VM is suspended.
	if now.Round(0).After(c.sendBefore.Round(0)) {
		return eris.Wrapf(ErrSendDeadline, "claim %s", c.id)
	}
	if err := c.move(ClaimSending, ClaimClaimed); err != nil {
		return err
	}
	c.invariants.check(!c.mayHaveRun, InvariantSingleSend, "claim %s of key %s", c.id, c.key)
	c.mayHaveRun = true
	return nil
}

// MarkNotSent records that the attempt ended without a byte written, or that
// the endpoint declared that it did not run the request. Another endpoint may
// be tried under the claim.
func (c *Claim) MarkNotSent() error {
	if err := c.move(ClaimClaimed, ClaimSending); err != nil {
		return err
	}
	c.mayHaveRun = false
	return nil
}

// Answer records the backend's complete response, also after MarkUnknown.
func (c *Claim) Answer(response Response) error {
	if err := c.move(ClaimAnswered, ClaimSending, ClaimUnknown); err != nil {
		return err
	}
	c.response = &response
	return nil
}

// MarkUnknown records that the request may have run and no complete response arrived.
func (c *Claim) MarkUnknown() error { return c.move(ClaimUnknown, ClaimSending) }

// Abandon records that nothing was sent and nothing will be. It succeeds again
// for an abandoned claim.
func (c *Claim) Abandon() error {
	if c.state == ClaimAbandoned {
		return nil
	}
	return c.move(ClaimAbandoned, ClaimRequested, ClaimClaimed)
}

// Reject ends the submission before anything was sent: it abandons the claim
// and returns not-run if the evidence allows it, and unknown otherwise.
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

// Settlement returns what the record should say about the claim, and false
// while it has not ended.
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

func (c *Claim) move(next ClaimState, from ...ClaimState) error {
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
