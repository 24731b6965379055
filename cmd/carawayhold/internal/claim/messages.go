package claim

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// The topics that Coordinator.Serve answers.
const (
	TopicClaim  = peer.TopicOnceClaim
	TopicSettle = peer.TopicOnceSettle
	TopicQuery  = peer.TopicOnceQuery
)

// GrantCall is the payload of once.claim.
type GrantCall struct {
	Service    string            `msgpack:"service"`
	Partitions int               `msgpack:"partitions"`
	Request    once.ClaimRequest `msgpack:"request"`
	// RemainingMillis is the time in milliseconds after which nobody waits for
	// the reply.
	RemainingMillis int64 `msgpack:"remainingMillis"`
}

// GrantReply is the reply to once.claim. The decision is valid if Problem is empty.
type GrantReply struct {
	Decision once.Decision `msgpack:"decision"`
	Problem  string        `msgpack:"problem"`
	// NotRun means that the home proxy read the record for this call and it
	// showed that no claim of the key had run.
	NotRun bool `msgpack:"neverRan"`
	// InDoubt means, with a problem, that the claim may have been written.
	InDoubt bool `msgpack:"inDoubt"`
}

// SettleCall is the payload of once.settle.
type SettleCall struct {
	Service         string          `msgpack:"service"`
	Partitions      int             `msgpack:"partitions"`
	Settlement      once.Settlement `msgpack:"settlement"`
	RemainingMillis int64           `msgpack:"remainingMillis"`
}

// SettleReply is the reply to once.settle.
type SettleReply struct {
	Result  once.SettleResult `msgpack:"result"`
	Problem string            `msgpack:"problem"`
}

// QueryCall is the payload of once.query, sent to the claimant.
type QueryCall struct {
	Claim once.ClaimID `msgpack:"claim"`
	// Claimant is the incarnation that the caller believes it is talking to.
	Claimant string `msgpack:"claimant"`
	// WaitMillis is how long, in milliseconds, the claimant may wait for the
	// claim to end before it replies.
	WaitMillis int64 `msgpack:"waitMillis"`
}

// QueryReply is the reply to once.query.
type QueryReply struct {
	Reply once.ClaimantReply `msgpack:"reply"`
}

// Errors of an operation that was not decided. A write may have taken effect.
var (
	// ErrUnavailable means that the platform gave no usable answer.
	ErrUnavailable = eris.New("once: platform unavailable")
	// ErrOverloaded means that a queue is full.
	ErrOverloaded = eris.New("once: queue full")
	// ErrStopped means that the coordinator is not running.
	ErrStopped = eris.New("once: coordinator not running")
	// ErrCall means that a peer sent an invalid message.
	ErrCall = eris.New("once: invalid call")
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
