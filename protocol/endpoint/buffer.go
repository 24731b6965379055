package endpoint

import (
	"sync"
	"sync/atomic"
)

const (
	// firstBufferBytes is the initial capacity of a buffer for a request head
	// or a response body.
	firstBufferBytes = 4 << 10
	// maxPooledBytes keeps one large response from pinning its buffer in the pool.
	maxPooledBytes = 256 << 10
	// freeHeldBytes of each held body need no memory of the budget.
	freeHeldBytes = 64 << 10
)

// MemoryBudget bounds the bodies that all clients hold at one time. It is safe for
// concurrent use.
type MemoryBudget struct {
	free atomic.Int64
}

// NewMemoryBudget returns a budget of so many bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	m := &MemoryBudget{}
	m.free.Store(bytes)
	return m
}

func (m *MemoryBudget) take(n int64) bool {
	if m == nil {
		return true
	}
	if m.free.Add(-n) >= 0 {
		return true
	}
	m.free.Add(n)
	return false
}

func (m *MemoryBudget) give(n int64) {
	if m != nil && n > 0 {
		m.free.Add(n)
	}
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, firstBufferBytes)
	return &b
}}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

func putBuffer(b *[]byte) {
	if cap(*b) > maxPooledBytes {
		return
	}
	*b = (*b)[:0]
	buffers.Put(b)
}

// grow makes room for size bytes of the held body. It returns false if the budget for
// held bodies has no memory for it.
func (r *Result) grow(size int) bool {
	held := *r.held
	if cap(held) >= size {
		return true
	}
	wanted := max(size, 2*cap(held))
	if need := int64(wanted) - max(r.taken, freeHeldBytes); need > 0 {
		if !r.memory.take(need) {
			return false
		}
		r.taken = max(r.taken, freeHeldBytes) + need
	}
	next := make([]byte, len(held), wanted)
	copy(next, held)
	*r.held = next
	return true
}

// dropHeld returns the held body and its memory.
func (r *Result) dropHeld() {
	if r.held == nil {
		return
	}
	putBuffer(r.held)
	r.held = nil
	r.memory.give(r.taken - freeHeldBytes)
	r.taken = 0
}
