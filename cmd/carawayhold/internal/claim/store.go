package claim

import (
	"context"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

// Store is the part of the platform client that the coordinator uses. Errors
// are those of package platform.
type Store interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	Put(ctx context.Context, name string, expect int64, value []byte) (int64, error)
}

// Peers calls other proxies. A peer serves the topics with Coordinator.Serve.
type Peers interface {
	// Self returns this process's incarnation.
	Self() string
	// Homes returns up to count incarnations of live members, in the order of
	// their rendezvous weights for the name; it may contain Self.
	Homes(name string, count int) []string
	// Request sends a payload to exactly that incarnation and returns its reply.
	// It fails if another incarnation answers at the same address.
	Request(ctx context.Context, incarnation, topic string, payload []byte) ([]byte, error)
}
