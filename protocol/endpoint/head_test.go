package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// strictDialects are those of the two programs: fields that the endpoints of a deployment
// declare, and the default.
var strictDialects = map[string]*Dialect{
	"deployment": NewDialect(headerRequestID, headerDeadline, headerNotRun, WithInstance("X-Instance"), WithRequiredField("X-Stamp"),
		WithRateLimit("X-Limit"), WithLeaving("X-Leaving"), WithRest(), WithCloseDelimited(), WithNonRepeatableReuse()),
	"default": defaultDialect,
}

// requireRefused sends a request that must not repeat, answers it with the bytes and requires
// that they are not taken for a response, a refusal or a notice.
func requireRefused(t *testing.T, dialect *Dialect, raw string) {
	t.Helper()
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		if _, _, ok := b.read(reader); ok {
			_, _ = io.WriteString(conn, raw)
		}
	})
	gate := &recordingGate{}
	client := newTestClient(t, b.address(), WithSingleAttempt())
	result := do(t, client, NewRequest(onceRules.WithDialect(dialect), http.MethodPost, "/", "svc", "id-1",
		time.Now().Add(testDeadline), http.Header{}, []byte("stool")).WithGate(gate))
	require.Error(t, result.Err(), "%q was taken for a response", raw)
	require.Equal(t, KindInvalid, result.Kind())
	require.False(t, result.NotRun())
	require.False(t, result.Draining())
	_, declared, _ := result.RateLimit()
	require.False(t, declared)
	require.Zero(t, result.Status())
	require.Empty(t, gate.notices)
	require.Zero(t, client.Open(), "the connection was kept")
}

const identified = "X-Echo: id-1\r\nX-Stamp: s\r\n"

// Guards against a response whose status is no status code (RFC 9110, section 15), alone and
// before a valid response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\n" + identified + "Content-Length: 2\r\n\r\nok"
	for dialectName, dialect := range strictDialects {
		for _, status := range []string{"000", "001", "099", "-00", "+00", "600", "999", "-10", "+20", "20", "2000", "0x2", "2 0", "OK", ""} {
			for name, raw := range map[string]string{
				"alone":          "HTTP/1.1 " + status + " X\r\n" + identified + "Content-Length: 2\r\n\r\nok",
				"without fields": "HTTP/1.1 " + status + " X\r\n\r\n",
				"refusal":        "HTTP/1.1 " + status + " X\r\n" + identified + "X-Not-Run: true\r\nX-Leaving: 1\r\nX-Limit: 1\r\nContent-Length: 0\r\n\r\n",
				"before another": "HTTP/1.1 " + status + " X\r\n" + identified + "\r\n" + valid,
				"between others": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + " X\r\n\r\n" + valid,
			} {
				t.Run(fmt.Sprintf("%s/%s/%s", dialectName, status, name), func(t *testing.T) {
					t.Parallel()
					requireRefused(t, dialect, raw)
				})
			}
		}
	}
}
