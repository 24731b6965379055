// Package caller is the HTTP server for callers. It routes requests to services and
// request classes, applies admission control, sends them to endpoints, and answers
// each with the complete response of an endpoint or with a refusal, which states
// whether the request was run.
package caller

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"
)

const (
	// defaultBodyLimit is the maximum size of request bodies, which are buffered in
	// memory.
	defaultBodyLimit = 4 << 20
	// defaultBodyTimeout bounds the time for receiving a request body.
	defaultBodyTimeout = 10 * time.Second
	// defaultWriteTimeout bounds the time in which a caller reads the response, or
	// the next part of a streamed one.
	defaultWriteTimeout = 20 * time.Second
	// defaultRetryAfter is sent if there is no better estimate.
	defaultRetryAfter = time.Second
)

// Handler answers the requests of callers. It is safe for concurrent use.
type Handler struct {
	table          atomic.Pointer[Table]
	stop           atomic.Pointer[stopTimes] // nil until a graceful shutdown begins
	requestIDs     *requestIDGenerator
	coordinator    Coordinator
	recorder       Recorder
	readinessCheck func() (ready bool, reason string)
	logger         *zap.Logger
	bodyLimit      int64
	bodyTimeout    time.Duration
	writeTimeout   time.Duration
	router         chi.Router
	lateAttempts   sync.WaitGroup // attempts that continue after the response to the caller
}

// Option changes a Handler under construction.
type Option func(*Handler)

// WithBodyLimit sets the maximum size of a request body in bytes.
func WithBodyLimit(limit int64) Option {
	return func(h *Handler) { h.bodyLimit = limit }
}

// WithBodyTimeout sets the maximum time for receiving a request body.
func WithBodyTimeout(timeout time.Duration) Option {
	return func(h *Handler) { h.bodyTimeout = timeout }
}

// WithWriteTimeout sets the maximum time in which a caller reads the response, or the
// next part of a streamed one.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(h *Handler) { h.writeTimeout = timeout }
}

// WithReadinessCheck sets the function that reports whether new requests are accepted,
// and otherwise the reason. It is called for each request.
func WithReadinessCheck(check func() (ready bool, reason string)) Option {
	return func(h *Handler) { h.readinessCheck = check }
}

// NewHandler returns a handler without a routing table. It refuses all requests until
// SetTable is called.
func NewHandler(coordinator Coordinator, recorder Recorder, logger *zap.Logger, options ...Option) *Handler {
	h := &Handler{
		requestIDs:     newRequestIDGenerator(),
		coordinator:    coordinator,
		recorder:       recorder,
		readinessCheck: func() (bool, string) { return true, "" },
		logger:         logger,
		bodyLimit:      defaultBodyLimit,
		bodyTimeout:    defaultBodyTimeout,
		writeTimeout:   defaultWriteTimeout,
	}
	for _, o := range options {
		o(h)
	}
	h.router = chi.NewRouter()
	h.router.Get(outcomePath, h.serveOutcome)
	h.router.NotFound(h.serve)
	h.router.MethodNotAllowed(h.serve)
	return h
}

// SetTable replaces the routing table for subsequent requests.
func (h *Handler) SetTable(t *Table) { h.table.Store(t) }

// Table returns the current routing table, or nil.
func (h *Handler) Table() *Table { return h.table.Load() }

// stopTimes are the times of a graceful shutdown. The load balancer sends new requests
// until lagEnd, and those in progress are interrupted at the end, or never if it is zero.
type stopTimes struct{ lagEnd, end time.Time }

// Drain makes every subsequent response close its connection. A request that is complete
// later than lagEnd and whose deadline is after the end is refused.
func (h *Handler) Drain(lagEnd, end time.Time) { h.stop.Store(&stopTimes{lagEnd: lagEnd, end: end}) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	h.router.ServeHTTP(w, r)
}

func (h *Handler) exchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		handler: h, writer: w, request: r,
		control: http.NewResponseController(w), arrival: time.Now(),
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	x := h.exchange(w, r)
	if refused := x.handle(); refused != nil {
		x.discardBody()
		x.extendWriteDeadline()
		refused.write(w)
	}
}

// checkedTarget returns the request target to send. It refuses paths that an endpoint
// may normalize to a different path than the one that was routed, which may belong to
// another class, and bytes that would end the request line.
func checkedTarget(r *http.Request) (string, *refusal) {
	path := r.URL.Path
	if path == "" || path[0] != '/' {
		return "", notRun(http.StatusBadRequest, "the request target must be a path that starts with /")
	}
	if strings.Contains(path, "//") || hasDotSegment(path) {
		return "", notRun(http.StatusBadRequest, "the path must not contain empty, . or .. segments")
	}
	target := r.RequestURI
	if target == "" || target[0] != '/' {
		target = r.URL.RequestURI()
	}
	if !printable(target) || !printable(r.Method) {
		return "", notRun(http.StatusBadRequest, "the request line contains a space or a control character")
	}
	return target, nil
}

func hasDotSegment(path string) bool {
	for rest, found := path, true; found; {
		var segment string
		segment, rest, found = strings.Cut(rest, "/")
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func printable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return true
}

// deadline returns the earlier of the class deadline and that of the caller.
func deadline(arrival time.Time, class time.Duration, header string) (time.Time, *refusal) {
	at := arrival.Add(class)
	if header == "" {
		return at, nil
	}
	millis, err := strconv.ParseInt(header, 10, 64)
	if err != nil || millis <= 0 {
		return at, notRun(http.StatusBadRequest, "X-Deadline-Ms must be a positive number of milliseconds")
	}
	if millis < class.Milliseconds() {
		return arrival.Add(time.Duration(millis) * time.Millisecond), nil
	}
	return at, nil
}
