package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes is the maximum size of an encoded envelope in bytes.
	MaxFrameBytes = 1 << 20
	headerBytes   = 4
	// frameStepBytes is allocated for a frame before its bytes arrive. Thousands of connections
	// may announce a frame of the maximum size and send nothing.
	frameStepBytes = 64 << 10
)

var (
	// ErrTooLarge means that an encoded envelope exceeds MaxFrameBytes.
	ErrTooLarge = eris.New("peer: frame over 1 MiB")
	// errMalformed means that a frame does not contain a valid envelope, or a payload is invalid.
	errMalformed = eris.New("peer: malformed message")
)

// Envelope is the wire form of every message.
type Envelope struct {
	Topic string `msgpack:"t"`
	// ID matches a reply to its request. It is zero for a message without reply.
	ID uint64 `msgpack:"i,omitempty"`
	// Sender is the address of the sender's peer listener.
	Sender      string `msgpack:"s"`
	Incarnation string `msgpack:"n"`
	Reply       bool   `msgpack:"r,omitempty"`
	// RemainingMillis is the time in milliseconds that the sender of a request waits
	// for the reply.
	RemainingMillis int64 `msgpack:"m,omitempty"`
	// Error describes why a request failed.
	Error   string `msgpack:"e,omitempty"`
	Payload []byte `msgpack:"p,omitempty"`
	// Annotation is data beside the payload that receivers of other versions ignore.
	Annotation []byte `msgpack:"a,omitempty"`
}

// encodeFrame returns the frame of an envelope, or ErrTooLarge.
func encodeFrame(e *Envelope) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(headerBytes + 128 + len(e.Payload))
	buffer.Write(make([]byte, headerBytes))
	if err := msgpack.NewEncoder(&buffer).Encode(e); err != nil {
		return nil, eris.Wrap(err, "peer: cannot encode envelope")
	}
	frame := buffer.Bytes()
	size := len(frame) - headerBytes
	if size > MaxFrameBytes {
		return nil, eris.Wrapf(ErrTooLarge, "topic %s: %d bytes", e.Topic, size)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// readFrame reads one frame and returns its content, which is empty for a heartbeat. It
// returns ErrTooLarge without reading any content.
func readFrame(r io.Reader) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	content := make([]byte, 0, min(size, frameStepBytes))
	for len(content) < int(size) {
		have := len(content)
		content = append(content, make([]byte, min(int(size)-have, frameStepBytes))...)
		if _, err := io.ReadFull(r, content[have:]); err != nil {
			return nil, err
		}
	}
	return content, nil
}

// decodeEnvelope decodes an envelope, which must be valid and fill content exactly.
// Otherwise it returns errMalformed.
func decodeEnvelope(content []byte) (*Envelope, error) {
	if err := checkStructure(content); err != nil {
		return nil, err
	}
	reader := bytes.NewReader(content)
	envelope := &Envelope{}
	if err := msgpack.NewDecoder(reader).Decode(envelope); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	if reader.Len() > 0 {
		return nil, eris.Wrapf(errMalformed, "%d bytes after the envelope", reader.Len())
	}
	if envelope.Topic == "" || envelope.Sender == "" || envelope.Incarnation == "" {
		return nil, eris.Wrap(errMalformed, "topic, sender or incarnation is missing")
	}
	if envelope.Reply && envelope.ID == 0 {
		return nil, eris.Wrap(errMalformed, "reply without a request identifier")
	}
	return envelope, nil
}
