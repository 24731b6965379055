package caller_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/caller/dispatch"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

const (
	seed          = 20261204
	eventually    = 5 * time.Second
	pollEvery     = time.Millisecond
	classDeadline = 5 * time.Second
	clientTimeout = 10 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// claims is an in-memory caller.Coordinator for a single proxy.
type claims struct {
	mu      sync.Mutex
	records map[string]*claimRecord
}

// claimRecord implements caller.Claim and records the calls to it.
type claimRecord struct {
	claims *claims
	states []string
	answer *once.Response
}

func (c *claims) Claim(_ context.Context, s *caller.Submission) (caller.Claim, once.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.records[s.Key()]; ok {
		if r.answer != nil {
			return nil, once.Answered(*r.answer)
		}
		return nil, once.Unknown(once.ReasonRecorded)
	}
	r := &claimRecord{claims: c}
	c.records[s.Key()] = r
	return r, once.Verdict{}
}

func (c *claims) Outcome(_ context.Context, s *caller.Submission) once.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.records[s.Key()]; ok && r.answer != nil {
		return once.Answered(*r.answer)
	}
	return once.Unknown(once.ReasonAbsent)
}

// states returns the calls to the claim of a key, in order.
func (c *claims) states(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.records[key]; ok {
		return strings.Join(r.states, " ")
	}
	return "none"
}

func (r *claimRecord) add(state string) {
	r.claims.mu.Lock()
	defer r.claims.mu.Unlock()
	r.states = append(r.states, state)
}

func (r *claimRecord) BeginSend() error {
	r.add("send")
	return nil
}

func (r *claimRecord) MarkNotSent() error {
	r.add("unsent")
	return nil
}

func (r *claimRecord) Answered(response once.Response) once.Verdict {
	r.add("answered")
	r.claims.mu.Lock()
	defer r.claims.mu.Unlock()
	r.answer = &response
	return once.Answered(response)
}

func (r *claimRecord) Unknown() once.Verdict {
	r.add("unknown")
	return once.Unknown(once.ReasonDeadline)
}

func (r *claimRecord) NotSent(reason once.Reason) once.Verdict {
	r.add("not-sent")
	claim := once.NewClaim(once.NewClaimID("test", 1), once.Key{}, once.Fingerprint{}, time.Time{}, nil)
	return claim.Reject(once.Evidence{NotRun: true}, reason)
}

// evidence counts the results of attempts by endpoint and kind.
type evidence struct {
	mu     sync.Mutex
	counts map[string]int
}

func (e *evidence) Record(_, _, name, _ string, result *endpoint.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[name+" "+result.Kind().String()]++
}

func (e *evidence) count(name string, kind endpoint.Kind) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[name+" "+kind.String()]
}

// proxy is a caller.Server on the loopback interface with real dispatchers.
type proxy struct {
	handler  *caller.Handler
	server   *caller.Server
	clients  *endpoint.Set
	claims   *claims
	evidence *evidence
	url      string
	served   chan error
	stop     sync.Once
}

func startProxy(t *testing.T, services []config.Service, options ...caller.Option) *proxy {
	t.Helper()
	p := &proxy{
		clients:  endpoint.NewSet(),
		claims:   &claims{records: map[string]*claimRecord{}},
		evidence: &evidence{counts: map[string]int{}},
		served:   make(chan error, 1),
	}
	p.handler = caller.NewHandler(p.claims, p.evidence, zap.NewNop(), options...)
	if services != nil {
		p.handler.SetTable(caller.NewTable(1, services, p))
	}
	p.server = caller.NewServer(p.handler, zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p.url = "http://" + listener.Addr().String()
	go func() { p.served <- p.server.Serve(listener) }()
	t.Cleanup(func() { p.shutdown(t, 0) })
	return p
}

func (p *proxy) Dispatcher(s *config.Service) caller.Dispatcher {
	d := dispatch.New("entry-1", "zone-1", p.clients, rand.New(rand.NewPCG(seed, 0)))
	d.Configure(s)
	return d
}

// shutdown stops the proxy once and requires that no request is interrupted.
func (p *proxy) shutdown(t *testing.T, lag time.Duration) {
	p.stop.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		defer cancel()
		require.NoError(t, p.server.Shutdown(ctx, time.Now().Add(lag)))
		require.NoError(t, <-p.served)
		p.clients.Close()
	})
}

func startBackend(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// echo answers with the request identifier.
func echo(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Echo", id)
	_, _ = io.WriteString(w, id)
}

// lager is a service with a repeatable class, a hedged one below /hedged and one
// for bookings below /bookings.
func lager(addresses ...string) config.Service {
	s := config.Service{
		Name: "lager", EchoHeader: "X-Echo", Teams: []string{"graz"},
		Routes: []config.Route{
			{PathPrefix: "/lager", Methods: []string{"GET", "PUT"}, Class: "prompt"},
			{PathPrefix: "/lager/hedged", Class: "hedged"},
			{PathPrefix: "/lager/bookings", Methods: []string{"POST"}, Class: "booking"},
		},
	}
	for _, name := range []string{"prompt", "hedged", "booking"} {
		c := config.Class{
			Name: name, Repeat: config.RepeatAllowed, Hedge: name == "hedged",
			DeadlineMillis: classDeadline.Milliseconds(), QueueLimit: 1000,
		}
		if name == "booking" {
			c.Repeat, c.Priority = config.RepeatNever, 1
		}
		s.Classes = append(s.Classes, c)
	}
	for i, address := range addresses {
		name := "lager-" + string(rune('1'+i))
		s.Endpoints = append(s.Endpoints, config.Endpoint{Name: name, Address: address, Zone: "zone-1", Slots: 8})
	}
	return s
}

// callerResponse is a response as received by a caller.
type callerResponse struct {
	status  int
	header  http.Header
	body    string
	bodyErr error
	closes  bool // the response has Connection: close
}

func (r callerResponse) outcome() string { return r.header.Get("Carawayhold-Outcome") }

func newHTTPClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: clientTimeout}
}

// send makes a request as team graz. headers alternate names and values.
func (p *proxy) send(t *testing.T, method, path, body string, headers ...string) callerResponse {
	t.Helper()
	request, err := http.NewRequest(method, p.url+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("X-Team", "graz")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := newHTTPClient(t).Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(content), err, response.Close}
}
