package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/settings"
)

// eventually is longer than any wait of a test should be.
const eventually = 10 * time.Second

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newSettings names a platform that answers no call.
func newSettings(t *testing.T) settings.Settings {
	t.Helper()
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(platform.Close)
	return settings.Settings{
		Name: "entry-1", Region: "breizh", Zone: "finistere",
		Caller:   settings.Listen{Listen: freeAddress(t)},
		Operator: settings.Listen{Listen: freeAddress(t)},
		Peer:     settings.Peer{Listen: freeAddress(t)},
		Admin:    settings.Listen{Listen: freeAddress(t)},
		Platform: settings.Platform{URL: platform.URL, WritesPerSecond: 300},
		Shutdown: settings.Shutdown{BalancerLagMillis: 100, FinishMillis: 500},
	}
}

func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// A proxy without its platform runs, is not ready, refuses callers, and stops.
func TestWithoutThePlatformTheProxyIsNotReady(t *testing.T) {
	s := newSettings(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- New(s, zap.NewNop()).Run(ctx) }()
	require.Eventually(t, func() bool {
		status, _ := get(t, s.Admin.Listen, "/ready")
		return status == http.StatusServiceUnavailable
	}, eventually, 10*time.Millisecond)
	status, _ := get(t, s.Caller.Listen, "/depot")
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, text := get(t, s.Admin.Listen, "/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "carawayhold_")
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(eventually):
		t.Fatal("the proxy does not stop")
	}
	_, err := net.DialTimeout("tcp", s.Caller.Listen, time.Second)
	require.Error(t, err)
}

// An address in use ends the start, and no socket stays open.
func TestListenOpensAllOrNone(t *testing.T) {
	s := newSettings(t)
	taken, err := net.Listen("tcp", s.Admin.Listen)
	require.NoError(t, err)
	defer taken.Close()
	err = New(s, zap.NewNop()).Run(t.Context())
	require.ErrorContains(t, err, s.Admin.Listen)
	for _, address := range []string{s.Caller.Listen, s.Operator.Listen, s.Peer.Listen} {
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}

func TestReadinessWhileStopping(t *testing.T) {
	r := &readiness{ready: func() (bool, string) { return true, "ready" }}
	ready, _ := r.state()
	require.True(t, ready)
	r.stopping.Store(true)
	ready, text := r.state()
	require.False(t, ready)
	require.Equal(t, "stopping", text)
}
