package relay

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzRecords reads arbitrary bytes of a relay as records. The stream is whole only if the relay said
// that the target ended it.
func FuzzRecords(f *testing.F) {
	f.Add([]byte{0, 4, 'b', 'o', 'd', 'y', 0, 0})
	f.Add([]byte{0, 4, 'b', 'o', 'd', 'y'})
	f.Add([]byte{0, 4, 'b', 'o'})
	f.Add([]byte{0})
	f.Add([]byte{0, 0, 0, 1, 'x'})
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := &conn{reader: bufio.NewReader(bytes.NewReader(raw)), records: true, confirmed: true}
		content, err := io.ReadAll(c)
		var expected []byte
		ended := false
		for rest := raw; len(rest) >= recordHeadBytes && !ended; {
			length := int(binary.BigEndian.Uint16(rest))
			rest = rest[recordHeadBytes:]
			ended = length == 0
			length = min(length, len(rest))
			expected = append(expected, rest[:length]...)
			rest = rest[length:]
		}
		require.Equal(t, string(expected), string(content))
		if ended {
			require.NoError(t, err)
			return
		}
		require.ErrorIs(t, err, errNoEnd)
	})
}
