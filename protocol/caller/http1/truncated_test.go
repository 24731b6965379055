package http1

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against serving a request whose caller stopped in the middle of it, at every byte of
// the head and the body.
func TestTruncatedRequestIsNotServed(t *testing.T) {
	cases := map[string]string{
		"without body": get("/x"),
		"length":       "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
		"chunked":      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHandler()
			_, address := serve(t, h)
			for n := range raw {
				c, _ := dial(t, address)
				_, err := io.WriteString(c, raw[:n])
				require.NoError(t, err)
				require.NoError(t, c.(*net.TCPConn).CloseWrite())
				_, _ = io.Copy(io.Discard, c)
				require.Empty(t, h.started, "%q was served", raw[:n])
			}
		})
	}
}
