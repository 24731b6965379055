package operator

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

// Store is the part of the platform's object API that the server needs.
// *platform.Client implements it.
type Store interface {
	// Get returns the object, or platform.ErrNotFound, or platform.ErrUnavailable.
	Get(ctx context.Context, name string) (platform.Object, error)
	// Put writes if the object has the version expect, 0 meaning that it does not
	// exist. After platform.ErrConflict nothing was written; after any other
	// error the write may have taken effect.
	Put(ctx context.Context, name string, expect int64, value []byte) (int64, error)
}

// StatusSource tells the state of this proxy and what it knows of the others.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// EndpointSource tells how this proxy sees the endpoints of a service.
type EndpointSource interface {
	// Endpoints returns the endpoints of the service and whether this proxy has
	// the service.
	Endpoints(ctx context.Context, service string) ([]EndpointStatus, bool, error)
}

// Clock gives the time for audit entries and waits between attempts.
type Clock interface {
	Now() time.Time
	// Sleep waits, or returns the context's error if that ends first.
	Sleep(ctx context.Context, length time.Duration) error
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits, or returns the context's error if that ends first.
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
