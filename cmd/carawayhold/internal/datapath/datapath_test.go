package datapath

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/control"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// backend starts a backend server that responds with its name, and returns its
// address.
func backend(t *testing.T, name string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, name)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func serviceConfig(name string, addresses ...string) config.Service {
	s := config.Service{
		Name: name, Weighting: config.WeightingDetection,
		Routes: []config.Route{{PathPrefix: "/" + name, Class: "prompt"}},
		Classes: []config.Class{{
			Name: "prompt", Priority: 1, Repeat: config.RepeatAllowed, DeadlineMillis: 1000, QueueLimit: 10,
		}},
	}
	for i, a := range addresses {
		s.Endpoints = append(s.Endpoints, config.Endpoint{
			Name: name + "-" + strconv.Itoa(i), Address: a, Zone: "finistere", Slots: 4,
		})
	}
	return s
}

type fixture struct {
	*Datapath
	t       *testing.T
	clients *endpoint.Set
	address string // of the caller listener
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clients := endpoint.NewSet()
	t.Cleanup(clients.Close)
	evidence := NewEvidenceRecorder(outlier.NewRecorder("entry-1", "finistere"), func(string, int64, bool) {})
	d := New("entry-1", "finistere", clients, evidence, zap.NewNop())
	handler := caller.NewHandler(Coordinator{}, evidence, zap.NewNop())
	d.Attach(handler)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := caller.NewServer(handler, zap.NewNop())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(t, server.Shutdown(ctx, time.Now()))
		require.NoError(t, <-stopped)
	})
	return &fixture{Datapath: d, t: t, clients: clients, address: l.Addr().String()}
}

// get sends a request as a caller and returns the status and the body of the
// response.
func (f *fixture) get(path string) (int, string) {
	f.t.Helper()
	response, err := http.Get("http://" + f.address + path)
	require.NoError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response.StatusCode, string(body)
}

func TestApplyChangesRouting(t *testing.T) {
	f := newFixture(t)
	first, second := backend(t, "first"), backend(t, "second")
	status, _ := f.get("/depot")
	require.Equal(t, http.StatusServiceUnavailable, status, "no configuration yet")

	f.Apply(control.ConfigurationChange{Revision: 3, Changed: []config.Service{serviceConfig("depot", first)}})
	_, body := f.get("/depot")
	require.Equal(t, "first", body)

	f.Apply(control.ConfigurationChange{Revision: 5, Changed: []config.Service{serviceConfig("depot", second)}})
	_, body = f.get("/depot")
	require.Equal(t, "second", body)

	f.Apply(control.ConfigurationChange{Revision: 4, Changed: []config.Service{serviceConfig("depot", first)}})
	_, body = f.get("/depot")
	require.Equal(t, "second", body, "an older revision is ignored")

	f.Apply(control.ConfigurationChange{Revision: 6, Removed: []string{"depot"}})
	status, _ = f.get("/depot")
	require.Equal(t, http.StatusNotFound, status)
	require.Empty(t, f.Dispatchers())
}

// Guards against a change that replaces a dispatcher and so loses its requests in
// flight and queued.
func TestApplyKeepsDispatchers(t *testing.T) {
	f := newFixture(t)
	a := backend(t, "a")
	f.Apply(control.ConfigurationChange{Revision: 1, Changed: []config.Service{serviceConfig("depot", a), serviceConfig("atelier", a)}})
	before := f.Dispatchers()
	f.Apply(control.ConfigurationChange{Revision: 2, Changed: []config.Service{serviceConfig("depot", a, backend(t, "b"))}})
	require.Same(t, before["atelier"], f.Dispatchers()["atelier"])
	require.Same(t, before["depot"], f.Dispatchers()["depot"])
	require.Len(t, f.Load("depot"), 2)
	require.Nil(t, f.Load("unknown"))
}

// Guards against closing the connections to an address that another service uses.
func TestSharedAddressIsKeptUntilUnused(t *testing.T) {
	f := newFixture(t)
	shared := backend(t, "shared")
	for _, name := range []string{"depot", "atelier"} {
		require.Empty(t, f.updateServices(control.ConfigurationChange{Changed: []config.Service{serviceConfig(name, shared)}}))
	}
	require.Empty(t, f.updateServices(control.ConfigurationChange{Removed: []string{"depot"}}))
	require.Equal(t, []string{shared}, f.updateServices(control.ConfigurationChange{Removed: []string{"atelier"}}))
}

func TestSetAvailability(t *testing.T) {
	f := newFixture(t)
	f.Apply(control.ConfigurationChange{Revision: 1, Changed: []config.Service{serviceConfig("depot", backend(t, "a"), backend(t, "b"))}})
	responses := func() map[string]bool {
		seen := map[string]bool{}
		for range 30 {
			_, body := f.get("/depot")
			seen[body] = true
		}
		return seen
	}
	f.SetAvailability("depot", control.Availability{Draining: []string{"depot-0"}})
	require.Equal(t, map[string]bool{"b": true}, responses())
	f.SetAvailability("depot", control.Availability{
		Ejected: []string{"depot-1"}, EjectedUntil: time.Now().Add(time.Minute),
	})
	require.Equal(t, map[string]bool{"a": true}, responses())
	f.SetAvailability("depot", control.Availability{})
	require.Equal(t, map[string]bool{"a": true, "b": true}, responses())
	f.SetAvailability("unknown", control.Availability{})
}

// Guards against updating all endpoints for every member that joins or leaves a
// large fleet.
func TestLiveProxiesAreRoundedUp(t *testing.T) {
	cases := []struct{ live, want int }{{1, 1}, {3, 3}, {31, 31}, {32, 32}, {33, 34}, {320, 320}, {321, 340}, {5300, 5627}}
	for _, c := range cases {
		f := newFixture(t)
		reported := 1
		f.OnLiveProxies(func(live int) { reported = live })
		f.SetLiveProxies(c.live)
		require.GreaterOrEqual(t, reported, c.live)
		require.LessOrEqual(t, float64(reported-c.live), float64(c.live)/liveSteps, "at most one step")
		require.Equal(t, c.want, reported, c.live)
	}
}

func TestProbe(t *testing.T) {
	f := newFixture(t)
	f.Apply(control.ConfigurationChange{Revision: 1, Changed: []config.Service{serviceConfig("depot", backend(t, "a"))}})
	_, sent := f.Probe(t.Context(), "depot", "depot-0")
	require.False(t, sent, "no request to copy yet")
	f.get("/depot")
	result, sent := f.Probe(t.Context(), "depot", "depot-0")
	require.True(t, sent)
	require.True(t, result.OK)
	_, sent = f.Probe(t.Context(), "unknown", "depot-0")
	require.False(t, sent)
}
