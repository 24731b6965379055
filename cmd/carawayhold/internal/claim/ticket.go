package claim

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/once"
)

// Ticket is a granted claim: the right to send a request to one endpoint at a
// time. It is safe for concurrent use.
type Ticket struct {
	partition partitionKey
	retention time.Duration
	claimedAt time.Time

	mu    sync.Mutex
	claim *once.Claim
	// done is closed when the claim becomes answered, abandoned or unknown.
	done       chan struct{}
	doneClosed bool
	// queued reports that the settlement is queued or being recorded.
	queued bool
}

// Key returns the key under which the submission is recorded.
func (t *Ticket) Key() once.Key { return t.claim.Key() }

// Claim returns the id of the claim, which is unique to this submission.
func (t *Ticket) Claim() once.ClaimID { return t.claim.ID() }

// State returns the claim's state in this process, which the record may not show
// yet.
func (t *Ticket) State() once.ClaimState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claim.State()
}

// BeginSend must succeed before the first byte of an attempt is written to an
// endpoint. It fails with once.ErrClaimState after the claim was abandoned and
// with once.ErrSendDeadline after the caller's deadline.
func (t *Ticket) BeginSend() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claim.BeginSend(time.Now())
}

// MarkNotSent records that the attempt failed before a byte was written, or that
// the endpoint declared that it did not run the request (X-Not-Run). Another
// attempt may then begin.
func (t *Ticket) MarkNotSent() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claim.MarkNotSent()
}

func (t *Ticket) report() once.ClaimantReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return once.NewClaimantReply(t.claim)
}

// closeDone closes done if the claim has ended. The caller must hold mu.
func (t *Ticket) closeDone() {
	switch t.claim.State() {
	case once.ClaimAbandoned, once.ClaimAnswered, once.ClaimUnknown:
	default:
		return
	}
	if !t.doneClosed {
		t.doneClosed = true
		close(t.done)
	}
}

// Completion is the result of the attempts made under a ticket.
type Completion struct {
	response *once.Response
	unknown  bool
	reason   once.Reason
}

// Answered means that the backend server's response was received completely. A
// ticket that was settled with Unknown may be settled with it afterwards.
func Answered(response once.Response) Completion { return Completion{response: &response} }

// Unknown means that a byte may have been written but that no complete response
// was received.
func Unknown() Completion { return Completion{unknown: true} }

// NotSent means that no byte was written, or that the endpoint declared that it
// did not run the request.
func NotSent(reason once.Reason) Completion { return Completion{reason: reason} }
