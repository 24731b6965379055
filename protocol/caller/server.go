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
	// readHeaderTimeout bounds the time for receiving a request head.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout bounds the time between requests. It is longer than the keep-alive
	// timeout of common load balancers, so that they close first.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of a request head.
	maxHeaderBytes = 64 << 10
	// maxStreams bounds the concurrent requests of one HTTP/2 connection.
	maxStreams = 250
)

// Server serves callers over HTTP/1.1 and cleartext HTTP/2.
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

// Shutdown stops the server gracefully. Until lagEnd it keeps serving but closes each
// connection after its response, which gives the load balancer time to notice that the
// proxy is not ready. It then closes the listeners and waits for the requests in flight
// until ctx ends; a request that may outlast ctx is refused by then. It returns an error if requests were interrupted.
func (s *Server) Shutdown(ctx context.Context, lagEnd time.Time) error {
	end, _ := ctx.Deadline()
	s.handler.Drain(lagEnd, end)
	timer := time.NewTimer(time.Until(lagEnd))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return eris.Wrap(err, "caller: shutdown timed out; requests in flight were interrupted")
	}
	return s.waitLateAttempts(ctx)
}

// waitLateAttempts waits for attempts that continue after the response to the caller,
// so that their outcomes can be recorded.
func (s *Server) waitLateAttempts(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.handler.lateAttempts.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "caller: shutdown timed out waiting for late responses")
	}
}
