package gateway

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// incarnationBytes is the number of random bytes; with 6, a collision between two processes
// at one address is unlikely.
const incarnationBytes = 6

// NewIncarnation returns a random identifier of this run of the process.
func NewIncarnation() (string, error) {
	var b [incarnationBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", eris.Wrap(err, "gateway: cannot read random bytes")
	}
	return hex.EncodeToString(b[:]), nil
}
