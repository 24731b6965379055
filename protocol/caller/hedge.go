package caller

import (
	"context"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// hedge is a second attempt beside a first one that takes long.
type hedge struct {
	exchange *exchange
	request  *endpoint.Request
	first    Permit
	cancel   context.CancelFunc // ends the first attempt

	mu      sync.Mutex
	started bool
	ended   chan struct{}
	result  *endpoint.Result
	name    string
}

// tryHedged runs the first attempt on this goroutine. The second starts at the
// time at on another goroutine, if the first has not ended by then. The first
// good result ends the other attempt.
func (x *exchange) tryHedged(
	ctx context.Context, permit Permit, request *endpoint.Request, at time.Time,
) (*endpoint.Result, string) {
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	secondCtx, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	h := &hedge{exchange: x, request: request, first: permit, cancel: cancelFirst, ended: make(chan struct{})}
	timer := time.AfterFunc(time.Until(at), func() { h.run(secondCtx) })
	result := permit.Client().Do(firstCtx, x.deadline, request)
	timer.Stop()
	h.mu.Lock()
	started := h.started
	h.started = true // a timer that fires now finds that it is too late
	h.mu.Unlock()
	x.finish(permit, result)
	if !started {
		return result, permit.Endpoint()
	}
	if good(result) {
		cancelSecond()
		<-h.ended
		if h.result != nil {
			h.result.Release()
		}
		return result, permit.Endpoint()
	}
	<-h.ended
	if h.result == nil {
		return result, permit.Endpoint()
	}
	if !good(h.result) && result.Err() == nil {
		h.result.Release()
		return result, permit.Endpoint()
	}
	result.Release()
	return h.result, h.name
}

// run makes the second attempt and ends the first if it is good.
func (h *hedge) run(ctx context.Context) {
	h.mu.Lock()
	late := h.started
	h.started = true
	h.mu.Unlock()
	if late {
		return
	}
	defer close(h.ended)
	second, ok := h.first.Hedge()
	if !ok {
		return
	}
	h.result = second.Client().Do(ctx, h.exchange.deadline, h.request)
	h.name = second.Endpoint()
	h.exchange.finish(second, h.result)
	if good(h.result) {
		h.cancel()
	}
}
