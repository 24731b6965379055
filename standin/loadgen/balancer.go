package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/standin/loadplan"
	"github.com/carawayhold/carawayhold/standin/timer"
)

const checkTimeout = 500 * time.Millisecond

// balancer simulates the platform's load balancer: it distributes requests round-robin
// over the targets that were ready at its last readiness check. It notices a change
// of readiness only at the next check, after the lag.
type balancer struct {
	targets []loadplan.Target
	lag     time.Duration
	client  *http.Client

	mu    sync.Mutex
	ready []loadplan.Target
	next  int
}

func newBalancer(targets []loadplan.Target, lag time.Duration) *balancer {
	return &balancer{targets: targets, lag: lag, client: &http.Client{Timeout: checkTimeout}}
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.check(ctx)
		timer.Wait(ctx, b.lag)
	}
}

func (b *balancer) check(ctx context.Context) {
	states := make([]bool, len(b.targets))
	var group sync.WaitGroup
	for i, t := range b.targets {
		group.Go(func() { states[i] = b.isReady(ctx, t) })
	}
	group.Wait()
	var ready []loadplan.Target
	for i, t := range b.targets {
		if states[i] {
			ready = append(ready, t)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) isReady(ctx context.Context, t loadplan.Target) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Admin+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady returns when all targets are ready or when the deadline has passed.
func (b *balancer) waitReady(ctx context.Context, deadline time.Time) {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		b.mu.Lock()
		ready := len(b.ready)
		b.mu.Unlock()
		if ready == len(b.targets) {
			return
		}
		timer.Wait(ctx, 50*time.Millisecond)
	}
}

// pick returns the next ready target, or false if no target is ready.
func (b *balancer) pick() (loadplan.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return loadplan.Target{}, false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}
