package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// truncate sends half of a response and cuts the connection.
func truncate(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Echo", r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// shed declares that the request was not run.
func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a broken response reaching a caller, against a second run of
// a booking, and against a booking that ends although another endpoint could
// still run it.
func TestAttemptsFollowTheRepeatRule(t *testing.T) {
	cases := map[string]struct {
		bad     http.HandlerFunc // nil for an endpoint that is down
		method  string
		path    string
		status  int
		outcome string
		states  string // of the claim, if the bad endpoint is tried first
		kind    endpoint.Kind
	}{
		"truncated, repeatable": {bad: truncate, method: "GET", path: "/lager", status: 200, outcome: "answered", kind: endpoint.KindInvalid},
		"truncated, booking":    {bad: truncate, method: "POST", path: "/lager/bookings", status: 502, outcome: "unknown", states: "send lost", kind: endpoint.KindInvalid},
		"shed, repeatable":      {bad: shed, method: "GET", path: "/lager", status: 200, outcome: "answered", kind: endpoint.KindShed},
		"shed, booking":         {bad: shed, method: "POST", path: "/lager/bookings", status: 200, outcome: "answered", states: "send nothing send answered", kind: endpoint.KindShed},
		"down, repeatable":      {method: "GET", path: "/lager", status: 200, outcome: "answered", kind: endpoint.KindRefused},
		"down, booking":         {method: "POST", path: "/lager/bookings", status: 200, outcome: "answered", states: "send nothing send answered", kind: endpoint.KindRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			count := func(inner http.HandlerFunc) string {
				return startBackend(t, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					inner(w, r)
				})
			}
			bad := closedAddress(t)
			if c.bad != nil {
				bad = count(c.bad)
			}
			p := startProxy(t, []config.Service{lager(bad, count(echo))})
			for range 50 {
				p.send(t, "GET", "/lager", "") // earns a share of the retry budget
			}
			for i := range 50 {
				before, hits := p.evidence.count("lager-1", c.kind), runs.Load()
				key, id := fmt.Sprintf("key-%d", i), fmt.Sprintf("id-%d", i)
				r := p.send(t, c.method, c.path, "", "Idempotency-Key", key, "X-Request-Id", id)
				if p.evidence.count("lager-1", c.kind) == before {
					require.Equal(t, id, r.body)
					continue
				}
				require.Equal(t, c.status, r.status, r.body)
				require.Equal(t, c.outcome, r.outcome())
				if c.outcome == "answered" {
					require.Equal(t, id, r.body)
					require.Equal(t, "lager-2", r.header.Get("Carawayhold-Endpoint"))
				}
				if c.states != "" {
					require.Equal(t, c.states, p.claims.states(key))
				}
				if c.outcome == "unknown" {
					require.EqualValues(t, 1, runs.Load()-hits, "work that may have run was sent again")
				}
				return
			}
			t.Fatal("the bad endpoint was never chosen first")
		})
	}
}

// Guards against an answered booking that runs again when it is submitted
// again, and against an outcome endpoint that does not know it.
func TestAnsweredBookingIsReplayed(t *testing.T) {
	var runs atomic.Int64
	p := startProxy(t, []config.Service{lager(startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	}))})
	for i, replayed := range []string{"", "true"} {
		r := p.send(t, "POST", "/lager/bookings", "stool", "Idempotency-Key", "k", "X-Request-Id", fmt.Sprint("id-", i))
		require.Equal(t, "answered", r.outcome())
		require.Equal(t, "id-0", r.body)
		require.Equal(t, replayed, r.header.Get("Carawayhold-Replayed"))
	}
	require.EqualValues(t, 1, runs.Load())
	r := p.send(t, "GET", "/carawayhold/outcome?service=lager", "", "Idempotency-Key", "k")
	require.Equal(t, "id-0", r.body)
	require.Equal(t, "answered", r.outcome())
	absent := p.send(t, "GET", "/carawayhold/outcome?service=lager", "", "Idempotency-Key", "other")
	require.Equal(t, http.StatusNotFound, absent.status)
	require.Equal(t, "unknown", absent.outcome())
}

