package process

import (
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// readiness is the state that GET /ready reports to the load balancer.
type readiness struct {
	stopping atomic.Bool
	ready    func() (bool, string)
}

func (r *readiness) state() (bool, string) {
	if r.stopping.Load() {
		return false, "stopping"
	}
	return r.ready()
}

// adminHandler serves /ready and /metrics.
func (p *Process) adminHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		ready, text := p.readiness.state()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(text + "\n"))
	})
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		p.metrics.WritePrometheus(w)
	})
	return router
}
