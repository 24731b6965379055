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

// testTimeout exceeds every expected wait.
const testTimeout = 10 * time.Second

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newSettings returns settings with a platform that responds 503 to every request.
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
		Shutdown: settings.Shutdown{BalancerLagMillis: 100, DrainTimeoutMillis: 500},
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

// Guards against a proxy that exits, reports ready, accepts requests or does not
// stop while the platform is unavailable.
func TestNotReadyWithoutPlatform(t *testing.T) {
	s := newSettings(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- New(s, zap.NewNop()).Run(ctx) }()
	require.Eventually(t, func() bool {
		status, _ := get(t, s.Admin.Listen, "/ready")
		return status == http.StatusServiceUnavailable
	}, testTimeout, 10*time.Millisecond)
	status, _ := get(t, s.Caller.Listen, "/depot")
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, text := get(t, s.Admin.Listen, "/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "carawayhold_")
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the proxy did not stop")
	}
	_, err := net.DialTimeout("tcp", s.Caller.Listen, time.Second)
	require.Error(t, err)
}

// Guards against a proxy that starts although an address is in use, and against
// sockets that stay open after the error.
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
