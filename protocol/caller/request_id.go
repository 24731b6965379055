package caller

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// maxRequestIDBytes bounds the length of identifiers that callers choose.
const maxRequestIDBytes = 128

// requestIDGenerator generates request identifiers that are unique across processes.
type requestIDGenerator struct {
	prefix string
	next   atomic.Uint64
}

func newRequestIDGenerator() *requestIDGenerator {
	var random [10]byte
	_, _ = rand.Read(random[:])
	return &requestIDGenerator{prefix: hex.EncodeToString(random[:]) + "-"}
}

func (g *requestIDGenerator) generate() string {
	b := make([]byte, 0, 40)
	b = append(b, g.prefix...)
	return string(strconv.AppendUint(b, g.next.Add(1), 36))
}

// validRequestID reports whether an identifier can be forwarded and compared with the
// echo of an endpoint.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return true
}
