package caller

import (
	"context"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// hedge is a second attempt that runs concurrently with a slow first one.
type hedge struct {
	exchange *exchange
	request  *endpoint.Request
	first    Permit
	cancel   context.CancelFunc // cancels the first attempt

	mu           sync.Mutex
	started      bool
	done         chan struct{}
	result       *endpoint.Result
	endpointName string
}

// tryHedged runs the first attempt on this goroutine. If it has not ended at the time
// at, the second attempt starts on another goroutine. The first acceptable result
// cancels the other attempt.
func (x *exchange) tryHedged(
	ctx context.Context, permit Permit, request *endpoint.Request, at time.Time,
) (*endpoint.Result, string) {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	h := &hedge{exchange: x, request: request, first: permit, cancel: cancelFirst, done: make(chan struct{})}
	timer := time.AfterFunc(time.Until(at), func() { h.run(secondCtx) })
	result := permit.Client().Do(firstCtx, x.deadline, request)
	timer.Stop()
	h.mu.Lock()
	started := h.started
	h.started = true // keeps a timer that fires now from starting an attempt
	h.mu.Unlock()
	x.recordAttempt(permit, result)
	if !started {
		return result, permit.Endpoint()
	}
	if acceptable(result) {
		cancelSecond()
		<-h.done
		if h.result != nil {
			h.result.Release()
		}
		return result, permit.Endpoint()
	}
	<-h.done
	if h.result == nil {
		return result, permit.Endpoint()
	}
	if !acceptable(h.result) && result.Err() == nil {
		h.result.Release()
		return result, permit.Endpoint()
	}
	result.Release()
	return h.result, h.endpointName
}

// run makes the second attempt unless the first has ended. An acceptable result cancels
// the first.
func (h *hedge) run(ctx context.Context) {
	h.mu.Lock()
	tooLate := h.started
	h.started = true
	h.mu.Unlock()
	if tooLate {
		return
	}
	defer close(h.done)
	second, ok := h.first.Hedge()
	if !ok {
		return
	}
	h.result = second.Client().Do(ctx, h.exchange.deadline, h.request)
	h.endpointName = second.Endpoint()
	h.exchange.recordAttempt(second, h.result)
	if acceptable(h.result) {
		h.cancel()
	}
}
