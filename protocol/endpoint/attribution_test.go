package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reusingDialect lets non-repeatable requests reuse connections and names instances.
var reusingDialect = NewDialect(headerRequestID, headerDeadline, headerNotRun, WithInstance("X-Instance"), WithNonRepeatableReuse())

// bookReusing returns a non-repeatable request that may use an idle connection.
func bookReusing(id string) *Request {
	return NewRequest(onceRules.WithDialect(reusingDialect), http.MethodPost, "/", "svc", id, time.Now().Add(testDeadline), http.Header{}, []byte("stool"))
}

// repeatingBackend answers the first request with a refusal and sends the refusal again as
// the response to the next request on that connection is expected, which it runs. All other
// requests are run.
func repeatingBackend(runs *atomic.Int64, refusal func(id string) string) script {
	return func(b *backend, conn net.Conn, reader *bufio.Reader, ordinal int) {
		var copied string
		for number := 1; ; number++ {
			r, _, ok := b.read(reader)
			if !ok {
				return
			}
			id := r.Header.Get(headerRequestID)
			if ordinal == 1 && number == 1 {
				copied = refusal(id)
				_, _ = io.WriteString(conn, copied)
				continue
			}
			_, _ = io.WriteString(conn, copied)
			copied = ""
			runs.Add(1)
			answer(conn, id, id)
		}
	}
}

// Guards against a request that runs at two endpoints: a late second copy of a 421 bears the
// identifier that the next attempt of the same request expects.
func TestLateCopyOfRefusalOfSameRequest(t *testing.T) {
	var runs atomic.Int64
	b := startBackend(t, repeatingBackend(&runs, func(id string) string {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Echo: %s\r\nContent-Length: 0\r\n\r\n", id)
	}))
	client := newTestClient(t, b.address())
	request := bookReusing("id-1")
	require.True(t, do(t, client, request.ForInstance("earlier", request.deadline)).NotRun())
	result := do(t, client, request.ForInstance("later", request.deadline))
	require.NoError(t, result.Err())
	require.Equal(t, http.StatusOK, result.Status())
	require.EqualValues(t, 1, runs.Load())
	// Other requests still reuse the connection.
	require.Equal(t, 2, client.Open())
}

// Guards against a connection limit that keeps a request from being sent again: a connection
// that has carried it is replaced.
func TestConnectionOfSameRequestIsReplacedAtLimit(t *testing.T) {
	var runs atomic.Int64
	b := startBackend(t, repeatingBackend(&runs, func(id string) string {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Echo: %s\r\nContent-Length: 0\r\n\r\n", id)
	}))
	client := newTestClient(t, b.address(), WithConnectionLimit(1))
	request := bookReusing("id-1")
	require.True(t, do(t, client, request).NotRun())
	require.Equal(t, http.StatusOK, do(t, client, request).Status())
	require.Equal(t, 1, client.Open())
}

// bufferingConn reads ahead, like a connection through another proxy.
type bufferingConn struct {
	net.Conn
	*bufio.Reader
}

func (c bufferingConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// Guards against reuse of a connection whose unread bytes are no longer in the socket.
func TestConnectionWithBufferedBytesIsNotUsable(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n") }()
	buffered := bufferingConn{near, bufio.NewReader(near)}
	c := newConnection(buffered)
	require.True(t, c.usable())
	_, err := buffered.Peek(1)
	require.NoError(t, err)
	require.False(t, c.usable())
}
