package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
)

const (
	adminReadTimeout  = 5 * time.Second
	adminWriteTimeout = 10 * time.Second
	adminStopTimeout  = time.Second
)

// readiness decides what the balancer is told.
type readiness struct {
	stopping atomic.Bool
	ready    func() bool
}

func (r *readiness) state() (bool, string) {
	if r.stopping.Load() {
		return false, "stopping"
	}
	if !r.ready() {
		return false, "no current configuration"
	}
	return true, "ready"
}

// admin serves /ready and /metrics.
type admin struct {
	http     *http.Server
	listener net.Listener
}

func newAdmin(listener net.Listener, r *readiness) *admin {
	router := chi.NewRouter()
	router.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		ready, text := r.state()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(text + "\n"))
	})
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return &admin{listener: listener, http: &http.Server{
		Handler:           router,
		ReadHeaderTimeout: adminReadTimeout,
		WriteTimeout:      adminWriteTimeout,
	}}
}

func (a *admin) run() error {
	err := a.http.Serve(a.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "admin: cannot serve")
}

func (a *admin) stop(error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
	defer cancel()
	_ = a.http.Shutdown(ctx)
}
