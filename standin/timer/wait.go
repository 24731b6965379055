// Package timer provides timer helpers for the test programs.
package timer

import (
	"context"
	"time"
)

// Wait blocks for the given duration and reports false if the context ended first.
func Wait(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
