package endpoint

import (
	"net/http"
	"strconv"
	"time"
)

// Rules state how responses of a service are checked and how often a request
// may be sent. They are built once for each class.
type Rules struct {
	dialect    *Dialect
	echoHeader string
	heldBytes  int64
	repeatable bool
	patience   time.Duration
}

// NewRules returns the rules of a class. The response header echoHeader must
// repeat the request identifier, unless it is empty. Responses up to heldBytes
// bytes are held until they are complete. A request that is not repeatable is
// written to at most one connection, which is new and not used again. A missing
// response after less than patience is no evidence against the endpoint.
func NewRules(echoHeader string, heldBytes int64, repeatable bool, patience time.Duration) Rules {
	return Rules{
		dialect:    defaultDialect,
		echoHeader: http.CanonicalHeaderKey(echoHeader),
		heldBytes:  heldBytes,
		repeatable: repeatable,
		patience:   patience,
	}
}

// WithDialect returns a copy of the rules for endpoints that speak the dialect.
func (r Rules) WithDialect(d *Dialect) Rules {
	r.dialect = d
	return r
}

// fresh reports whether requests need a new connection.
func (r Rules) fresh() bool { return !r.repeatable && !r.dialect.reuseOnce }

// Request is one request to an endpoint. Its body is held in memory, so that
// an attempt never depends on the speed of the caller.
type Request struct {
	rules    Rules
	method   string
	target   string
	host     string
	id       string
	instance string
	deadline time.Time
	header   http.Header
	body     []byte
}

// NewRequest returns a request for the target, which is a path with an
// optional query. The deadline is the one that the endpoint is told. The header
// must not contain hop-by-hop fields, Host or Content-Length, and its values
// must come from the net/http parser, because they are written without further
// checks.
func NewRequest(
	rules Rules, method, target, host, id string, deadline time.Time, header http.Header, body []byte,
) *Request {
	return &Request{
		rules: rules, method: method, target: target, host: host,
		id: id, deadline: deadline, header: header, body: body,
	}
}

// WithIdentity returns a copy with another request identifier and deadline,
// for sending the same request as a trial.
func (r *Request) WithIdentity(id string, deadline time.Time) *Request {
	c := *r
	c.id = id
	c.deadline = deadline
	return &c
}

// ForInstance returns a copy that only the process with that instance name may run, with
// the deadline that it is told.
func (r *Request) ForInstance(instance string, deadline time.Time) *Request {
	c := *r
	c.instance = instance
	c.deadline = deadline
	return &c
}

// appendHead appends the request line and the header fields to b.
func (r *Request) appendHead(b []byte, keepAlive bool, remaining time.Duration) []byte {
	b = append(b, r.method...)
	b = append(b, ' ')
	b = append(b, r.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.host...)
	b = append(b, "\r\n"...)
	dialect := r.rules.dialect
	b = appendField(b, dialect.requestID, r.id)
	b = append(b, dialect.deadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(remaining.Milliseconds(), 1), 10)
	b = append(b, "\r\n"...)
	if dialect.instance != "" && r.instance != "" {
		b = appendField(b, dialect.instance, r.instance)
	}
	if r.needsLength() {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.body)), 10)
		b = append(b, "\r\n"...)
	}
	if !keepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	for name, values := range r.header {
		if name == dialect.requestID || name == dialect.deadline || name == dialect.instance {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// foreign reports whether a response belongs to another request. Responses of
// 400 and above may lack the echo: servers create them before the application
// sees the request, and a caller who provokes them must not produce evidence
// against the endpoint.
func (r *Request) foreign(response *http.Response) bool {
	if r.rules.echoHeader == "" {
		return false
	}
	echo := response.Header.Get(r.rules.echoHeader)
	if echo == "" && response.StatusCode >= http.StatusBadRequest {
		return false
	}
	return echo != r.id
}

// needsLength reports whether the request states its body length. Servers
// expect a length from methods that usually carry a body, even if it is zero.
func (r *Request) needsLength() bool {
	if len(r.body) > 0 {
		return true
	}
	return r.method == http.MethodPost || r.method == http.MethodPut || r.method == http.MethodPatch
}
