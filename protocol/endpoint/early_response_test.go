package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// early is a response that an endpoint sends once it has read the head of a request, while
// the body is still being written.
type early struct {
	framing string // fields and the part of the body that is sent
	reset   bool   // the connection ends with a reset
	drain   bool   // the endpoint ends the response and then reads the rest of the request
}

func (e early) serve(_ *backend, conn net.Conn, reader *bufio.Reader, _ int) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\nX-Stamp: s\r\n%s", r.Header.Get(headerRequestID), e.framing)
	if e.drain {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if e.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

var closeDelimitedDialect = NewDialect(headerRequestID, headerDeadline, headerNotRun,
	WithCloseDelimited(), WithRequiredField("X-Stamp"), WithNonRepeatableReuse())

// upload returns a non-repeatable request with a body of a size in bytes.
func upload(size int) *Request {
	return NewRequest(onceRules.WithDialect(closeDelimitedDialect), http.MethodPost, "/", "svc", "id-1",
		time.Now().Add(testDeadline), http.Header{}, bytes.Repeat([]byte{'u'}, size))
}

// uploadSizes are below, about and above what the sockets of a connection hold.
var uploadSizes = []int{100 << 10, 1 << 20, 8 << 20}

// earlyResponsePlays is the number of plays for each size; which call gets the error of a
// reset depends on the moment at which it arrives.
const earlyResponsePlays = 40

// Guards against a part of a response without a length that looks whole: the reset that ends it
// is reported to the pending write of the request, and the next read sees the end of the stream.
func TestResetDuringUploadIsNotTheEndOfTheResponse(t *testing.T) {
	part := "\r\n" + string(bytes.Repeat([]byte{'b'}, 400))
	for _, size := range uploadSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, early{framing: part, reset: true}.serve)
			client := newTestClient(t, b.address(), WithSingleAttempt())
			whole := 0
			for range earlyResponsePlays {
				result := do(t, client, upload(size))
				if result.Err() == nil {
					whole++
					continue
				}
				require.True(t, result.Wrote())
				require.False(t, result.NotRun())
				require.Equal(t, KindInvalid, result.Kind(), "%v", result.Err())
			}
			require.Zero(t, whole, "of %d partial responses look whole", earlyResponsePlays)
		})
	}
}

// resettingConn fails a write after the first bytes. Reads return the response and then the end
// of the stream, as those of a socket whose reset was reported to the write.
type resettingConn struct {
	net.Conn
	response io.Reader
}

func (c resettingConn) Write(b []byte) (int, error)     { return min(len(b), 64), syscall.ECONNRESET }
func (c resettingConn) Read(b []byte) (int, error)      { return c.response.Read(b) }
func (c resettingConn) SetDeadline(time.Time) error     { return nil }
func (c resettingConn) SetReadDeadline(time.Time) error { return nil }
func (c resettingConn) Close() error                    { return nil }

// DialEndpoint implements Dialer.
func (c resettingConn) DialEndpoint(context.Context, string) (net.Conn, error) { return c, nil }

// What the end of the connection proves after a failed write: a body of known length is whole
// once it has arrived, one that ends with its connection never.
func TestResponseAfterFailedWrite(t *testing.T) {
	const head = " OK\r\nX-Echo: id-1\r\nX-Stamp: s\r\n"
	cases := map[string]struct {
		raw string
		err error
	}{
		"length":               {raw: "200" + head + "Content-Length: 4\r\n\r\nbody"},
		"chunked":              {raw: "200" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"no body":              {raw: "204" + head + "\r\n"},
		"without a length":     {raw: "200" + head + "\r\nbody", err: ErrIncomplete},
		"without a body":       {raw: "200" + head + "\r\n", err: ErrIncomplete},
		"failure":              {raw: "500" + head + "\r\nbody", err: ErrIncomplete},
		"refusal":              {raw: "503" + head + "X-Not-Run: true\r\n\r\nbody", err: ErrIncomplete},
		"after an interim one": {raw: "103 Hints\r\n\r\nHTTP/1.1 200" + head + "\r\nbody", err: ErrIncomplete},
		"length, truncated":    {raw: "200" + head + "Content-Length: 5\r\n\r\nbody", err: ErrIncomplete},
		"chunked, truncated":   {raw: "200" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", err: ErrIncomplete},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn := resettingConn{response: strings.NewReader("HTTP/1.1 " + c.raw)}
			client := newTestClient(t, "10.0.0.1:80", WithSingleAttempt(), WithDialer(conn))
			result := do(t, client, upload(128))
			require.ErrorIs(t, result.Err(), c.err)
			require.True(t, result.Wrote())
			require.False(t, result.NotRun())
			require.Zero(t, client.Open(), "the connection was kept after a failed write")
		})
	}
}

// An endpoint may end a response without a length before it has read the whole request. The
// response is whole if the rest of the request is written.
func TestEarlyResponseThatEndsInOrder(t *testing.T) {
	for _, size := range uploadSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, early{framing: "\r\nbody", drain: true}.serve)
			client := newTestClient(t, b.address(), WithSingleAttempt())
			for range earlyResponsePlays {
				result := do(t, client, upload(size))
				require.NoError(t, result.Err())
				require.Equal(t, "body", string(result.Body()))
			}
		})
	}
}
