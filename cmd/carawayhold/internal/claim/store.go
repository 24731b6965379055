package claim

import (
	"context"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

// Store is the part of the platform client that the coordinator uses. Its
// methods return the errors of package platform.
type Store interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	Put(ctx context.Context, name string, expect int64, value []byte) (int64, error)
}

// Peers sends requests to other proxies, which handle them with
// Coordinator.Serve.
type Peers interface {
	// Self returns this process's incarnation.
	Self() string
	// Homes returns up to count incarnations of live members, by descending
	// rendezvous weight for the name. The result may contain Self.
	Homes(name string, count int) []string
	// Request sends a payload to an incarnation and returns its reply. It fails if
	// the process at the address is another incarnation.
	Request(ctx context.Context, incarnation, topic string, payload []byte) ([]byte, error)
}
