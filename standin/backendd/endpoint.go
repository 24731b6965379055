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
	coldFactor      = 4 // work takes this many times as long during the cold start
	fillerBytes     = 512
)

type endpointSettings struct {
	service string
	name    string
	slots   int
	queue   int
	work    time.Duration
	warmAt  time.Time
}

// endpoint is one backend server.
type endpoint struct {
	settings   endpointSettings
	generation int64
	slots      chan struct{}
	waiting    atomic.Int64
	draining   atomic.Bool
	arrivals   atomic.Int64
	faults     faultSwitch
	runs       runCounter
	lastID     atomic.Value
}

func newEndpoint(settings endpointSettings) *endpoint {
	e := &endpoint{
		settings:   settings,
		generation: time.Now().UnixMilli(),
		slots:      make(chan struct{}, settings.slots),
	}
	e.lastID.Store("none")
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
	router.Get("/control/runs", e.listRuns)
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
	e.announce(w)
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !e.takeSlot(ctx) {
		e.shed(w)
		return
	}
	defer func() { <-e.slots }()
	key := r.Header.Get("Idempotency-Key")
	if key != "" {
		e.runs.add(key)
	}
	mode := e.faults.draw(r.Header.Get("X-Team"))
	if !timer.Wait(ctx, e.workTime(mode)) && key == "" {
		// Work without a key may be abandoned; the caller has gone or its
		// deadline has passed.
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	e.respond(w, r, body, mode)
}

func (e *endpoint) announce(w http.ResponseWriter) {
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

// takeSlot waits for a slot if the queue has room.
func (e *endpoint) takeSlot(ctx context.Context) bool {
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

func (e *endpoint) workTime(mode faultMode) time.Duration {
	work := time.Duration(float64(e.settings.work) * (0.5 + rand.Float64()))
	if time.Now().Before(e.settings.warmAt) {
		work *= coldFactor
	}
	if mode == modeSlow {
		work *= slowFactor
	}
	return work
}

func (e *endpoint) respond(w http.ResponseWriter, r *http.Request, body []byte, mode faultMode) {
	id := r.Header.Get("X-Request-Id")
	previous, _ := e.lastID.Swap(id).(string)
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
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || !f.known() {
		http.Error(w, "mode must be a known failure mode and share a number from 0 to 1", http.StatusBadRequest)
		return
	}
	e.faults.set(f)
	w.WriteHeader(http.StatusNoContent)
}

// runReport is the document of GET /control/runs.
type runReport struct {
	Endpoint string         `json:"endpoint"`
	Arrivals int64          `json:"arrivals"`
	Runs     map[string]int `json:"runs"`
}

func (e *endpoint) listRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(runReport{
		Endpoint: e.settings.name, Arrivals: e.arrivals.Load(), Runs: e.runs.copy(),
	})
}

// runCounter counts the runs of each idempotency key.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]int{}
	}
	c.runs[key]++
}

func (c *runCounter) copy() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make(map[string]int, len(c.runs))
	for key, n := range c.runs {
		runs[key] = n
	}
	return runs
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}
