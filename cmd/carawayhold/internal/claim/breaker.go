package claim

import (
	"sync"
	"time"
)

// probeInterval is how often the platform is tried while it does not answer.
// Between the tries, new work is refused without waiting for a call timeout.
const probeInterval = 250 * time.Millisecond

// breaker remembers that the platform does not answer. It is safe for
// concurrent use.
type breaker struct {
	mu        sync.Mutex
	failing   bool
	nextProbe time.Time
}

// allow reports whether a call may be made; while the platform is failing, it
// lets one caller per probeInterval pass.
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

// report records the result of a call and returns whether the platform has
// just recovered.
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
