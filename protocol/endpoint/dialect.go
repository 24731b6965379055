package endpoint

import "net/http"

// Dialect names the header fields that endpoints of a deployment use.
type Dialect struct {
	requestID   string
	deadline    string
	notRun      string
	instance    string
	proof       string
	openLength  bool
	reuseOnce   bool
	notRunValue string
}

// DialectOption changes a Dialect under construction.
type DialectOption func(*Dialect)

// WithInstance sets the request field that names the process that may run the
// request. Another process at the address answers 421.
func WithInstance(name string) DialectOption {
	return func(d *Dialect) { d.instance = http.CanonicalHeaderKey(name) }
}

// WithRequiredField sets the response field without which a success is malformed.
func WithRequiredField(name string) DialectOption {
	return func(d *Dialect) { d.proof = http.CanonicalHeaderKey(name) }
}

// WithCloseDelimited accepts responses that end with their connection.
func WithCloseDelimited() DialectOption { return func(d *Dialect) { d.openLength = true } }

// WithNonRepeatableReuse lets requests that are not repeatable use connections again.
// Such a request is still written at most once.
func WithNonRepeatableReuse() DialectOption { return func(d *Dialect) { d.reuseOnce = true } }

// NewDialect returns a dialect. Endpoints learn the identifier and the time left
// in milliseconds from the fields requestID and deadline. A response with the
// field notRun of any value declares that the request was not run.
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

// defaultDialect is the product's own.
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

// unproven reports whether a success lacks the field that proves its origin.
func (d *Dialect) unproven(response *http.Response) bool {
	return d.proof != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(d.proof) == ""
}