// Guards against a caller who waits beyond the deadline, and against the late
// outcome of its booking being lost.
func TestLateOutcomeIsRecorded(t *testing.T) {
	released, release := gate()
	p := startProxy(t, []config.Service{lager(startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-released
		echo(w, r)
	}))})
	t.Cleanup(release)
	started := time.Now()
	r := p.send(t, "POST", "/lager/bookings", "", "Idempotency-Key", "k", "X-Deadline-Ms", "100")
	require.Less(t, time.Since(started), classDeadline/2)
	require.Equal(t, "unknown", r.outcome())
	require.NotEmpty(t, r.header.Get("Retry-After"))
	release()
	require.Eventually(t, func() bool { return p.claims.states("k") == "send lost answered" }, eventually, pollEvery)
}

// gate returns a channel and the function that closes it once. The function is
// also a cleanup, so that a failed test does not wait for its backends.
func gate() (chan struct{}, func()) {
	channel := make(chan struct{})
	return channel, sync.OnceFunc(func() { close(channel) })
}

// Guards against a streamed response that breaks off looking complete, over
// both versions of HTTP.
func TestBrokenStreamAbortsTheCaller(t *testing.T) {
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Echo", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, strings.Repeat("x", 2<<20))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	p := startProxy(t, []config.Service{lager(backend)})
	for name, client := range clients(t) {
		request, err := http.NewRequest(http.MethodGet, p.url+"/lager", nil)
		require.NoError(t, err)
		request.Header.Set("X-Team", "graz")
		response, err := client.Do(request)
		require.NoError(t, err, name)
		_, err = io.Copy(io.Discard, response.Body)
		require.Error(t, err, name)
		_ = response.Body.Close()
	}
}

// clients returns one client for each version of HTTP.
func clients(t *testing.T) map[string]*http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return map[string]*http.Client{
		"HTTP/1.1": newHTTPClient(t),
		"HTTP/2":   {Transport: transport, Timeout: clientTimeout},
	}
}

// Guards against responses that reach another caller when many callers of both
// versions of HTTP share endpoints that answer out of order.
func TestConcurrentCallersGetTheirOwnResponses(t *testing.T) {
	const callers, rounds = 16, 25
	var previous atomic.Value
	previous.Store("none")
	crossed := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if last := previous.Swap(id).(string); strings.HasSuffix(id, "7") {
			id = last
		}
		w.Header().Set("X-Echo", id)
		_, _ = io.WriteString(w, id)
	}
	p := startProxy(t, []config.Service{lager(startBackend(t, crossed), startBackend(t, echo))})
	var foreign atomic.Int64
	var wait sync.WaitGroup
	for version, client := range clients(t) {
		for i := range callers {
			wait.Go(func() {
				for k := range rounds {
					id := fmt.Sprintf("%s-%d-%d", version, i, k)
					r, _ := http.NewRequest(http.MethodGet, p.url+"/lager", nil)
					r.Header.Set("X-Team", "graz")
					r.Header.Set("X-Request-Id", id)
					response, err := client.Do(r)
					if err != nil {
						foreign.Add(1)
						continue
					}
					content, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if response.StatusCode == http.StatusOK && (err != nil || string(content) != id) {
						foreign.Add(1)
					}
				}
			})
		}
	}
	wait.Wait()
	require.Zero(t, foreign.Load())
	require.Positive(t, p.evidence.count("lager-1", endpoint.KindInvalid), "the endpoint never crossed responses")
}

