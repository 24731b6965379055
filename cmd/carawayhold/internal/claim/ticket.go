package claim

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/once"
)

// Ticket is a granted claim: the right to send one request to one endpoint. It
// is safe for concurrent use.
type Ticket struct {
	partition partitionKey
	retention time.Duration
	claimedAt time.Time

	mu    sync.Mutex
	claim *once.Claim
	// ended is closed when the claim is answered, abandoned or unknown.
	ended       chan struct{}
	endedClosed bool
	// queued means that the settlement is in the settlement queue or being sent.
	queued bool
}

// Key returns the key of the request.
func (t *Ticket) Key() once.Key { return t.claim.Key() }

// Claim returns the id of the claim.
func (t *Ticket) Claim() once.ClaimID { return t.claim.ID() }

// State returns the state of the claim.
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

// MarkNotSent records that the attempt ended without a byte written, or that
// the endpoint declared that it did not run the request (X-Not-Run). Another
// attempt may begin.
func (t *Ticket) MarkNotSent() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claim.MarkNotSent()
}

func (t *Ticket) report() once.ClaimantReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return once.Report(t.claim)
}

// closeEnded wakes those who wait for the end of the claim. The caller holds mu.
func (t *Ticket) closeEnded() {
	switch t.claim.State() {
	case once.ClaimAbandoned, once.ClaimAnswered, once.ClaimUnknown:
	default:
		return
	}
	if !t.endedClosed {
		t.endedClosed = true
		close(t.ended)
	}
}

// Ending is how the work under a ticket ended.
type Ending struct {
	response *once.Response
	lost     bool
	reason   once.Reason
}

// Answered is the end by the backend's complete response, also after Unknown.
func Answered(response once.Response) Ending { return Ending{response: &response} }

// Unknown is the end without a complete response after a byte may have been written.
func Unknown() Ending { return Ending{lost: true} }

// NotSent is the end before any byte was written.
func NotSent(reason once.Reason) Ending { return Ending{reason: reason} }
