package once

import (
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"
)

// ClockMargin is the clock skew between machines, in either direction, that
// the retention and the age check of timed keys tolerate.
const ClockMargin = 5 * time.Minute

// ErrTimedKey means that a key is not a timed key: an Idempotency-Key that
// contains its creation time, which is a UUID of version 7.
var ErrTimedKey = eris.New("once: Idempotency-Key must be a UUID of version 7")

const (
	uuidTextBytes    = 36
	uuidVersionIndex = 14 // first digit of the third group
	uuidVariantIndex = 19 // first digit of the fourth group
)

// KeyTime returns the creation time that a UUIDv7 key contains, or ErrTimedKey.
func KeyTime(idempotencyKey string) (time.Time, error) {
	if !isUUIDv7(idempotencyKey) {
		return time.Time{}, eris.Wrapf(ErrTimedKey, "%q", idempotencyKey)
	}
	raw, err := hex.DecodeString(idempotencyKey[:8] + idempotencyKey[9:13])
	if err != nil {
		return time.Time{}, eris.Wrapf(ErrTimedKey, "%q", idempotencyKey)
	}
	var millis int64
	for _, b := range raw {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), nil
}

func isUUIDv7(text string) bool {
	if len(text) != uuidTextBytes {
		return false
	}
	for i := range len(text) {
		switch i {
		case 8, 13, 18, 23:
			if text[i] != '-' {
				return false
			}
		default:
			if !isHexDigit(text[i]) {
				return false
			}
		}
	}
	variant := text[uuidVariantIndex]
	return text[uuidVersionIndex] == '7' &&
		(variant == '8' || variant == '9' || variant|0x20 == 'a' || variant|0x20 == 'b')
}

func isHexDigit(b byte) bool {
	lower := b | 0x20
	return b >= '0' && b <= '9' || lower >= 'a' && lower <= 'f'
}
