package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// testDeadline is a deadline that no test reaches.
const testDeadline = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// backend is a raw TCP server that runs a script for each connection. The ordinal of
// a connection starts at 1.
type backend struct {
	listener net.Listener
	wait     sync.WaitGroup
	mu       sync.Mutex
	accepted int
	requests int
	open     map[net.Conn]bool
}

type script func(b *backend, conn net.Conn, reader *bufio.Reader, ordinal int)

func startBackend(t *testing.T, s script) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{listener: listener, open: map[net.Conn]bool{}}
	b.wait.Go(func() { b.accept(s) })
	t.Cleanup(b.stop)
	return b
}

func (b *backend) accept(s script) {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.accepted++
		ordinal := b.accepted
		b.open[conn] = true
		b.mu.Unlock()
		b.wait.Go(func() {
			s(b, conn, bufio.NewReader(conn), ordinal)
			_ = conn.Close()
			b.mu.Lock()
			delete(b.open, conn)
			b.mu.Unlock()
		})
	}
}

func (b *backend) stop() {
	_ = b.listener.Close()
	b.mu.Lock()
	for conn := range b.open {
		_ = conn.Close()
	}
	b.mu.Unlock()
	b.wait.Wait()
}

func (b *backend) address() string { return b.listener.Addr().String() }

// read returns the next request and its body, or false if the connection ended.
func (b *backend) read(reader *bufio.Reader) (*http.Request, []byte, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, nil, false
	}
	b.mu.Lock()
	b.requests++
	b.mu.Unlock()
	return r, body, true
}

func (b *backend) counts() (accepted, requests, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted, b.requests, len(b.open)
}

// answer writes a complete response that echoes the request identifier.
func answer(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Echo: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// answerAll answers each request with its identifier as the body.
func answerAll(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
	for {
		r, _, ok := b.read(reader)
		if !ok {
			return
		}
		id := r.Header.Get(headerRequestID)
		answer(conn, id, id)
	}
}

// waitUntilClosed waits until the client closes the connection.
func waitUntilClosed(reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) }

var (
	repeatableRules = NewRules("X-Echo", 1<<20, true, 0)
	onceRules       = NewRules("X-Echo", 1<<20, false, 0)
)

func get(id string) *Request {
	return NewRequest(repeatableRules, http.MethodGet, "/", "svc", id, time.Now().Add(testDeadline), http.Header{}, nil)
}

func book(id string) *Request {
	header := http.Header{"Idempotency-Key": {id}}
	return NewRequest(onceRules, http.MethodPost, "/", "svc", id, time.Now().Add(testDeadline), header, []byte("stool"))
}

func newTestClient(t *testing.T, address string, options ...Option) *Client {
	t.Helper()
	c := NewClient(address, options...)
	t.Cleanup(c.Close)
	return c
}

func do(t *testing.T, c *Client, r *Request) *Result {
	t.Helper()
	return doWithin(t, c, r, testDeadline)
}

func doWithin(t *testing.T, c *Client, r *Request, within time.Duration) *Result {
	t.Helper()
	result := c.Do(context.Background(), time.Now().Add(within), r)
	t.Cleanup(result.Release)
	return result
}