// Guards against connection headers that are passed on, and against endpoints
// that state an outcome themselves.
func TestHeadersArePassedOnWithoutConnectionFields(t *testing.T) {
	var received http.Header
	p := startProxy(t, []config.Service{lager(startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set("Carawayhold-Outcome", "not-run")
		w.Header().Set("Carawayhold-Replayed", "true")
		w.Header().Set("X-Request-Id", "other")
		w.Header().Set("Connection", "X-Inner")
		w.Header().Set("X-Inner", "1")
		w.Header().Set("X-Kept", "1")
		echo(w, r)
	}))})
	r := p.send(t, "GET", "/lager", "", "Connection", "X-Mine", "X-Mine", "1", "X-Other", "1", "X-Request-Id", "id-1")
	require.Equal(t, "answered", r.outcome())
	require.Empty(t, r.header.Get("Carawayhold-Replayed"))
	require.Equal(t, "id-1", r.header.Get("X-Request-Id"))
	require.Equal(t, "1", r.header.Get("X-Kept"))
	require.Empty(t, r.header.Get("X-Inner"))
	require.Equal(t, "id-1", received.Get("X-Request-Id"))
	require.Equal(t, "1", received.Get("X-Other"))
	require.Empty(t, received.Get("X-Mine"))
	require.NotEmpty(t, received.Get("X-Deadline-Ms"))
}

// Guards against a hedged class that waits for a slow endpoint although another
// one would answer, and against a slow attempt that is not ended.
func TestHedgeAnswersForASlowEndpoint(t *testing.T) {
	var slow atomic.Bool
	cancelled := make(chan struct{}, 1)
	first := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			<-r.Context().Done()
			select {
			case cancelled <- struct{}{}:
			default:
			}
			return
		}
		echo(w, r)
	})
	p := startProxy(t, []config.Service{lager(first, startBackend(t, echo))})
	for range 100 {
		require.Equal(t, 200, p.send(t, "GET", "/lager/hedged", "").status)
	}
	// On a busy machine the requests above may have spent the budget of second
	// attempts; requests of a class without them earn it again.
	const earnWholeBudget = 200
	for range earnWholeBudget {
		require.Equal(t, 200, p.send(t, "GET", "/lager", "").status)
	}
	slow.Store(true)
	for range 20 {
		started := time.Now()
		require.Equal(t, 200, p.send(t, "GET", "/lager/hedged", "").status)
		require.Less(t, time.Since(started), classDeadline/2)
		select {
		case <-cancelled:
			return
		default:
		}
	}
	t.Fatal("the slow endpoint was never chosen first, or its attempt went on")
}

// Guards against a planned stop that cuts requests in flight, that keeps
// accepting, or that leaves keep-alive connections open.
func TestPlannedStopCutsNothing(t *testing.T) {
	const callers = 12
	entered := make(chan struct{}, callers*2)
	released, release := gate()
	p := startProxy(t, []config.Service{lager(
		startBackend(t, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/held") {
				entered <- struct{}{}
				<-released
			}
			echo(w, r)
		}))})
	ctx, balancerStops := context.WithCancel(context.Background())
	t.Cleanup(release)
	t.Cleanup(balancerStops)
	var failed, served atomic.Int64
	var wait sync.WaitGroup
	get := func(client *http.Client, path string) {
		r, _ := http.NewRequest(http.MethodGet, p.url+path, nil)
		r.Header.Set("X-Team", "graz")
		response, err := client.Do(r)
		if err != nil {
			t.Log("request failed:", err)
			failed.Add(1)
			return
		}
		if _, err = io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			failed.Add(1)
		}
		served.Add(1)
		_ = response.Body.Close()
	}
	for _, client := range clients(t) {
		wait.Go(func() { get(client, "/lager/held") })
		for range callers / 2 {
			wait.Go(func() {
				for ctx.Err() == nil {
					get(client, "/lager")
				}
			})
		}
	}
	<-entered
	<-entered
	require.Eventually(t, func() bool { return served.Load() > 100 }, eventually, pollEvery)
	stopped := make(chan struct{})
	go func() {
		p.shutdown(t, 1500*time.Millisecond)
		close(stopped)
	}()
	before := served.Load()
	require.Eventually(t, func() bool { return served.Load() > before+100 }, eventually, pollEvery,
		"the proxy must serve while the balancer learns that it stops")
	require.True(t, p.send(t, "GET", "/lager", "").closes, "callers must learn that the connection ends")
	balancerStops()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, eventually, pollEvery, "the proxy must stop accepting")
	select {
	case <-stopped:
		t.Fatal("the stop did not wait for the requests in flight")
	default:
	}
	release()
	wait.Wait()
	<-stopped
	require.Zero(t, failed.Load())
}
