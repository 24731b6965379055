// Package http1 is an HTTP/1.1 server for callers. Pipelined requests of a connection
// can be served concurrently and are answered in order. A disconnect is detected
// immediately, even while requests are in progress; net/http does not detect it while a
// pipelined request is pending.
package http1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/tcp"
)

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds a request head and BodyBytes a request body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a head to its end, and the
	// time between two parts of a body.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// Handler answers requests.
type Handler interface {
	// Limits returns the current limits.
	Limits() Limits
	// MayRunConcurrently reports whether the request may start before the preceding
	// requests of its connection have been answered.
	MayRunConcurrently(r *Request) bool
	// Serve answers one request. The context ends when the caller disconnects.
	Serve(ctx context.Context, r *Request) *Response
}

// Server accepts connections. It is safe for concurrent use.
type Server struct {
	handler      Handler
	memory       *memory
	limit        int // of connections, or 0
	acceptFailed func(err error)
	draining     atomic.Bool

	mu          sync.Mutex
	fullUntil   time.Time
	closed      bool
	listeners   []net.Listener
	connections map[*connection]struct{}
	group       sync.WaitGroup
}

// ErrClosed means that the server is closed.
var ErrClosed = eris.New("http1: server closed")

// Option changes a Server under construction.
type Option func(*Server)

// WithConnectionLimit sets the maximum number of connections, so that other parts of the
// process get descriptors. 0 sets no limit.
func WithConnectionLimit(limit int) Option {
	return func(s *Server) { s.limit = limit }
}

// WithAcceptErrors sets a function that is called with each error of accepting a connection.
func WithAcceptErrors(failed func(err error)) Option {
	return func(s *Server) { s.acceptFailed = failed }
}

// New returns a server. The large request bodies of all its connections use at most
// bodyMemory bytes.
func New(handler Handler, bodyMemory int64, options ...Option) *Server {
	s := &Server{
		handler: handler, memory: &memory{free: bodyMemory}, connections: map[*connection]struct{}{},
		acceptFailed: func(error) {},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

const (
	// idleCandidates is the number of idle connections, in random order, among which the one
	// to close is chosen, so that a server with thousands of them need not look at all.
	idleCandidates = 32
	// fullPeriod is the time for which a server that refused a connection counts as full.
	fullPeriod = time.Second
)

// makeRoom closes the connection that has been idle for longest if the limit is reached. It
// returns false if all are busy. The mutex must be held.
func (s *Server) makeRoom() bool {
	if s.limit == 0 || len(s.connections) < s.limit {
		return true
	}
	var oldest *connection
	var oldestSince time.Time
	candidates := 0
	for c := range s.connections {
		since, idle := c.idleSince()
		if !idle {
			continue
		}
		if oldest == nil || since.Before(oldestSince) {
			oldest, oldestSince = c, since
		}
		if candidates++; candidates == idleCandidates {
			break
		}
	}
	if oldest == nil || !oldest.closeIdle() {
		s.fullUntil = time.Now().Add(fullPeriod)
		return false
	}
	delete(s.connections, oldest)
	return true
}

// Full reports whether the server has refused a connection lately because all others were
// busy.
func (s *Server) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.fullUntil)
}

// Serve accepts connections until the listener is closed. A shortage of descriptors or memory
// delays new connections.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	for {
		socket, open := tcp.Accept(listener, s.acceptFailed)
		if !open {
			return nil
		}
		s.accept(socket)
	}
}

func (s *Server) accept(socket net.Conn) {
	c := newConnection(s, socket)
	s.mu.Lock()
	if s.closed || !s.makeRoom() {
		s.mu.Unlock()
		_ = socket.Close()
		return
	}
	s.connections[c] = struct{}{}
	s.group.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.group.Done()
		c.run()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
}

// Drain makes the server close each connection with the response to the last of its
// requests in progress. Idle connections stay open until their next response or
// CloseIdle.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes connections without a request in progress and returns the number of
// busy connections.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.connections {
		if !c.closeIdle() {
			busy++
		}
	}
	return busy
}

// Close closes all listeners and connections and waits until the connections have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.connections {
		c.abort()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// memory bounds the buffered bodies of all connections in bytes.
type memory struct {
	mu   sync.Mutex
	free int64
}

func (m *memory) reserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

// has reports whether n bytes are free now.
func (m *memory) has(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return n <= m.free
}

func (m *memory) release(n int64) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}
