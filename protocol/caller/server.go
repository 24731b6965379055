package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends the head.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes connections between requests. It is longer than the
	// keep-alive time of common balancers, so that they close first.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request head.
	maxHeaderBytes = 64 << 10
	// maxStreams bounds the concurrent requests of one HTTP/2 connection.
	maxStreams = 250
)

// Server accepts callers over HTTP/1.1 and cleartext HTTP/2.
type Server struct {
	handler *Handler
	http    *http.Server
	logger  *zap.Logger
}

// NewServer returns a server for the handler.
func NewServer(handler *Handler, logger *zap.Logger) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{handler: handler, logger: logger, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: idleTimeout},
		ErrorLog:          zap.NewStdLog(logger),
	}}
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "caller: cannot serve")
}

// Shutdown stops the server without cutting a request: until lagEnd it serves
// as before, but closes each connection after its response, while the balancer
// learns that the proxy is not ready. Then it accepts no connections and waits
// for the requests in flight until ctx ends. It reports an error if requests
// were cut.
func (s *Server) Shutdown(ctx context.Context, lagEnd time.Time) error {
	s.handler.Drain()
	timer := time.NewTimer(time.Until(lagEnd))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return eris.Wrap(err, "caller: requests were cut at the end of the shutdown")
	}
	return s.waitLate(ctx)
}

// waitLate waits for attempts whose callers have their final response already,
// so that their outcomes can be recorded.
func (s *Server) waitLate(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.handler.late.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "caller: late responses were not awaited")
	}
}
