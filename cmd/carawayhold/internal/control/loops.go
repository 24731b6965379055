package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// runAll runs all loops until ctx ends or one of them fails, and returns
// after all have ended.
func runAll(ctx context.Context, loops []func(context.Context) error) error {
	group, loopCtx := errgroup.WithContext(ctx)
	for _, loop := range loops {
		group.Go(func() error {
			err := loop(loopCtx)
			if err == nil && ctx.Err() == nil {
				return errLoopEnded
			}
			return err
		})
	}
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// every calls work at the start, each period and when wake receives, until
// ctx ends. A nil wake never receives.
func every(ctx context.Context, period time.Duration, wake <-chan struct{}, work func(context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-wake:
		}
	}
}

// pause waits for the given length, or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
