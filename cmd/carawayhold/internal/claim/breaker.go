package claim

import (
	"sync"
	"time"
)

// probeInterval is the interval between platform calls while the platform is
// failing. Operations in between fail at once instead of waiting for a timeout.
const probeInterval = 250 * time.Millisecond

// breaker is a circuit breaker for platform calls. It is safe for concurrent use.
type breaker struct {
	mu        sync.Mutex
	failing   bool
	nextProbe time.Time
}

// allow reports whether a call may be made. While the platform is failing, it
// allows one call per probeInterval.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(probeInterval)
	return true
}

func (b *breaker) isFailing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failing
}

// report records the result of a call. It returns true for the first success
// after a failure.
func (b *breaker) report(now time.Time, ok bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	recovered := ok && b.failing
	b.failing = !ok
	if !ok {
		b.nextProbe = now.Add(probeInterval)
	}
	return recovered
}
