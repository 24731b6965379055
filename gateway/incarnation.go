package gateway

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// incarnationBytes make a collision of two processes of one address unlikely.
const incarnationBytes = 6

// NewIncarnation returns a random name for this start of the process.
func NewIncarnation() (string, error) {
	var b [incarnationBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", eris.Wrap(err, "gateway: no random bytes")
	}
	return hex.EncodeToString(b[:]), nil
}
