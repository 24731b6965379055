package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/tcp"
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
	proxy, err := Dial(ctx, tcp.Buffers{}, relay, address)
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
			_, err := Dial(context.Background(), tcp.Buffers{}, relay, "127.0.0.1:1")
			require.ErrorIs(t, err, c.want)
		})
	}
	t.Run("no relay", func(t *testing.T) {
		_, err := Dial(context.Background(), tcp.Buffers{}, "127.0.0.1:1", "127.0.0.1:1")
		require.ErrorIs(t, err, ErrNoPath)
	})
}

// A relay that stops takes no new connections and keeps the open ones.
func TestDrainKeepsOpenConnections(t *testing.T) {
	s, relay := startRelay(t, targets{})
	proxy, endpoint := connectThroughRelay(t, relay)
	s.Drain()
	_, err := Dial(context.Background(), tcp.Buffers{}, relay, "127.0.0.1:1")
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
	_, err := Dial(ctx, tcp.Buffers{}, address, "127.0.0.1:1")
	require.ErrorIs(t, err, ErrNoPath)
	require.Less(t, time.Since(began), waitTimeout)
	(<-accepted).Close()
}

// closeAsKernel closes the connections to proxies without a reset, as the kernel does when
// the process of a relay is killed.
func closeAsKernel(t *testing.T, s *Server) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.sessions {
		// The proxy has its response before the session has its connections.
		require.Eventually(t, v.forwards, waitTimeout, time.Millisecond)
		v.mu.Lock()
		require.NoError(t, v.conns[0].Close())
		v.mu.Unlock()
	}
}

// Guards against a truncated response without a length that looks whole, because the relay
// that forwarded it was killed.
func TestDeathOfRelayIsNotTheEndOfTheStream(t *testing.T) {
	s, relay := startRelay(t, targets{})
	proxy, endpoint := connectThroughRelay(t, relay)
	_, err := endpoint.Write([]byte("half"))
	require.NoError(t, err)
	_, err = io.ReadFull(proxy, make([]byte, 4))
	require.NoError(t, err)
	closeAsKernel(t, s)
	_, err = proxy.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NotErrorIs(t, err, io.EOF)
}

// requireNoEnd reads a response through a relay that answers CONNECT with the fields, sends the
// content and closes.
func requireNoEnd(t *testing.T, fields, content string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1024))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"\r\n")
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(c, content)
		_ = c.Close()
	}()
	proxy, err := Dial(context.Background(), tcp.Buffers{}, l.Addr().String(), "127.0.0.1:1")
	require.NoError(t, err)
	defer proxy.Close()
	received, err := io.ReadAll(proxy)
	require.Equal(t, "response", string(received))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A relay of an earlier release does not state the end of the stream, so that the end of its
// connection proves nothing.
func TestEndThroughRelayWithoutRecords(t *testing.T) { requireNoEnd(t, "", "response") }

// A relay of an earlier release may state the end of a stream that was reset.
func TestEndThroughRelayThatDoesNotConfirmIt(t *testing.T) {
	requireNoEnd(t, framingField+": "+framingRecords+"\r\n", "\x00\x08response\x00\x00")
}

// A proxy of an earlier release does not ask for records and gets plain bytes.
func TestProxyWithoutRecords(t *testing.T) {
	_, relay := startRelay(t, targets{})
	address, accepted := startEndpoint(t)
	proxy, err := net.Dial("tcp", relay)
	require.NoError(t, err)
	defer proxy.Close()
	_, err = io.WriteString(proxy, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n")
	require.NoError(t, err)
	endpoint := <-accepted
	_, err = endpoint.Write([]byte("response"))
	require.NoError(t, err)
	require.NoError(t, endpoint.Close())
	received, err := io.ReadAll(proxy)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK\r\n\r\nresponse", string(received))
}

// Records of every size arrive whole and in order, however they are split on the way.
func TestRecordsOfEverySize(t *testing.T) {
	_, relay := startRelay(t, targets{})
	proxy, endpoint := connectThroughRelay(t, relay)
	sent := make([]byte, 5*copyBytes+1)
	for i := range sent {
		sent[i] = byte(i * 31)
	}
	go func() {
		for rest, size := sent, 1; len(rest) > 0; size = size*3 + 1 {
			n := min(size, len(rest))
			_, _ = endpoint.Write(rest[:n])
			rest = rest[n:]
		}
		_ = endpoint.Close()
	}()
	received, err := io.ReadAll(proxy)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, received))
}

// A check for unread bytes does not wait for the rest of a record.
func TestBufferedPartOfRecordIsReadWithoutWaiting(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := &conn{Conn: near, reader: bufio.NewReader(near), records: true}
	go func() { _, _ = far.Write([]byte{0}) }()
	_, err := c.reader.Peek(1)
	require.NoError(t, err)
	require.Equal(t, 1, c.Buffered())
	require.NoError(t, c.SetReadDeadline(time.Unix(1, 0)))
	n, err := c.Read(make([]byte, 8))
	require.Zero(t, n)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// forwards reports whether the session has its connections.
func (v *session) forwards() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.conns) > 0
}

// A response to CONNECT that violates the grammar opens no connection.
func TestInvalidHeadOfRelay(t *testing.T) {
	for name, head := range map[string]string{
		"status":                "HTTP/1.1 000 OK\r\n\r\n",
		"blank before a colon":  "HTTP/1.1 200 OK\r\n" + framingField + " : " + framingRecords + "\r\n\r\n",
		"line feed":             "HTTP/1.1 200 OK\r\n\nX: v\r\n\r\n",
		"two status lines":      "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n\r\n",
		"interim, then nothing": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := startEndpoint(t)
			go func() {
				c := <-accepted
				_, _ = c.Read(make([]byte, 1024))
				_, _ = io.WriteString(c, head)
				_ = c.Close()
			}()
			_, err := Dial(context.Background(), tcp.Buffers{}, address, "127.0.0.1:1")
			require.ErrorIs(t, err, ErrNoPath)
		})
	}
}
