package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// requestTimeout bounds reading a CONNECT request, which is a single small packet.
	requestTimeout = time.Second
	// maxConnections bounds the forwarded connections, each with two descriptors; the
	// smallest machine has 4,100.
	maxConnections = 512
	copyBytes      = 16 << 10
)

// ErrRefused means that this proxy does not forward connections to a target.
var ErrRefused = eris.New("relay: target refused")

// Targets opens connections to the targets that a proxy forwards to. An error that wraps
// [ErrRefused] or [ErrNoPath] says that this proxy is no relay for the target.
type Targets interface {
	DialTarget(ctx context.Context, address string) (net.Conn, error)
}

// Server forwards connections of other proxies. It is safe for concurrent use.
type Server struct {
	targets Targets
	logger  *zap.Logger
	server  *http.Server

	mu       sync.Mutex
	leaving  bool
	sessions map[*session]bool
	group    sync.WaitGroup
}

// NewServer returns a server that does not listen yet.
func NewServer(targets Targets, logger *zap.Logger) *Server {
	s := &Server{targets: targets, logger: logger, sessions: map[*session]bool{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: requestTimeout}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "relay: cannot accept connections")
	}
	return nil
}

// Drain refuses new connections and keeps the open ones.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Open returns the number of forwarded connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Close ends all connections and waits for them.
func (s *Server) Close() {
	_ = s.server.Close()
	s.mu.Lock()
	s.leaving = true
	for v := range s.sessions {
		v.reset()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	v, accepted := s.begin()
	if !accepted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end(v)
	upstream, err := s.targets.DialTarget(r.Context(), r.Host)
	if err != nil {
		status := http.StatusBadGateway
		if errors.Is(err, ErrRefused) || errors.Is(err, ErrNoPath) {
			status = http.StatusServiceUnavailable
		}
		s.logger.Info("relay: connection not forwarded", zap.String("target", r.Host), zap.String("from", r.RemoteAddr),
			zap.Int("status", status), zap.String("error", err.Error()))
		w.WriteHeader(status)
		return
	}
	downstream, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = upstream.Close()
		s.logger.Warn("relay: cannot take over a connection", zap.String("error", err.Error()))
		return
	}
	_ = downstream.SetDeadline(time.Time{})
	copyResponse, response := copyStream, "HTTP/1.1 200 OK\r\n\r\n"
	if r.Header.Get(framingField) == framingRecords {
		copyResponse = copyRecords
		response = "HTTP/1.1 200 OK\r\n" + framingField + ": " + framingRecords + "\r\n" + endField + ": " + endConfirmed + "\r\n\r\n"
	}
	if _, err := io.WriteString(downstream, response); err != nil {
		_ = upstream.Close()
		_ = downstream.Close()
		return
	}
	s.logger.Info("relay: connection forwarded", zap.String("target", r.Host), zap.String("from", r.RemoteAddr),
		zap.String("local", upstream.LocalAddr().String()))
	s.forward(v, downstream, upstream, copyResponse)
}

func (s *Server) begin() (*session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || len(s.sessions) >= maxConnections {
		return nil, false
	}
	v := &session{}
	s.sessions[v] = true
	s.group.Add(1)
	return v, true
}

func (s *Server) end(v *session) {
	s.mu.Lock()
	delete(s.sessions, v)
	s.mu.Unlock()
	s.group.Done()
}

// forward copies bytes in both directions until the proxy or the endpoint closes.
func (s *Server) forward(v *session, downstream, upstream net.Conn, copyResponse func(io.Writer, io.Reader) error) {
	v.set(downstream, upstream)
	endpoint := &target{Conn: upstream}
	var responses sync.WaitGroup
	responses.Go(func() { v.finish(downstream, copyResponse(downstream, endpoint)) })
	// The proxy closes a connection only to give a call up, so that the endpoint has to
	// notice at once.
	_ = copyStream(endpoint, downstream)
	_ = upstream.Close()
	responses.Wait()
	v.reset()
}

// copyStream copies until the source ends, without the system calls that need both ends to
// be plain sockets.
func copyStream(to io.Writer, from io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBytes))
	return err
}
