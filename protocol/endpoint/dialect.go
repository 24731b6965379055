package endpoint

import (
	"net/http"

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
)

// Dialect defines the header fields and HTTP features that the endpoints of a
// deployment use. It is immutable.
type Dialect struct {
	requestID          string
	deadline           string
	notRun             string
	instance           string
	requiredField      string
	rateLimit          string
	leaving            string
	rest               bool
	closeDelimited     bool
	reuseNonRepeatable bool
	notRunValue        string
}

// DialectOption changes a Dialect under construction.
type DialectOption func(*Dialect)

// WithInstance sets the request field that names the process that may run the
// request. Another process at the same address responds with 421.
func WithInstance(name string) DialectOption {
	return func(d *Dialect) { d.instance = http.CanonicalHeaderKey(name) }
}

// WithRequiredField sets the response field that proves the origin of a successful
// response. A successful response without it is malformed.
func WithRequiredField(name string) DialectOption {
	return func(d *Dialect) { d.requiredField = http.CanonicalHeaderKey(name) }
}

// WithRateLimit sets the response field that declares how many requests per second the
// endpoint accepts from all proxies together.
func WithRateLimit(name string) DialectOption {
	return func(d *Dialect) { d.rateLimit = http.CanonicalHeaderKey(name) }
}

// WithLeaving sets the response field whose value 1 means that the endpoint is about to
// stop.
func WithLeaving(name string) DialectOption {
	return func(d *Dialect) { d.leaving = http.CanonicalHeaderKey(name) }
}

// WithRest makes Retry-After in a rejection the time for which the endpoint wants no requests
// from this proxy.
func WithRest() DialectOption { return func(d *Dialect) { d.rest = true } }

// WithCloseDelimited accepts responses that end with their connection.
func WithCloseDelimited() DialectOption { return func(d *Dialect) { d.closeDelimited = true } }

// WithNonRepeatableReuse lets non-repeatable requests reuse connections. Each of them
// is still written at most once.
func WithNonRepeatableReuse() DialectOption { return func(d *Dialect) { d.reuseNonRepeatable = true } }

// NewDialect returns a dialect from header field names: requestID carries the request
// identifier and deadline the remaining time in milliseconds. A response with the
// field notRun, whatever its value, declares that the request was not run.
func NewDialect(requestID, deadline, notRun string, options ...DialectOption) *Dialect {
	d := &Dialect{
		requestID: http.CanonicalHeaderKey(requestID),
		deadline:  http.CanonicalHeaderKey(deadline),
		notRun:    http.CanonicalHeaderKey(notRun),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// defaultDialect applies to rules without WithDialect.
var defaultDialect = &Dialect{
	requestID: headerRequestID, deadline: headerDeadline, notRun: headerNotRun, notRunValue: "true",
}

// declaresNotRun reports whether the response states that the request was not run.
func (d *Dialect) declaresNotRun(response *http.Response) bool {
	if d.instance != "" && response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	value, found := response.Header[d.notRun]
	if !found || len(value) == 0 {
		return false
	}
	return d.notRunValue == "" || response.StatusCode == http.StatusServiceUnavailable && value[0] == d.notRunValue
}

// lacksRequiredField reports whether a successful response lacks the required field, or names it
// as a field of the connection.
func (d *Dialect) lacksRequiredField(response *http.Response) bool {
	if d.requiredField == "" || response.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	for name := range rfc9112.ConnectionFields(response.Header) {
		if name == d.requiredField {
			return true
		}
	}
	return response.Header.Get(d.requiredField) == ""
}
