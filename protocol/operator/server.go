package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"slices"
	"sort"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

const (
	// maxDocumentBytes limits the size of an operator document. A service with 10,000
	// endpoints takes about a megabyte.
	maxDocumentBytes = 2 << 20
	// maxConfirmationBytes is larger, because a plan contains the document and the
	// difference.
	maxConfirmationBytes = 8 << 20
	defaultPageSize      = 50
	maxPageSize          = 500
)

// Content types of request bodies.
const (
	contentJSON       = "application/json"
	contentHuJSON     = "application/hujson"
	retryAfterSeconds = "5"
	// codeOK is the code label of successful responses in the metrics.
	codeOK Code = "ok"
)

// Server implements the operator API. It is safe for concurrent use.
type Server struct {
	committer  *committer
	status     StatusSource
	endpoints  EndpointSource
	logger     *zap.Logger
	onAccepted func(revision int64)
	metrics    *metrics.Set
}

// Option configures a Server.
type Option func(*Server)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger *zap.Logger) Option {
	return func(s *Server) { s.logger = logger }
}

// WithAcceptedHook sets a callback that receives the head revision after this server
// accepted a change, so that the proxy can load it before its next poll. The callback
// delays the response, so it must return quickly.
func WithAcceptedHook(accepted func(revision int64)) Option {
	return func(s *Server) { s.onAccepted = accepted }
}

// WithMetrics registers the counters in set. The default is a private set.
func WithMetrics(set *metrics.Set) Option {
	return func(s *Server) { s.metrics = set }
}

// NewServer returns a server that reads and writes the configuration in store and
// reports the state of the proxy from status and endpoints.
func NewServer(store Store, status StatusSource, endpoints EndpointSource, clock Clock, options ...Option) *Server {
	s := &Server{
		committer:  &committer{store: store, documents: newDocumentCache(store), clock: clock},
		status:     status,
		endpoints:  endpoints,
		logger:     zap.NewNop(),
		onAccepted: func(int64) {},
		metrics:    metrics.NewSet(),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Handler returns the HTTP handler of the API, whose paths are below /v1.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.NotFound(s.respond(func(r *http.Request) (any, error) {
		return nil, &Problem{Code: CodeNotFound, Message: fmt.Sprintf("there is no %s", r.URL.Path)}
	}))
	router.MethodNotAllowed(s.respond(func(r *http.Request) (any, error) {
		return nil, &Problem{Code: CodeMethod, Message: fmt.Sprintf("%s does not take %s", r.URL.Path, r.Method)}
	}))
	router.Route("/v1", func(r chi.Router) {
		r.Post("/plans", s.respond(s.postPlan))
		r.Post("/confirmations", s.respond(s.postConfirmation))
		r.Get("/status", s.respond(s.getStatus))
		r.Get("/services", s.respond(s.getServices))
		r.Get("/services/{service}", s.respond(s.getService))
		r.Get("/services/{service}/endpoints", s.respond(s.getEndpoints))
		r.Get("/services/{service}/ejections", s.respond(s.getEjections))
		r.Get("/audit", s.respond(s.getAudit))
	})
	return router
}

// respond returns an HTTP handler that writes the value or the error of handle as
// JSON and counts the response.
func (s *Server) respond(handle func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := handle(r)
		status := http.StatusOK
		code := codeOK
		if err != nil {
			problem := toProblem(err)
			status = problem.status()
			code = problem.Code
			value = problem
			if problem.Code == CodeUnavailable || problem.Code == CodeUnknown {
				w.Header().Set("Retry-After", retryAfterSeconds)
			}
			s.logger.Info("operator: request refused", zap.String("path", r.URL.Path),
				zap.String("code", string(problem.Code)), zap.String("error", problem.Message))
		}
		s.countResponse(r, code)
		w.Header().Set("Content-Type", contentJSON)
		w.WriteHeader(status)
		// Encoding fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(value)
	}
}

