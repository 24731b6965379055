package caller_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/caller"
)

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against refusals without an outcome or without Retry-After, against the outcome
// not-run for a key that may have run before, and against delayed refusals.
func TestRefusals(t *testing.T) {
	up := []config.Service{lager(startBackend(t, echo))}
	down := []config.Service{lager(closedAddress(t))}
	notReady := caller.WithReadinessCheck(func() (bool, string) { return false, "store unreachable" })
	small := caller.WithBodyLimit(4)
	const key = "Idempotency-Key"
	cases := map[string]struct {
		services []config.Service
		option   caller.Option
		method   string
		path     string
		body     string
		headers  []string
		status   int
		outcome  string
		retry    bool
	}{
		"no configuration":   {method: "GET", path: "/lager", status: 503, outcome: "not-run", retry: true},
		"not ready":          {services: up, option: notReady, method: "GET", path: "/lager", status: 503, outcome: "not-run", retry: true},
		"not ready, key":     {services: up, option: notReady, method: "POST", path: "/lager/bookings", headers: []string{key, "k"}, status: 503, outcome: "unknown", retry: true},
		"not ready, first":   {services: up, option: notReady, method: "POST", path: "/lager/bookings", headers: []string{key, "k", "Carawayhold-First", "true"}, status: 503, outcome: "not-run", retry: true},
		"no path":            {services: up, method: "GET", path: "/unknown", status: 404, outcome: "not-run"},
		"no method":          {services: up, method: "DELETE", path: "/lager", status: 405, outcome: "not-run"},
		"other class below":  {services: up, method: "GET", path: "/lager/bookings", status: 405, outcome: "not-run"},
		"wrong team":         {services: up, method: "GET", path: "/lager", headers: []string{"X-Team", "col"}, status: 403, outcome: "not-run"},
		"no key":             {services: up, method: "POST", path: "/lager/bookings", status: 400, outcome: "not-run"},
		"bad deadline":       {services: up, method: "GET", path: "/lager", headers: []string{"X-Deadline-Ms", "0"}, status: 400, outcome: "not-run"},
		"dot segment":        {services: up, method: "GET", path: "/lager/x/%2e%2e/bookings", status: 400, outcome: "not-run"},
		"empty segment":      {services: up, method: "GET", path: "/lager//bookings", status: 400, outcome: "not-run"},
		"large body":         {services: up, option: small, method: "PUT", path: "/lager", body: "12345", status: 413, outcome: "not-run"},
		"endpoint down":      {services: down, method: "GET", path: "/lager", status: 503, outcome: "not-run", retry: true},
		"endpoint down, key": {services: down, method: "POST", path: "/lager/bookings", headers: []string{key, "k"}, status: 503, outcome: "not-run", retry: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var options []caller.Option
			if c.option != nil {
				options = append(options, c.option)
			}
			p := startProxy(t, c.services, options...)
			started := time.Now()
			r := p.send(t, c.method, c.path, c.body, c.headers...)
			require.Less(t, time.Since(started), classDeadline/2, "the refusal was delayed")
			require.Equal(t, c.status, r.status, r.body)
			require.Equal(t, c.outcome, r.outcome())
			require.Equal(t, c.retry, r.header.Get("Retry-After") != "")
			require.NotEmpty(t, r.header.Get("X-Request-Id"))
			var document struct{ Error, Outcome string }
			require.NoError(t, json.Unmarshal([]byte(r.body), &document))
			require.NotEmpty(t, document.Error)
			require.Equal(t, c.outcome, document.Outcome)
		})
	}
}

// Guards against keeping the connection of a caller that never completes its body, and
// against a refusal that waits for the body.
func TestSlowBodyIsRefused(t *testing.T) {
	p := startProxy(t, []config.Service{lager(startBackend(t, echo))}, caller.WithBodyTimeout(100*time.Millisecond))
	for path, status := range map[string]string{"/lager": "408 Request Timeout", "/unknown": "404 Not Found"} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(classDeadline/2)))
		_, err = io.WriteString(conn, "PUT "+path+" HTTP/1.1\r\nHost: a\r\nX-Team: graz\r\nContent-Length: 9\r\n\r\nhalf")
		require.NoError(t, err)
		content, err := io.ReadAll(conn)
		require.NoError(t, err, "the connection must be closed")
		require.Contains(t, string(content), status)
	}
}

// Guards against a caller that does not read a streamed response occupying an endpoint.
func TestSlowReaderReleasesEndpoint(t *testing.T) {
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Echo", r.Header.Get("X-Request-Id"))
		part := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	p := startProxy(t, []config.Service{lager(backend)}, caller.WithWriteTimeout(100*time.Millisecond))
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /lager HTTP/1.1\r\nHost: a\r\nX-Team: graz\r\n\r\n")
	require.NoError(t, err)
	open := func() int { return p.clients.Client(backend).Open() }
	require.Eventually(t, func() bool { return open() == 1 }, eventually, pollEvery)
	require.Eventually(t, func() bool { return open() == 0 }, eventually, pollEvery)
}
