package endpoint

import "sync"

const (
	// firstBufferBytes is the initial capacity of a buffer for a request head
	// or a response body.
	firstBufferBytes = 4 << 10
	// maxPooledBytes keeps one large response from pinning its buffer in the pool.
	maxPooledBytes = 256 << 10
)

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

// grown returns b with room for at least size bytes.
func grown(b []byte, size int) []byte {
	if cap(b) >= size {
		return b
	}
	next := make([]byte, len(b), max(size, 2*cap(b)))
	copy(next, b)
	return next
}