// countResponse counts a response by route pattern and code. Patterns rather than
// paths keep the number of series small.
func (s *Server) countResponse(r *http.Request, code Code) {
	route := chi.RouteContext(r.Context()).RoutePattern()
	s.metrics.GetOrCreateCounter(
		fmt.Sprintf(`carawayhold_operator_responses_total{route=%q,code=%q}`, route, code)).Inc()
}

func (s *Server) postPlan(r *http.Request) (any, error) {
	body, err := readBody(r, maxDocumentBytes, contentJSON, contentHuJSON)
	if err != nil {
		return nil, err
	}
	document, err := config.Parse(body)
	if err != nil {
		return nil, err
	}
	return s.committer.plan(r.Context(), document)
}

func (s *Server) postConfirmation(r *http.Request) (any, error) {
	body, err := readBody(r, maxConfirmationBytes, contentJSON)
	if err != nil {
		return nil, err
	}
	var request Confirmation
	if err := decodeStrictly(body, &request); err != nil {
		return nil, err
	}
	// A confirmation continues when its client disconnects, so that the result is
	// already known when the client repeats it.
	confirmed, err := s.committer.confirm(context.WithoutCancel(r.Context()), request)
	if err != nil {
		return nil, err
	}
	s.logger.Info("operator: change confirmed", zap.String("operation", confirmed.Operation),
		zap.String("operator", request.Operator), zap.Int64("revision", confirmed.Revision),
		zap.Bool("changed", confirmed.Changed), zap.Bool("repeated", confirmed.Repeated))
	s.onAccepted(confirmed.Revision)
	return confirmed, nil
}

func (s *Server) getStatus(r *http.Request) (any, error) {
	return s.status.Status(r.Context())
}

func (s *Server) getServices(r *http.Request) (any, error) {
	h, err := readHead(r.Context(), s.committer.store)
	if err != nil {
		return nil, err
	}
	base, err := s.committer.documents.loadBase(r.Context(), h)
	if err != nil {
		return nil, err
	}
	list := ServiceList{Revision: h.Revision, Services: []ServiceSummary{}}
	for name, stored := range base.Services {
		summary := ServiceSummary{
			Name:      name,
			Document:  stored.Document,
			Digest:    h.Index[name].Digest,
			Endpoints: len(stored.Service.Endpoints),
			Routes:    len(stored.Service.Routes),
			Floor:     stored.Service.Floor,
			Weighting: stored.Service.WeightingOrDefault(),
		}
		for _, c := range stored.Service.Classes {
			summary.Classes = append(summary.Classes, c.Name)
		}
		list.Services = append(list.Services, summary)
	}
	sort.Slice(list.Services, func(i, j int) bool { return list.Services[i].Name < list.Services[j].Name })
	return list, nil
}

func (s *Server) getService(r *http.Request) (any, error) {
	name := chi.URLParam(r, "service")
	h, err := readHead(r.Context(), s.committer.store)
	if err != nil {
		return nil, err
	}
	ref, exists := h.Index[name]
	if !exists {
		return nil, serviceNotFound(name)
	}
	return s.committer.documents.load(r.Context(), ref)
}

func serviceNotFound(name string) error {
	return &Problem{Code: CodeNotFound, Message: fmt.Sprintf("there is no service %q", name)}
}

func (s *Server) getEndpoints(r *http.Request) (any, error) {
	name := chi.URLParam(r, "service")
	endpoints, exists, err := s.endpoints.Endpoints(r.Context(), name)
	if err != nil {
		return nil, err
	}
	if !exists {
		return nil, serviceNotFound(name)
	}
	status, err := s.status.Status(r.Context())
	if err != nil {
		return nil, err
	}
	return ServiceEndpoints{Service: name, Proxy: status.Proxy, Endpoints: endpoints}, nil
}

func (s *Server) getAudit(r *http.Request) (any, error) {
	before, limit, err := parsePage(r)
	if err != nil {
		return nil, err
	}
	return s.committer.auditPage(r.Context(), r.URL.Query().Get("service"), before, limit)
}

