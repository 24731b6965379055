package claim

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// Topics of the requests that Coordinator.Serve handles.
const (
	TopicClaim  = peer.TopicOnceClaim
	TopicSettle = peer.TopicOnceSettle
	TopicQuery  = peer.TopicOnceQuery
)

// claimCall is the payload of once.claim.
type claimCall struct {
	Service    string            `msgpack:"service"`
	Partitions int               `msgpack:"partitions"`
	Request    once.ClaimRequest `msgpack:"request"`
	// RemainingMillis is how long the caller waits for the reply.
	RemainingMillis int64 `msgpack:"remainingMillis"`
}

// claimReply is the reply to once.claim. Decision is valid only if Problem, an
// error code, is empty.
type claimReply struct {
	Decision once.Decision `msgpack:"decision"`
	Problem  string        `msgpack:"problem"`
	// NotRun reports that the home proxy read the partition after it received
	// this call, and that the record showed that no claim of the key had run.
	NotRun bool `msgpack:"neverRan"`
	// InDoubt reports, if Problem is set, that the claim may have been written.
	InDoubt bool `msgpack:"inDoubt"`
}

// settleCall is the payload of once.settle.
type settleCall struct {
	Service         string          `msgpack:"service"`
	Partitions      int             `msgpack:"partitions"`
	Settlement      once.Settlement `msgpack:"settlement"`
	RemainingMillis int64           `msgpack:"remainingMillis"`
}

// settleReply is the reply to once.settle.
type settleReply struct {
	Result  once.SettleResult `msgpack:"result"`
	Problem string            `msgpack:"problem"`
}

// queryCall is the payload of once.query, sent to the claimant.
type queryCall struct {
	Claim once.ClaimID `msgpack:"claim"`
	// Claimant is the incarnation that holds the claim. Another incarnation at the
	// same address replies that the claimant is unreachable.
	Claimant string `msgpack:"claimant"`
	// WaitMillis is how long the claimant may wait for the claim to end before
	// it replies.
	WaitMillis int64 `msgpack:"waitMillis"`
}

// queryReply is the reply to once.query.
type queryReply struct {
	Reply once.ClaimantReply `msgpack:"reply"`
}

// Errors of operations without a decision. A write may nevertheless have been
// applied.
var (
	// ErrUnavailable means that the platform or a peer sent no usable response.
	ErrUnavailable = eris.New("once: platform unavailable")
	// ErrOverloaded means that the queue of the partition is full.
	ErrOverloaded = eris.New("once: queue full")
	ErrStopped    = eris.New("once: coordinator not running")
	// ErrInvalidCall means that a peer sent an invalid message.
	ErrInvalidCall = eris.New("once: invalid call")
)

const (
	problemUnavailable = "unavailable"
	problemOverloaded  = "overloaded"
	problemStopped     = "stopped"
)

func problemOf(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, ErrOverloaded):
		return problemOverloaded
	case errors.Is(err, ErrStopped):
		return problemStopped
	default:
		return problemUnavailable
	}
}

func errorOf(problem string) error {
	switch problem {
	case "":
		return nil
	case problemOverloaded:
		return ErrOverloaded
	case problemStopped:
		return ErrStopped
	default:
		return ErrUnavailable
	}
}
