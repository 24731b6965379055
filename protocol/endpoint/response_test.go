package endpoint

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against accepting a response that is truncated, too long, malformed or
// belongs to another request, and against a shed declared for another request.
func TestResponseValidation(t *testing.T) {
	const echo = "X-Echo: id-1\r\n"
	cases := map[string]struct {
		raw    string
		kind   Kind
		err    error
		notRun bool
	}{
		"complete":                  {raw: "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\nok", kind: KindOK},
		"complete chunked":          {raw: "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", kind: KindOK},
		"interim first":             {raw: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n" + echo + "\r\n", kind: KindOK},
		"client error":              {raw: "HTTP/1.1 404 Not Found\r\n" + echo + "Content-Length: 0\r\n\r\n", kind: KindOK},
		"server error":              {raw: "HTTP/1.1 500 Oops\r\n" + echo + "Content-Length: 0\r\n\r\n", kind: KindError},
		"declared shed":             {raw: "HTTP/1.1 503 Busy\r\n" + echo + "X-Not-Run: true\r\nContent-Length: 0\r\n\r\n", kind: KindShed, notRun: true},
		"undeclared 503":            {raw: "HTTP/1.1 503 Busy\r\n" + echo + "Content-Length: 0\r\n\r\n", kind: KindError},
		"shed with 500":             {raw: "HTTP/1.1 500 Oops\r\n" + echo + "X-Not-Run: true\r\nContent-Length: 0\r\n\r\n", kind: KindError},
		"shed with other echo":      {raw: "HTTP/1.1 503 Busy\r\nX-Echo: id-2\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n", kind: KindInvalid, err: ErrMismatchedResponse},
		"other echo":                {raw: "HTTP/1.1 200 OK\r\nX-Echo: id-2\r\nContent-Length: 2\r\n\r\nok", kind: KindInvalid, err: ErrMismatchedResponse},
		"no echo":                   {raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", kind: KindInvalid, err: ErrMismatchedResponse},
		"server error without echo": {raw: "HTTP/1.1 502 Oops\r\nContent-Length: 0\r\n\r\n", kind: KindError},
		"client error without echo": {raw: "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", kind: KindOK},
		"client error, other echo":  {raw: "HTTP/1.1 404 Not Found\r\nX-Echo: id-2\r\nContent-Length: 0\r\n\r\n", kind: KindInvalid, err: ErrMismatchedResponse},
		"truncated":                 {raw: "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 3\r\n\r\nok", kind: KindInvalid, err: ErrIncomplete},
		"truncated chunk":           {raw: "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n5\r\nok", kind: KindInvalid, err: ErrIncomplete},
		"no last chunk":             {raw: "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", kind: KindInvalid, err: ErrIncomplete},
		"too long":                  {raw: "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\nokay", kind: KindInvalid, err: ErrMalformed},
		"too long chunked":          {raw: "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nok", kind: KindInvalid, err: ErrMalformed},
		"body after 204":            {raw: "HTTP/1.1 204 No Content\r\n" + echo + "\r\nok", kind: KindInvalid, err: ErrMalformed},
		"no length":                 {raw: "HTTP/1.1 200 OK\r\n" + echo + "Connection: close\r\n\r\nok", kind: KindInvalid, err: ErrMalformed},
		"too long and large":        {raw: "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 32768\r\n\r\n" + strings.Repeat("x", 32769), kind: KindInvalid, err: ErrMalformed},
		"two lengths":               {raw: "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", kind: KindInvalid, err: ErrMalformed},
		"not HTTP":                  {raw: "hello\r\n\r\n", kind: KindInvalid, err: ErrMalformed},
		"truncated head":            {raw: "HTTP/1.1 200 OK\r\nX-Ec", kind: KindInvalid, err: ErrMalformed},
		"endless head":              {raw: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", maxHeadBytes), kind: KindInvalid, err: ErrMalformed},
		"change of protocol":        {raw: "HTTP/1.1 101 Switching Protocols\r\n" + echo + "\r\n", kind: KindInvalid, err: ErrMalformed},
		"closed at once":            {raw: "", kind: KindError, err: ErrClosed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
				if _, _, ok := b.read(reader); ok {
					_, _ = io.WriteString(conn, c.raw)
				}
			})
			for _, request := range []*Request{get("id-1"), book("id-1")} {
				client := newTestClient(t, b.address())
				result := do(t, client, request)
				require.Equal(t, c.kind, result.Kind(), "%v", result.Err())
				require.ErrorIs(t, result.Err(), c.err)
				require.True(t, result.Wrote())
				require.Equal(t, c.notRun, result.NotRun())
				if c.err != nil {
					require.Zero(t, result.Status())
					require.Zero(t, client.Open(), "a connection was kept after a protocol error")
				}
			}
		})
	}
}

// Guards against a truncated streamed response looking complete.
func TestStreamedResponse(t *testing.T) {
	large := strings.Repeat("x", 3*streamBufferBytes)
	cases := map[string]struct {
		head  string
		body  string
		kind  Kind
		err   error
		reuse bool
	}{
		"complete":       {head: "Content-Length: 98304\r\n", body: large, kind: KindOK, reuse: true},
		"chunked":        {head: "Transfer-Encoding: chunked\r\n", body: "18000\r\n" + large + "\r\n0\r\n\r\n", kind: KindOK, reuse: true},
		"broken":         {head: "Content-Length: 98305\r\n", body: large, kind: KindInvalid, err: ErrIncomplete},
		"broken chunked": {head: "Transfer-Encoding: chunked\r\n", body: "18000\r\n" + large + "\r\n", kind: KindInvalid, err: ErrIncomplete},
		"too long":       {head: "Content-Length: 98303\r\n", body: large, kind: KindInvalid, err: ErrMalformed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
				if _, _, ok := b.read(reader); !ok {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Echo: id-1\r\n"+c.head+"\r\n"+c.body)
				if c.reuse {
					waitUntilClosed(reader)
				}
			})
			client := newTestClient(t, b.address())
			request := get("id-1")
			request.rules.maxBufferedBytes = 1024
			result := do(t, client, request)
			require.NoError(t, result.Err())
			require.True(t, result.Streamed())
			var received strings.Builder
			received.Write(result.Body())
			require.ErrorIs(t, result.CopyRest(&received, func() {}), c.err)
			require.Equal(t, c.kind, result.Kind())
			if c.err == nil {
				require.Equal(t, large, received.String())
			}
			result.Release()
			open := 0
			if c.reuse {
				open = 1
			}
			require.Equal(t, open, client.Open())
		})
	}
}
