package tcp

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writtenUnread returns how many bytes a connection takes while the other side reads nothing.
func writtenUnread(t *testing.T, from net.Conn) int {
	t.Helper()
	total, block := 0, make([]byte, 64<<10)
	for {
		require.NoError(t, from.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		n, err := from.Write(block)
		total += n
		if err != nil {
			return total
		}
	}
}

// Guards against a process that runs out of memory because of bytes that nobody reads.
func TestUnreadBytesOfConnectionAreBounded(t *testing.T) {
	const (
		bound = 16 << 10
		// atMost allows for the accounting of the kernel, which counts its own overhead.
		atMost = 8 * bound
	)
	b := NewBuffers(bound, bound)
	l, err := b.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	dialed, err := b.Dialer().DialContext(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.Less(t, writtenUnread(t, dialed), atMost)
	require.Less(t, writtenUnread(t, accepted), atMost)
}
