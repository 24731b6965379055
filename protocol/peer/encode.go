package peer

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the compact form of a payload: structs as arrays and integers
// in as few bytes as possible, which halves an evidence report. Fields are known
// by their order, so new ones are added at the end. msgpack.Unmarshal reads it.
func Encode(payload any) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buffer bytes.Buffer
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(payload); err != nil {
		return nil, eris.Wrap(err, "peer: cannot encode a payload")
	}
	return buffer.Bytes(), nil
}
