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
	handler  Handler
	memory   *memory
	draining atomic.Bool

	mu          sync.Mutex
	closed      bool
	listeners   []net.Listener
	connections map[*connection]struct{}
	group       sync.WaitGroup
}

// ErrClosed means that the server is closed.
var ErrClosed = eris.New("http1: server closed")

// New returns a server. The large request bodies of all its connections use at most
// bodyMemory bytes.
func New(handler Handler, bodyMemory int64) *Server {
	return &Server{handler: handler, memory: &memory{free: bodyMemory}, connections: map[*connection]struct{}{}}
}

// Serve accepts connections until the listener is closed. It returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	for {
		socket, err := listener.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return nil
			}
			return eris.Wrap(err, "http1: cannot accept connections")
		}
		s.accept(socket)
	}
}

func (s *Server) accept(socket net.Conn) {
	c := newConnection(s, socket)
	s.mu.Lock()
	if s.closed {
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

func (m *memory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}
