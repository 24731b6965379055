package membership

import (
	"cmp"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// Incarnation identifies one run of a proxy process. Two runs at the same
// address have different incarnations. The zero value identifies no member.
type Incarnation struct {
	// StartMillis is the start time of the process, in Unix milliseconds on its
	// own clock.
	StartMillis int64 `msgpack:"s"`
	// Bits are random, so that two runs with the same start time differ.
	Bits uint64 `msgpack:"b"`
}

// NewIncarnation returns the incarnation of a process started at start.
func NewIncarnation(start time.Time, bits uint64) Incarnation {
	return Incarnation{StartMillis: start.UnixMilli(), Bits: bits}
}

// IsZero reports whether i identifies no member.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// Compare orders incarnations by start time, then by random bits.
func (i Incarnation) Compare(other Incarnation) int {
	if order := cmp.Compare(i.StartMillis, other.StartMillis); order != 0 {
		return order
	}
	return cmp.Compare(i.Bits, other.Bits)
}

// String returns the form used in logs, in at-most-once records and in the
// envelopes of the peer protocol.
func (i Incarnation) String() string {
	return strconv.FormatInt(i.StartMillis, 36) + "-" + strconv.FormatUint(i.Bits, 36)
}

func hashString(text string) uint64 { return xxh3.HashString(text) }
