package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
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
