package endpoint

import (
	"sync"
	"sync/atomic"
)

const (
	// initialBufferBytes is the initial capacity of a buffer for a request head
	// or a response body.
	initialBufferBytes = 4 << 10
	// maxPooledBytes is the largest buffer that returns to the pool. It keeps a
	// large response from pinning its memory there.
	maxPooledBytes = 256 << 10
	// unbudgetedBytes of each buffered body are not charged to the MemoryBudget.
	unbudgetedBytes = 64 << 10
)

// MemoryBudget bounds the memory of the response bodies that the clients sharing it
// buffer at the same time. It is safe for concurrent use.
type MemoryBudget struct {
	free atomic.Int64
}

// NewMemoryBudget returns a budget of the given size in bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	m := &MemoryBudget{}
	m.free.Store(bytes)
	return m
}

func (m *MemoryBudget) reserve(n int64) bool {
	if m == nil {
		return true
	}
	if m.free.Add(-n) >= 0 {
		return true
	}
	m.free.Add(n)
	return false
}

func (m *MemoryBudget) release(n int64) {
	if m != nil && n > 0 {
		m.free.Add(n)
	}
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, initialBufferBytes)
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

// grow makes room for size bytes in the body buffer. It returns false if the memory
// budget is exhausted.
func (r *Result) grow(size int) bool {
	body := *r.buffered
	if cap(body) >= size {
		return true
	}
	wanted := max(size, 2*cap(body))
	if need := int64(wanted) - max(r.reserved, unbudgetedBytes); need > 0 {
		if !r.memory.reserve(need) {
			return false
		}
		r.reserved = max(r.reserved, unbudgetedBytes) + need
	}
	next := make([]byte, len(body), wanted)
	copy(next, body)
	*r.buffered = next
	return true
}

// releaseBody returns the body buffer to the pool and its memory to the budget.
func (r *Result) releaseBody() {
	if r.buffered == nil {
		return
	}
	putBuffer(r.buffered)
	r.buffered = nil
	r.memory.release(r.reserved - unbudgetedBytes)
	r.reserved = 0
}
