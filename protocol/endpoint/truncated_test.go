package endpoint

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a response that looks whole although the endpoint stopped in the middle of
// it and closed, with every framing of the body and at every byte of the head and the body.
func TestResponseTruncatedAtEveryByte(t *testing.T) {
	dialect := NewDialect(headerRequestID, headerDeadline, headerNotRun, WithCloseDelimited(), WithRequiredField("X-Stamp"))
	const head = "HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nX-Stamp: s\r\n"
	cases := map[string]struct {
		raw string
		// bodyEndsAnywhere is set if the end of the connection ends the body.
		bodyEndsAnywhere bool
	}{
		"length":                {raw: head + "Content-Length: 4\r\n\r\nbody"},
		"chunked":               {raw: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"chunked with trailer":  {raw: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: v\r\n\r\n"},
		"until the end":         {raw: head + "\r\nbody", bodyEndsAnywhere: true},
		"line feeds alone":      {raw: strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 4\n\nbody"},
		"empty":                 {raw: head + "Content-Length: 0\r\n\r\n"},
		"without content":       {raw: strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n"},
		"not found":             {raw: strings.Replace(head, "200 OK", "404 Not Found", 1) + "\r\nbody", bodyEndsAnywhere: true},
		"failure without echo":  {raw: "HTTP/1.1 500 Oops\r\n\r\nbody", bodyEndsAnywhere: true},
		"refused":               {raw: "HTTP/1.1 503 Busy\r\nX-Echo: id-1\r\nX-Not-Run: true\r\n\r\n", bodyEndsAnywhere: true},
		"interim":               {raw: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\nbody", bodyEndsAnywhere: true},
		"folded field":          {raw: head + "X-Folded: a\r\n b\r\n\r\nbody", bodyEndsAnywhere: true},
		"last field is a space": {raw: head + "X-Last: \r\n\r\nbody", bodyEndsAnywhere: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := len(c.raw)
			if c.bodyEndsAnywhere {
				end = strings.LastIndex(c.raw, "\r\n\r\n") + 4
			}
			for n := range end {
				b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
					if _, _, ok := b.read(reader); ok {
						_, _ = io.WriteString(conn, c.raw[:n])
					}
				})
				request := get("id-1")
				request.rules = request.rules.WithDialect(dialect)
				result := do(t, newTestClient(t, b.address(), WithSingleAttempt()), request)
				require.Error(t, result.Err(), "%q looks whole", c.raw[:n])
				require.False(t, result.NotRun())
			}
		})
	}
}
