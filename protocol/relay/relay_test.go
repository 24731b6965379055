package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

const waitTimeout = 5 * time.Second

// targets dials any address, or fails with an error.
type targets struct{ err error }

func (t targets) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	if t.err != nil {
		return nil, t.err
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func startRelay(t *testing.T, targets Targets) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(targets, zap.NewNop())
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		require.NoError(t, <-done)
		goleak.VerifyNone(t)
	})
	return s, l.Addr().String()
}

// startEndpoint returns the address of an endpoint that passes its only connection on.
func startEndpoint(t *testing.T) (string, <-chan *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		defer close(accepted)
		if c, err := l.Accept(); err == nil {
			accepted <- c.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), accepted
}

// connectThroughRelay returns both ends of a relayed connection.
func connectThroughRelay(t *testing.T, relay string) (proxy, endpoint net.Conn) {
	t.Helper()
	address, accepted := startEndpoint(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	proxy, err := Dial(ctx, relay, address)
	require.NoError(t, err)
	endpoint = <-accepted
	t.Cleanup(func() { _, _ = proxy.Close(), endpoint.Close() })
	require.NoError(t, proxy.SetDeadline(time.Now().Add(waitTimeout)))
	require.NoError(t, endpoint.SetDeadline(time.Now().Add(waitTimeout)))
	return proxy, endpoint
}

func TestBytesAreForwarded(t *testing.T) {
	_, relay := startRelay(t, targets{})
	proxy, endpoint := connectThroughRelay(t, relay)
	_, err := proxy.Write([]byte("request"))
	require.NoError(t, err)
	buffer := make([]byte, 7)
	_, err = io.ReadFull(endpoint, buffer)
	require.NoError(t, err)
	require.Equal(t, "request", string(buffer))
	_, err = endpoint.Write([]byte("response"))
	require.NoError(t, err)
	require.NoError(t, endpoint.Close())
	received, err := io.ReadAll(proxy)
	require.NoError(t, err)
	require.Equal(t, "response", string(received))
}

// A response that ends with a reset must not look complete to the proxy.
func TestResetOfEndpointIsForwarded(t *testing.T) {
	_, relay := startRelay(t, targets{})
	proxy, endpoint := connectThroughRelay(t, relay)
	_, err := endpoint.Write([]byte("part"))
	require.NoError(t, err)
	buffer := make([]byte, 4)
	_, err = io.ReadFull(proxy, buffer)
	require.NoError(t, err)
	require.NoError(t, endpoint.(*net.TCPConn).SetLinger(0))
	require.NoError(t, endpoint.Close())
	_, err = proxy.Read(buffer)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// A proxy gives a call up by closing its connection; the endpoint has to notice.
func TestCloseOfProxyReachesEndpoint(t *testing.T) {
	s, relay := startRelay(t, targets{})
	proxy, endpoint := connectThroughRelay(t, relay)
	require.NoError(t, proxy.Close())
	_, err := endpoint.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, syscall.ETIMEDOUT)
	require.Eventually(t, func() bool { return s.Open() == 0 }, waitTimeout, time.Millisecond)
}

func TestDialErrors(t *testing.T) {
	cases := map[string]struct {
		err  error
		want error
	}{
		"target down":  {err: errors.New("refused"), want: ErrTarget},
		"no endpoint":  {err: eris.Wrap(ErrRefused, "x"), want: ErrNoPath},
		"relay is cut": {err: eris.Wrap(ErrNoPath, "x"), want: ErrNoPath},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, relay := startRelay(t, targets{err: c.err})
			_, err := Dial(context.Background(), relay, "127.0.0.1:1")
			require.ErrorIs(t, err, c.want)
		})
	}
	t.Run("no relay", func(t *testing.T) {
		_, err := Dial(context.Background(), "127.0.0.1:1", "127.0.0.1:1")
		require.ErrorIs(t, err, ErrNoPath)
	})
}

// A relay that stops takes no new connections and keeps the open ones.
func TestDrainKeepsOpenConnections(t *testing.T) {
	s, relay := startRelay(t, targets{})
	proxy, endpoint := connectThroughRelay(t, relay)
	s.Drain()
	_, err := Dial(context.Background(), relay, "127.0.0.1:1")
	require.ErrorIs(t, err, ErrNoPath)
	_, err = endpoint.Write([]byte("late"))
	require.NoError(t, err)
	buffer := make([]byte, 4)
	_, err = io.ReadFull(proxy, buffer)
	require.NoError(t, err)
}

// A relay that never answers holds a dial only until its context ends.
func TestDialEndsWithContext(t *testing.T) {
	address, accepted := startEndpoint(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := Dial(ctx, address, "127.0.0.1:1")
	require.ErrorIs(t, err, ErrNoPath)
	require.Less(t, time.Since(began), waitTimeout)
	(<-accepted).Close()
}
