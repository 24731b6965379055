package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// runTogether runs all duties until ctx ends or one of them fails, and returns
// when all have ended.
func runTogether(ctx context.Context, duties []func(context.Context) error) error {
	group, together := errgroup.WithContext(ctx)
	for _, duty := range duties {
		group.Go(func() error {
			err := duty(together)
			if err == nil && ctx.Err() == nil {
				return errDutyEnded
			}
			return err
		})
	}
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// every calls work each period, and also when wake receives, until ctx ends.
// A nil wake is never ready.
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

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
