package operator

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

// Store is the part of the platform's object API that the server uses.
// *platform.Client implements it.
type Store interface {
	// Get returns the object, or platform.ErrNotFound, or platform.ErrUnavailable.
	Get(ctx context.Context, name string) (platform.Object, error)
	// Put writes the object if its version equals expect, where 0 means that it does
	// not exist, and returns the new version. After platform.ErrConflict nothing was
	// written; after any other error the write may have taken effect.
	Put(ctx context.Context, name string, expect int64, value []byte) (int64, error)
}

// StatusSource returns the state of this proxy and what it knows of the others.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// EndpointSource returns how this proxy rates the endpoints of a service.
type EndpointSource interface {
	// Endpoints returns the endpoints of the service, and false if this proxy does
	// not know the service.
	Endpoints(ctx context.Context, service string) ([]EndpointStatus, bool, error)
}

// Clock provides the time of audit entries and the waits between attempts.
type Clock interface {
	Now() time.Time
	// Sleep waits for length. It returns the context's error if the context ends
	// first.
	Sleep(ctx context.Context, length time.Duration) error
}

// SystemClock is a Clock that uses the system time.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for length. It returns the context's error if the context ends first.
func (SystemClock) Sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
