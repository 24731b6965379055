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

// anonymousRefusal is a refusal without the request identifier.
func anonymousRefusal(string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
}

// Guards against stating that a request was not run while its endpoint runs it: a late second
// copy of a refusal without an identifier comes before the response to the next request.
func TestLateCopyOfRefusalWithoutIdentifier(t *testing.T) {
	for name, next := range map[string]func(id string) *Request{"once": bookReusing, "repeatable": get} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			b := startBackend(t, repeatingBackend(&runs, anonymousRefusal))
			client := newTestClient(t, b.address(), WithSingleAttempt())
			refused := do(t, client, bookReusing("id-1"))
			require.Equal(t, KindShed, refused.Kind())
			require.True(t, refused.NotRun())
			result := do(t, client, next("id-2"))
			require.False(t, result.NotRun())
			require.EqualValues(t, 1, runs.Load())
			require.Equal(t, http.StatusOK, result.Status(), "the connection of the refusal was used again")
		})
	}
}

// A response without the identifier on a connection that has carried other requests may
// belong to any of them, also if the earlier responses had their identifiers.
func TestResponseWithoutIdentifierOnReusedConnection(t *testing.T) {
	cases := map[string]string{
		"refusal":      anonymousRefusal(""),
		"misdirected":  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"rate limited": "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
		"failure":      "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
		"not found":    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
				if r, _, ok := b.read(reader); ok {
					answer(conn, r.Header.Get(headerRequestID), "")
				}
				if _, _, ok := b.read(reader); ok {
					_, _ = io.WriteString(conn, raw)
				}
			})
			client := newTestClient(t, b.address(), WithSingleAttempt())
			require.NoError(t, do(t, client, bookReusing("id-1")).Err())
			result := do(t, client, bookReusing("id-2"))
			require.ErrorIs(t, result.Err(), ErrMismatchedResponse)
			require.False(t, result.NotRun())
			require.Zero(t, client.Open())
		})
	}
}

// Guards against losing requests at an endpoint whose refusals never have the identifier: its
// refusals are only believed on new connections, so requests that may run once get them.
func TestEndpointThatRefusesWithoutIdentifier(t *testing.T) {
	var served, refused atomic.Int64
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			r, _, ok := b.read(reader)
			if !ok {
				return
			}
			if (served.Load()+refused.Load())%2 == 1 {
				refused.Add(1)
				_, _ = io.WriteString(conn, anonymousRefusal(""))
				continue
			}
			served.Add(1)
			id := r.Header.Get(headerRequestID)
			answer(conn, id, id)
		}
	})
	client := newTestClient(t, b.address(), WithSingleAttempt())
	doubtful := 0
	for i := range 20 {
		result := do(t, client, bookReusing(fmt.Sprintf("id-%d", i)))
		if result.Err() != nil {
			require.ErrorIs(t, result.Err(), ErrMismatchedResponse)
			doubtful++
		} else if result.Status() != http.StatusOK {
			require.True(t, result.NotRun())
		}
	}
	require.LessOrEqual(t, doubtful, 1, "refusals were not believed")
}

// A request without an identifier cannot be told from others, so that no connection carries
// it besides other requests.
func TestRequestWithoutIdentifier(t *testing.T) {
	var runs atomic.Int64
	b := startBackend(t, repeatingBackend(&runs, anonymousRefusal))
	client := newTestClient(t, b.address(), WithSingleAttempt())
	require.True(t, do(t, client, bookReusing("")).NotRun())
	require.Equal(t, http.StatusOK, do(t, client, bookReusing("")).Status())
	require.Equal(t, http.StatusOK, do(t, client, bookReusing("id-3")).Status())
	require.EqualValues(t, 2, runs.Load())
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
	received, open := c.checkIdle()
	require.Empty(t, received)
	require.True(t, open)
	_, err := buffered.Peek(1)
	require.NoError(t, err)
	received, _ = c.checkIdle()
	require.NotEmpty(t, received)
}
