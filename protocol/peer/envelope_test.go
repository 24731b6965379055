package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against connections that announce frames of the maximum size and send nothing.
func TestAnnouncedFrameIsNotAllocated(t *testing.T) {
	const frames = 100
	header := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		_, err := readFrame(bytes.NewReader(append(header, "start"...)))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(frames*MaxFrameBytes/4))
}

func TestLongFrameIsWhole(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), MaxFrameBytes/10)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
	received, err := readFrame(bytes.NewReader(append(frame, content...)))
	require.NoError(t, err)
	require.Equal(t, content, received)
}

// Members of versions before annotations decode envelopes that have one, and the reverse.
func TestAnnotationIsIgnoredByFormerVersions(t *testing.T) {
	frame, err := encodeFrame(&Envelope{Topic: TopicHubState, Sender: "a", Incarnation: "i", Payload: []byte("p"), Annotation: []byte("x")})
	require.NoError(t, err)
	var former struct {
		Topic       string `msgpack:"t"`
		Sender      string `msgpack:"s"`
		Incarnation string `msgpack:"n"`
		Payload     []byte `msgpack:"p,omitempty"`
	}
	require.NoError(t, msgpack.Unmarshal(frame[headerBytes:], &former))
	require.Equal(t, "p", string(former.Payload))
	encoded, err := msgpack.Marshal(&former)
	require.NoError(t, err)
	envelope, err := decodeEnvelope(encoded)
	require.NoError(t, err)
	require.Empty(t, envelope.Annotation)
}
