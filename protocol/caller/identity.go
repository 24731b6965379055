package caller

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// maxRequestIDBytes bounds the identifiers that callers choose.
const maxRequestIDBytes = 128

// identifiers creates request identifiers that are unique across processes.
type identifiers struct {
	prefix string
	next   atomic.Uint64
}

func newIdentifiers() *identifiers {
	var random [10]byte
	_, _ = rand.Read(random[:])
	return &identifiers{prefix: hex.EncodeToString(random[:]) + "-"}
}

func (i *identifiers) create() string {
	b := make([]byte, 0, 40)
	b = append(b, i.prefix...)
	return string(strconv.AppendUint(b, i.next.Add(1), 36))
}

// validRequestID reports whether an identifier can be passed on and compared
// with the echo of an endpoint.
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
