// Package timer has the waits that the stand-ins share.
package timer

import (
	"context"
	"time"
)

// Wait waits for the given time and reports false if the context ended first.
func Wait(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