func (s *Server) getEjections(r *http.Request) (any, error) {
	name := chi.URLParam(r, "service")
	// The name becomes part of an object name, so it must not contain a path.
	if !config.ValidName(name) {
		return nil, serviceNotFound(name)
	}
	before, limit, err := parsePage(r)
	if err != nil {
		return nil, err
	}
	return s.committer.ejectionPage(r.Context(), name, before, limit)
}

func parsePage(r *http.Request) (before int64, limit int, err error) {
	before, err = parseQueryNumber(r, "before", math.MaxInt64, math.MaxInt64)
	if err != nil {
		return 0, 0, err
	}
	pageSize, err := parseQueryNumber(r, "limit", defaultPageSize, maxPageSize)
	return before, int(pageSize), err
}

func parseQueryNumber(r *http.Request, field string, fallback, maximum int64) (int64, error) {
	text := r.URL.Query().Get(field)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 || number > maximum {
		return 0, invalid(field, fmt.Sprintf("%q is not valid", text), fmt.Sprintf("a number from 1 to %d", maximum))
	}
	return number, nil
}

func readBody(r *http.Request, limit int64, types ...string) ([]byte, error) {
	given := r.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(given)
	known := false
	for _, t := range types {
		known = known || err == nil && mediaType == t
	}
	if !known {
		return nil, &Problem{
			Code:    CodeContentType,
			Message: fmt.Sprintf("content type %q; want one of %q", given, types),
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Problem{Code: CodeTooLarge, Message: fmt.Sprintf("the request is larger than %d bytes", limit)}
	}
	if err != nil {
		return nil, invalid("", "the request body ended early: "+err.Error(), "a complete body")
	}
	return body, nil
}

// auditPage lists accepted changes, newest first.
func (c *committer) auditPage(ctx context.Context, service string, before int64, limit int) (AuditPage, error) {
	page := AuditPage{Entries: []rollout.AuditEntry{}}
	h, err := readHead(ctx, c.store)
	if err != nil {
		return page, err
	}
	err = h.walkAudit(ctx, c.store, min(before, h.Revision+1), 0, func(e rollout.AuditEntry) bool {
		if len(page.Entries) == limit {
			page.Before = page.Entries[limit-1].Revision
			return false
		}
		if service == "" || slices.Contains(e.Changed, service) || slices.Contains(e.Removed, service) {
			page.Entries = append(page.Entries, e)
		}
		return true
	})
	return page, err
}

// ejectionPage lists the ejections of a service, newest first. The cursor before is
// the number of an entry counted from the oldest, so it stays valid when entries are
// added.
func (c *committer) ejectionPage(ctx context.Context, service string, before int64, limit int) (EjectionPage, error) {
	page := EjectionPage{Service: service, Entries: []ejection.TrailEntry{}}
	object, err := c.store.Get(ctx, ejection.TrailName(service))
	if errors.Is(err, platform.ErrNotFound) {
		return page, nil
	}
	if err != nil {
		return page, err
	}
	trail, err := ejection.DecodeTrail(object.Value)
	if err != nil {
		return page, &Problem{Code: CodeInternal, Message: object.Name + " is not readable: " + err.Error()}
	}
	entries, offset := trail.Entries, trail.Archived*ejection.TrailSegment
	for number := min(before-1, trail.Len()); number > 0; number-- {
		if len(page.Entries) == limit {
			page.Before = number + 1
			break
		}
		if number <= offset {
			segment := (number - 1) / ejection.TrailSegment
			if entries, err = c.readTrailSegment(ctx, service, segment); err != nil {
				return page, err
			}
			offset = segment * ejection.TrailSegment
		}
		page.Entries = append(page.Entries, entries[number-offset-1])
	}
	return page, nil
}

func (c *committer) readTrailSegment(ctx context.Context, service string, number int64) ([]ejection.TrailEntry, error) {
	name := ejection.TrailSegmentName(service, number)
	object, err := c.store.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	var entries []ejection.TrailEntry
	if err := json.Unmarshal(object.Value, &entries); err != nil || len(entries) != ejection.TrailSegment {
		return nil, &Problem{Code: CodeInternal, Message: name + " is missing or not readable"}
	}
	return entries, nil
}
