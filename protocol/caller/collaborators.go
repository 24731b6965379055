package caller

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// DispatcherProvider supplies the dispatchers of the services in a new routing table.
// It returns the same dispatcher for the same service each time.
type DispatcherProvider interface {
	Dispatcher(service *config.Service) Dispatcher
}

// Dispatcher admits the requests of one service and chooses their endpoints.
// It is safe for concurrent use.
type Dispatcher interface {
	// Admit waits until a request of the class may be sent. If the request is
	// rejected, the permit is nil and retryAfter is the time after which it may be
	// sent again. The class deadline applies if it is earlier.
	Admit(ctx context.Context, class string, deadline time.Time) (permit Permit, retryAfter time.Duration)
	// Observe records a repeatable request without a body that succeeded. It may
	// be sent again as a probe.
	Observe(class string, request *endpoint.Request)
}

// Permit is the right to make one attempt at one endpoint. Every permit is
// ended with Done.
type Permit interface {
	// Endpoint returns the name of the endpoint.
	Endpoint() string
	Client() *endpoint.Client
	// Done ends the attempt. result is nil if nothing was sent.
	Done(result *endpoint.Result)
	// Retry is called after Done. It obtains another attempt for the permit, or
	// returns false. If the previous attempt was not run, the request is queued
	// again; otherwise the attempt is charged to the retry budget.
	Retry(ctx context.Context, notRun bool) bool
	// RetryAfter returns the time after which the request would probably be admitted.
	RetryAfter() time.Duration
	// HedgeAt returns when a concurrent second attempt may start, if at all.
	HedgeAt() (time.Time, bool)
	// Hedge returns a permit for a second attempt, charged to the retry budget.
	Hedge() (Permit, bool)
}

// Coordinator ensures that non-repeatable requests run at most once.
type Coordinator interface {
	// Claim obtains the right to send a request. Without it, the claim is nil and
	// the verdict is final. The context carries the deadline. Every claim is ended
	// with Answered, Unknown or NotSent.
	Claim(ctx context.Context, s *Submission) (Claim, once.Verdict)
	// Outcome returns the outcome of an earlier submission. Only the service and
	// the identity of s are used.
	Outcome(ctx context.Context, s *Submission) once.Verdict
}

// Claim is the right to have one request run by one endpoint.
type Claim interface {
	// BeginSend must succeed before the first byte of an attempt is written.
	BeginSend() error
	// MarkNotSent records that the attempt was certainly not run.
	MarkNotSent() error
	// Answered ends the claim with the complete response. It may follow Unknown.
	Answered(response once.Response) once.Verdict
	// Unknown ends the claim without a response; the request may have run.
	Unknown() once.Verdict
	// NotSent ends the claim of a request that was not sent.
	NotSent(reason once.Reason) once.Verdict
}

// Recorder records the results of attempts as evidence about endpoints.
type Recorder interface {
	Record(service, class, name, address string, result *endpoint.Result)
}

// Submission is a non-repeatable request submitted under an idempotency key.
type Submission struct {
	service       *config.Service
	authorization string
	team          string
	key           string
	method        string
	target        string
	body          []byte
	first         bool
}

// Service returns the description of the service.
func (s *Submission) Service() *config.Service { return s.service }

// Authorization returns the Authorization header.
func (s *Submission) Authorization() string { return s.authorization }

// Team returns the X-Team header.
func (s *Submission) Team() string { return s.team }

// Key returns the Idempotency-Key header.
func (s *Submission) Key() string { return s.key }

// Method returns the request method.
func (s *Submission) Method() string { return s.method }

// Target returns the path with the query string.
func (s *Submission) Target() string { return s.target }

// Body returns the request body.
func (s *Submission) Body() []byte { return s.body }

// FirstSubmission reports whether the caller declared that it has not submitted the
// key before and that no intermediary resends requests.
func (s *Submission) FirstSubmission() bool { return s.first }
