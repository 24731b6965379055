package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/carawayhold/carawayhold/standin/answer"
	"github.com/carawayhold/carawayhold/standin/timer"
)

const (
	maxRequestBytes = 1 << 20
	coldFactor      = 4 // multiplies the processing time during the cold start
	fillerBytes     = 512
)

type endpointSettings struct {
	service        string
	name           string
	slots          int
	queue          int           // requests that may wait for a slot
	processingTime time.Duration // mean
	coldUntil      time.Time
}

// endpoint is one simulated backend server.
type endpoint struct {
	settings      endpointSettings
	generation    int64
	slots         chan struct{}
	waiting       atomic.Int64
	draining      atomic.Bool
	arrivals      atomic.Int64
	faults        faultInjector
	executions    executionCounter
	lastRequestID atomic.Value
}

func newEndpoint(settings endpointSettings) *endpoint {
	e := &endpoint{
		settings:   settings,
		generation: time.Now().UnixMilli(),
		slots:      make(chan struct{}, settings.slots),
	}
	e.lastRequestID.Store("none")
	return e
}

func (e *endpoint) routes() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	router.Post("/control/fault", e.setFault)
	router.Post("/control/drain", func(w http.ResponseWriter, _ *http.Request) {
		e.draining.Store(true)
		w.WriteHeader(http.StatusNoContent)
	})
	router.Get("/control/runs", e.reportExecutions)
	router.HandleFunc("/*", e.handle)
	return router
}

func (e *endpoint) handle(w http.ResponseWriter, r *http.Request) {
	e.arrivals.Add(1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "request body is too long or broken", http.StatusBadRequest)
		return
	}
	e.setStateHeaders(w)
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !e.acquireSlot(ctx) {
		e.shed(w)
		return
	}
	defer func() { <-e.slots }()
	key := r.Header.Get("Idempotency-Key")
	if key != "" {
		e.executions.add(key)
	}
	mode := e.faults.drawMode(r.Header.Get("X-Team"))
	if !timer.Wait(ctx, e.drawProcessingTime(mode)) && key == "" {
		// The caller has disconnected or its deadline has passed. Only requests
		// without a key may be abandoned.
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	e.respond(w, r, body, mode)
}

func (e *endpoint) setStateHeaders(w http.ResponseWriter) {
	w.Header().Set("X-Generation", strconv.FormatInt(e.generation, 10))
	if e.draining.Load() {
		w.Header().Set("X-Endpoint-State", "draining")
	}
}

func (e *endpoint) shed(w http.ResponseWriter) {
	w.Header().Set("X-Not-Run", "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "all slots are taken", http.StatusServiceUnavailable)
}

// acquireSlot waits for a slot if the queue has room, at most until the context ends.
func (e *endpoint) acquireSlot(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	if e.waiting.Add(1) > int64(e.settings.queue) {
		e.waiting.Add(-1)
		return false
	}
	defer e.waiting.Add(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *endpoint) drawProcessingTime(mode faultMode) time.Duration {
	d := time.Duration(float64(e.settings.processingTime) * (0.5 + rand.Float64()))
	if time.Now().Before(e.settings.coldUntil) {
		d *= coldFactor
	}
	if mode == modeSlow {
		d *= slowFactor
	}
	return d
}

func (e *endpoint) respond(w http.ResponseWriter, r *http.Request, body []byte, mode faultMode) {
	id := r.Header.Get("X-Request-Id")
	previous, _ := e.lastRequestID.Swap(id).(string)
	if mode == modeForeign {
		id = previous
	}
	document := answer.Document{
		RequestID: id, Service: e.settings.service, Endpoint: e.settings.name,
		Team: r.Header.Get("X-Team"), Path: r.URL.Path, BodyBytes: len(body),
		Filler: strings.Repeat("x", fillerBytes),
	}
	document.Digest = document.Sum()
	content, err := json.Marshal(document)
	if err != nil {
		http.Error(w, "cannot encode the answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	e.send(w, r, content, mode)
}

func (e *endpoint) send(w http.ResponseWriter, r *http.Request, content []byte, mode faultMode) {
	switch mode {
	case modeHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case modeReset:
		panic(http.ErrAbortHandler)
	case modeTruncated:
		_, _ = w.Write(content[:len(content)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case modeError:
		w.Header().Del("Content-Length")
		http.Error(w, "internal error", http.StatusInternalServerError)
	default:
		_, _ = w.Write(content)
	}
}

func (e *endpoint) setFault(w http.ResponseWriter, r *http.Request) {
	var f fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || !f.valid() {
		http.Error(w, "mode must be a known failure mode and share a number from 0 to 1", http.StatusBadRequest)
		return
	}
	e.faults.set(f)
	w.WriteHeader(http.StatusNoContent)
}

// executionReport is the response body of GET /control/runs.
type executionReport struct {
	Endpoint string         `json:"endpoint"`
	Arrivals int64          `json:"arrivals"`
	Runs     map[string]int `json:"runs"`
}

func (e *endpoint) reportExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(executionReport{
		Endpoint: e.settings.name, Arrivals: e.arrivals.Load(), Runs: e.executions.copy(),
	})
}

// executionCounter counts the executions of each idempotency key. It is safe for
// concurrent use.
type executionCounter struct {
	mu    sync.Mutex
	byKey map[string]int
}

func (c *executionCounter) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey == nil {
		c.byKey = map[string]int{}
	}
	c.byKey[key]++
}

func (c *executionCounter) copy() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.byKey))
	for key, n := range c.byKey {
		counts[key] = n
	}
	return counts
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}
