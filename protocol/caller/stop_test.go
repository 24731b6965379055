package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
)

// Guards against requests that are taken late in a graceful shutdown and cut at its end: one
// that may take longer than the time left is refused as not run.
func TestRequestTakenLateInShutdownIsRefused(t *testing.T) {
	const drainTimeout = 1500 * time.Millisecond
	var runs atomic.Int64
	p := startProxy(t, []config.Service{lager(startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		select {
		case <-time.After(2 * drainTimeout):
			echo(w, r)
		case <-r.Context().Done():
		}
	}))})
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /lager/bookings HTTP/1.1\r\nHost: h\r\nX-Team: graz\r\nIdempotency-Key: late-1\r\nX-First-Submission: true\r\nContent-Length: 10\r\n\r\nfirst")
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan error, 1)
	p.stop.Do(func() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
			defer cancel()
			err := p.server.Shutdown(ctx, time.Now().Add(100*time.Millisecond))
			if served := <-p.served; err == nil {
				err = served
			}
			stopped <- err
			p.clients.Close()
		}()
	})
	time.Sleep(700 * time.Millisecond)
	_, err = io.WriteString(conn, "-last")
	require.NoError(t, err)
	sent := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	require.Less(t, time.Since(sent), 500*time.Millisecond)
	require.Zero(t, runs.Load())
	require.NoError(t, <-stopped)
}
