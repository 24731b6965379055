package operator

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/rollout"
)

// Sentinel errors of the API.
var (
	// ErrInvalid means that the request is invalid and nothing was applied.
	ErrInvalid = eris.New("operator: invalid request")
	// ErrNotFound means that what the request names does not exist.
	ErrNotFound = eris.New("operator: not found")
	// ErrStale means that the configuration changed since the plan was computed
	// and nothing was applied.
	ErrStale = eris.New("operator: the plan is stale")
	// ErrUnavailable means that no proxy, or no proxy that could reach the platform,
	// responded and that this request applied nothing. An earlier request of the same
	// operation may still have been applied.
	ErrUnavailable = eris.New("operator: not available")
	// ErrUnknown means that the change may or may not have been applied. Sending the
	// same confirmation again is safe.
	ErrUnknown = eris.New("operator: the result is unknown")
	// ErrInternal means that the proxy or the stored data is faulty.
	ErrInternal = eris.New("operator: internal error")
)

// Code is the machine-readable kind of a Problem.
type Code string

// The codes of problems.
const (
	CodeInvalid     Code = "invalid"
	CodeNotFound    Code = "notFound"
	CodeMethod      Code = "method"
	CodeContentType Code = "contentType"
	CodeTooLarge    Code = "tooLarge"
	CodeStale       Code = "stale"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown"
	CodeInternal    Code = "internal"
)

type codeMapping struct {
	status int
	err    error
}

var codeMappings = map[Code]codeMapping{
	CodeInvalid:     {http.StatusBadRequest, ErrInvalid},
	CodeNotFound:    {http.StatusNotFound, ErrNotFound},
	CodeMethod:      {http.StatusMethodNotAllowed, ErrInvalid},
	CodeContentType: {http.StatusUnsupportedMediaType, ErrInvalid},
	CodeTooLarge:    {http.StatusRequestEntityTooLarge, ErrInvalid},
	CodeStale:       {http.StatusConflict, ErrStale},
	CodeUnavailable: {http.StatusServiceUnavailable, ErrUnavailable},
	CodeUnknown:     {http.StatusGatewayTimeout, ErrUnknown},
	CodeInternal:    {http.StatusInternalServerError, ErrInternal},
}

// Problem is the body of every error response. It implements error and unwraps to
// the sentinel error of its code.
type Problem struct {
	Code    Code   `json:"code"`
	Message string `json:"error"`
	// Mistakes lists the errors of an invalid request.
	Mistakes config.Mistakes `json:"mistakes,omitempty"`
	// Revision is the current head revision, set for a stale plan.
	Revision int64 `json:"revision,omitempty"`
	// Difference is what changed since a stale plan was computed, limited to the
	// services that the plan names.
	Difference config.Difference `json:"difference,omitempty"`
	// Changes are the audit entries that made the plan stale, newest first.
	Changes []rollout.AuditEntry `json:"changes,omitempty"`
}

// Error returns the message, followed by one line for each mistake or by the
// changes that made the plan stale.
func (p *Problem) Error() string {
	lines := []string{p.Message}
	for _, m := range p.Mistakes {
		lines = append(lines, m.String())
	}
	for _, e := range p.Changes {
		lines = append(lines, fmt.Sprintf("revision %d by %s at %s: %s",
			e.Revision, e.Operator, e.Time().UTC().Format(time.RFC3339), e.Summary))
	}
	if len(p.Difference) > 0 {
		lines = append(lines, "changed since the plan was computed:", strings.TrimRight(p.Difference.String(), "\n"))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the sentinel error of the code, ErrInternal for an unknown code.
func (p *Problem) Unwrap() error {
	if k, ok := codeMappings[p.Code]; ok {
		return k.err
	}
	return ErrInternal
}

// status returns the HTTP status of the code, 500 for an unknown code.
func (p *Problem) status() int {
	if k, ok := codeMappings[p.Code]; ok {
		return k.status
	}
	return http.StatusInternalServerError
}

func invalid(field, problem, want string) *Problem {
	return &Problem{
		Code:     CodeInvalid,
		Message:  "the request is invalid",
		Mistakes: config.Mistakes{{Field: field, Problem: problem, Want: want}},
	}
}

// toProblem converts any error into the Problem sent to the client. Other errors
// than the listed ones come from the store.
func toProblem(err error) *Problem {
	var problem *Problem
	var mistakes config.Mistakes
	switch {
	case eris.As(err, &problem):
		return problem
	case eris.As(err, &mistakes):
		return &Problem{Code: CodeInvalid, Message: "the document is invalid", Mistakes: mistakes}
	case eris.Is(err, config.ErrDigest), eris.Is(err, rollout.ErrHead), eris.Is(err, rollout.ErrSegment), eris.Is(err, errExists):
		return &Problem{Code: CodeInternal, Message: "stored configuration is damaged: " + err.Error()}
	default:
		return &Problem{Code: CodeUnavailable, Message: "the platform is not reachable; this request applied nothing: " + err.Error()}
	}
}
