package caller

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// Parts supplies the collaborators of the services in a new routing table. It
// returns the same collaborator for a service that it has seen before.
type Parts interface {
	Dispatcher(service *config.Service) Dispatcher
}

// Dispatcher admits the requests of one service and chooses their endpoints.
// It is safe for concurrent use.
type Dispatcher interface {
	// Admit waits until a request of the class may be sent. If it may not, the
	// permit is nil and retryAfter is the time after which the request may be
	// sent again. The class deadline applies if it is earlier.
	Admit(ctx context.Context, class string, deadline time.Time) (permit Permit, retryAfter time.Duration)
	// Observe takes a repeatable request without a body that was answered well.
	// It may be sent again as a trial.
	Observe(class string, request *endpoint.Request)
}

// Permit is the right to make one attempt at one endpoint. Every permit is
// ended with Done.
type Permit interface {
	// Endpoint returns the name of the endpoint.
	Endpoint() string
	Client() *endpoint.Client
	// Done ends the attempt. The result is nil if nothing was sent.
	Done(result *endpoint.Result)
	// Retry, called after Done, asks for another attempt and waits for it. After
	// a result that was not run the request waits for room like any other;
	// otherwise the attempt is charged to the retry budget.
	Retry(ctx context.Context, notRun bool) bool
	// RetryAfter returns the time after which the request would probably be admitted.
	RetryAfter() time.Duration
	// HedgeAt returns when a second attempt may be made beside this one.
	HedgeAt() (time.Time, bool)
	// Hedge returns a permit for a second attempt, charged to the retry budget.
	Hedge() (Permit, bool)
}

// Coordinator decides about work that must not repeat.
type Coordinator interface {
	// Claim obtains the right to send a request, or the final outcome. The
	// context carries the deadline. Every claim is ended with Answered, Unknown or
	// NotSent.
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
	// Answered ends the claim with the complete response, also after Unknown.
	Answered(response once.Response) once.Verdict
	// Unknown ends the claim without a response; the request may have run.
	Unknown() once.Verdict
	// NotSent ends the claim of a request that was not sent.
	NotSent(reason once.Reason) once.Verdict
}

// Recorder takes the results of attempts as evidence about endpoints.
type Recorder interface {
	Record(service, class, name, address string, result *endpoint.Result)
}

// Submission is one request that must not repeat.
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

// FirstSubmission reports whether the caller declared that it has never submitted the
// key before and that nothing in between resends requests.
func (s *Submission) FirstSubmission() bool { return s.first }
