package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitedGet returns a request to an endpoint that may declare a rate limit.
func limitedGet() *Request {
	dialect := NewDialect(headerRequestID, headerDeadline, headerNotRun, WithRateLimit("server-limit"))
	rules := NewRules("", 1<<20, true, 0).WithDialect(dialect)
	return NewRequest(rules, http.MethodGet, "/", "svc", "id", time.Now().Add(testDeadline), http.Header{}, nil)
}

// An invalid rate limit must neither end nor replace an earlier one.
func TestRateLimitOfResponse(t *testing.T) {
	cases := map[string]struct {
		head      string
		perSecond float64
		declared  bool
		invalid   bool
	}{
		"none":            {head: "HTTP/1.1 200 OK\r\n"},
		"decimal":         {head: "HTTP/1.1 200 OK\r\nServer-Limit: 1.5\r\n", perSecond: 1.5, declared: true},
		"zero":            {head: "HTTP/1.1 200 OK\r\nServer-Limit: 0\r\n", declared: true},
		"failure":         {head: "HTTP/1.1 500 Failed\r\nserver-limit: 20\r\n", perSecond: 20, declared: true},
		"shed":            {head: "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nServer-Limit: 2\r\n", perSecond: 2, declared: true},
		"another process": {head: "HTTP/1.1 421 Misdirected\r\nServer-Limit: 3\r\n"},
		"negative":        {head: "HTTP/1.1 200 OK\r\nServer-Limit: -1\r\n", invalid: true},
		"not a number":    {head: "HTTP/1.1 200 OK\r\nServer-Limit: NaN\r\n", invalid: true},
		"infinite":        {head: "HTTP/1.1 200 OK\r\nServer-Limit: inf\r\n", invalid: true},
		"empty":           {head: "HTTP/1.1 200 OK\r\nServer-Limit:\r\n", invalid: true},
		"too large":       {head: "HTTP/1.1 200 OK\r\nServer-Limit: 1e999\r\n", invalid: true},
		"twice":           {head: "HTTP/1.1 200 OK\r\nServer-Limit: 5\r\nServer-Limit: 2\r\n", perSecond: 2, declared: true},
		"one invalid":     {head: "HTTP/1.1 200 OK\r\nServer-Limit: 5\r\nServer-Limit: x\r\n", invalid: true},
		"interim":         {head: "HTTP/1.1 103 Early Hints\r\nServer-Limit: 5\r\n\r\nHTTP/1.1 200 OK\r\n"},
		"words":           {head: "HTTP/1.1 200 OK\r\nServer-Limit: a few\r\n", invalid: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
				if _, _, found := b.read(reader); found {
					_, _ = io.WriteString(conn, c.head+"Content-Length: 2\r\n\r\nok")
				}
			})
			result := do(t, newTestClient(t, b.address()), limitedGet())
			perSecond, declared, err := result.RateLimit()
			require.Equal(t, c.invalid, err != nil)
			if c.invalid {
				require.ErrorIs(t, err, ErrRateLimit)
			}
			require.Equal(t, c.declared, declared)
			require.InDelta(t, c.perSecond, perSecond, 0)
		})
	}
}

// A response that is cut off after its head still declares the limit.
func TestRateLimitOfTruncatedResponse(t *testing.T) {
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		if _, _, found := b.read(reader); found {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nServer-Limit: 4\r\nContent-Length: 10\r\n\r\nok")
		}
	})
	result := do(t, newTestClient(t, b.address()), limitedGet())
	require.ErrorIs(t, result.Err(), ErrIncomplete)
	perSecond, declared, err := result.RateLimit()
	require.NoError(t, err)
	require.True(t, declared)
	require.InDelta(t, 4, perSecond, 0)
}
