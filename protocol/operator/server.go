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
	// maxDocumentBytes bounds an operator document. A service with 10,000
	// endpoints takes about a megabyte.
	maxDocumentBytes = 2 << 20
	// maxConfirmationBytes is larger, because a plan holds the document and its
	// difference.
	maxConfirmationBytes = 8 << 20
	defaultPage          = 50
	maxPage              = 500
)

// Content types of request bodies.
const (
	contentJSON     = "application/json"
	contentHuJSON   = "application/hujson"
	retryAfterValue = "5"
	// codeOK is the value of the metric's code label for a success.
	codeOK Code = "ok"
)

// Server answers the operator API. It is safe for concurrent use.
type Server struct {
	committer *committer
	status    StatusSource
	endpoints EndpointSource
	logger    *zap.Logger
	accepted  func(revision int64)
	metrics   *metrics.Set
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger *zap.Logger) Option {
	return func(s *Server) { s.logger = logger }
}

// WithAccepted sets a function that is called with the new head revision after
// a change was accepted here, so that the proxy need not wait for its next poll.
// It must return quickly.
func WithAccepted(accepted func(revision int64)) Option {
	return func(s *Server) { s.accepted = accepted }
}

// WithMetrics registers the counters in set instead of a private set.
func WithMetrics(set *metrics.Set) Option {
	return func(s *Server) { s.metrics = set }
}

// NewServer returns a server over the platform's store and the views of the proxy.
func NewServer(store Store, status StatusSource, endpoints EndpointSource, clock Clock, options ...Option) *Server {
	s := &Server{
		committer: &committer{store: store, library: newLibrary(store), clock: clock},
		status:    status,
		endpoints: endpoints,
		logger:    zap.NewNop(),
		accepted:  func(int64) {},
		metrics:   metrics.NewSet(),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Handler returns the handler of all paths below /v1.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.NotFound(s.answer(func(r *http.Request) (any, error) {
		return nil, &Problem{Code: CodeNotFound, Message: fmt.Sprintf("there is no %s", r.URL.Path)}
	}))
	router.MethodNotAllowed(s.answer(func(r *http.Request) (any, error) {
		return nil, &Problem{Code: CodeMethod, Message: fmt.Sprintf("%s does not take %s", r.URL.Path, r.Method)}
	}))
	router.Route("/v1", func(r chi.Router) {
		r.Post("/plans", s.answer(s.postPlan))
		r.Post("/confirmations", s.answer(s.postConfirmation))
		r.Get("/status", s.answer(s.getStatus))
		r.Get("/services", s.answer(s.getServices))
		r.Get("/services/{service}", s.answer(s.getService))
		r.Get("/services/{service}/endpoints", s.answer(s.getEndpoints))
		r.Get("/services/{service}/ejections", s.answer(s.getEjections))
		r.Get("/audit", s.answer(s.getAudit))
	})
	return router
}

// answer encodes what the handler returns.
func (s *Server) answer(handle func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := handle(r)
		status := http.StatusOK
		code := codeOK
		if err != nil {
			problem := asProblem(err)
			status = problem.status()
			code = problem.Code
			value = problem
			if problem.Code == CodeUnavailable || problem.Code == CodeUnknown {
				w.Header().Set("Retry-After", retryAfterValue)
			}
			s.logger.Info("operator: request refused", zap.String("path", r.URL.Path),
				zap.String("code", string(problem.Code)), zap.String("error", problem.Message))
		}
		s.count(r, code)
		w.Header().Set("Content-Type", contentJSON)
		w.WriteHeader(status)
		// The caller has gone if this fails; there is nobody left to tell.
		_ = json.NewEncoder(w).Encode(value)
	}
}

// count counts a response by route and code. The routes are few, whatever is asked for.
func (s *Server) count(r *http.Request, code Code) {
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
	// A confirmation goes on when its caller disconnects: the result is then
	// already decided for the caller that repeats it.
	confirmed, err := s.committer.confirm(context.WithoutCancel(r.Context()), request)
	if err != nil {
		return nil, err
	}
	s.logger.Info("operator: change confirmed", zap.String("operation", confirmed.Operation),
		zap.String("operator", request.Operator), zap.Int64("revision", confirmed.Revision),
		zap.Bool("changed", confirmed.Changed), zap.Bool("repeated", confirmed.Repeated))
	s.accepted(confirmed.Revision)
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
	base, err := s.committer.library.base(r.Context(), h)
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
		return nil, noService(name)
	}
	return s.committer.library.service(r.Context(), ref)
}

func noService(name string) error {
	return &Problem{Code: CodeNotFound, Message: fmt.Sprintf("there is no service %q", name)}
}

func (s *Server) getEndpoints(r *http.Request) (any, error) {
	name := chi.URLParam(r, "service")
	endpoints, exists, err := s.endpoints.Endpoints(r.Context(), name)
	if err != nil {
		return nil, err
	}
	if !exists {
		return nil, noService(name)
	}
	status, err := s.status.Status(r.Context())
	if err != nil {
		return nil, err
	}
	return ServiceEndpoints{Service: name, Proxy: status.Proxy, Endpoints: endpoints}, nil
}

func (s *Server) getAudit(r *http.Request) (any, error) {
	before, limit, err := pageOf(r)
	if err != nil {
		return nil, err
	}
	return s.committer.auditPage(r.Context(), r.URL.Query().Get("service"), before, limit)
}

func (s *Server) getEjections(r *http.Request) (any, error) {
	name := chi.URLParam(r, "service")
	// The name becomes part of an object name.
	if !config.ValidName(name) {
		return nil, noService(name)
	}
	before, limit, err := pageOf(r)
	if err != nil {
		return nil, err
	}
	return s.committer.ejectionPage(r.Context(), name, before, limit)
}

func pageOf(r *http.Request) (before int64, limit int, err error) {
	before, err = queryNumber(r, "before", math.MaxInt64, math.MaxInt64)
	if err != nil {
		return 0, 0, err
	}
	most, err := queryNumber(r, "limit", defaultPage, maxPage)
	return before, int(most), err
}

func queryNumber(r *http.Request, field string, fallback, most int64) (int64, error) {
	text := r.URL.Query().Get(field)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 || number > most {
		return 0, invalid(field, fmt.Sprintf("%q is not valid", text), fmt.Sprintf("a number from 1 to %d", most))
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

// ejectionPage lists the ejections of a service, newest first. The cursor is the
// number of an entry, counted from the oldest, which never changes.
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
	held, first := trail.Entries, trail.Archived*ejection.TrailSegment
	for number := min(before-1, trail.Len()); number > 0; number-- {
		if len(page.Entries) == limit {
			page.Before = number + 1
			break
		}
		if number <= first {
			segment := (number - 1) / ejection.TrailSegment
			if held, err = c.trailSegment(ctx, service, segment); err != nil {
				return page, err
			}
			first = segment * ejection.TrailSegment
		}
		page.Entries = append(page.Entries, held[number-first-1])
	}
	return page, nil
}

func (c *committer) trailSegment(ctx context.Context, service string, number int64) ([]ejection.TrailEntry, error) {
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
