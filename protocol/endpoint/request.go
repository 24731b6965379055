package endpoint

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
)

// Rules define how responses are validated and whether a request may be repeated.
// There is one set of rules for each request class. Rules are immutable.
type Rules struct {
	dialect            *Dialect
	echoHeader         string
	maxBufferedBytes   int64
	repeatable         bool
	minEvidenceTimeout time.Duration
}

// NewRules returns the rules of a class. Unless echoHeader is empty, the response
// field of that name must repeat the request identifier. Responses of up to
// maxBufferedBytes are buffered until they are complete. A non-repeatable request is
// written to at most one connection, which is new and not reused. A timeout after
// less than minEvidenceTimeout is no evidence against the endpoint.
func NewRules(
	echoHeader string, maxBufferedBytes int64, repeatable bool, minEvidenceTimeout time.Duration,
) Rules {
	return Rules{
		dialect:            defaultDialect,
		echoHeader:         http.CanonicalHeaderKey(echoHeader),
		maxBufferedBytes:   maxBufferedBytes,
		repeatable:         repeatable,
		minEvidenceTimeout: minEvidenceTimeout,
	}
}

// WithDialect returns a copy of the rules for endpoints that use the dialect.
func (r Rules) WithDialect(d *Dialect) Rules {
	r.dialect = d
	return r
}

// needsNewConnection reports whether no request of the class may use an idle connection.
func (r Rules) needsNewConnection() bool { return !r.repeatable && !r.dialect.reuseNonRepeatable }

// checkSingleFields returns an error if a field that identifies the response, or states that the
// request was not run, occurs more than once.
func (r Rules) checkSingleFields(response *http.Response) error {
	return rfc9112.CheckSingle(response.Header, r.echoHeader, r.dialect.requiredField, r.dialect.notRun)
}

// Request is a request to an endpoint. The whole body is in memory, so that an
// attempt does not depend on the speed of the caller.
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
	carriers *carriers
	gate     Gate // nil admits all
}

// carriers are the connections that a request identifier was written to. Its copies share
// them.
type carriers struct {
	mu   sync.Mutex
	list []*connection
}

func (c *carriers) add(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, conn)
}

func (c *carriers) contain(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.list, conn)
}

// NewRequest returns a request for target, a path with an optional query. The time
// until deadline is sent to the endpoint. The header must not contain hop-by-hop
// fields, Host or Content-Length, and its values must come from the net/http parser,
// because they are written without further checks.
func NewRequest(
	rules Rules, method, target, host, id string, deadline time.Time, header http.Header, body []byte,
) *Request {
	return &Request{
		rules: rules, method: method, target: target, host: host,
		id: id, deadline: deadline, header: header, body: body, carriers: &carriers{},
	}
}

// WithIdentity returns a copy with another request identifier and deadline, for
// sending the same request again as a probe.
func (r *Request) WithIdentity(id string, deadline time.Time) *Request {
	c := *r
	c.id = id
	c.deadline = deadline
	c.carriers = &carriers{}
	return &c
}

// ForInstance returns a copy with another deadline that only the process with the
// given instance name may run.
func (r *Request) ForInstance(instance string, deadline time.Time) *Request {
	c := *r
	c.instance = instance
	c.deadline = deadline
	return &c
}

// WithGate returns a copy that the gate has to admit.
func (r *Request) WithGate(g Gate) *Request {
	c := *r
	c.gate = g
	return &c
}

// mayUse reports whether an idle connection may carry the request. A response is matched by
// the request identifier, so a late copy of the response to an earlier attempt on the
// connection would be taken for the response to this one, and so would any without one for
// the response to a request without one.
func (r *Request) mayUse(conn *connection) bool {
	identifiable := r.id != "" || r.rules.echoHeader == ""
	return identifiable && !r.rules.needsNewConnection() && !r.carriers.contain(conn)
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

// checkIdentifier returns an error that wraps [ErrMismatchedResponse] if the response may
// belong to another request, and reports whether it has the identifier of this one. Responses
// with status 400 and above may lack the identifier: servers create them before the
// application sees the request, and callers that provoke them must not produce evidence
// against the endpoint. On a connection that has carried other requests such a response may
// be a late copy of theirs.
func (r *Request) checkIdentifier(response *http.Response, reused bool) (identified bool, err error) {
	if r.rules.echoHeader == "" {
		return true, nil
	}
	echo := response.Header.Get(r.rules.echoHeader)
	switch {
	case echo != "" && echo == r.id:
		return true, nil
	case echo != "" || response.StatusCode < http.StatusBadRequest && r.id != "":
		return false, ErrMismatchedResponse
	case reused:
		return false, errUnidentified
	}
	return false, nil
}

// needsLength reports whether the request has a Content-Length field. Servers expect
// it for methods that usually carry a body, even if the length is zero.
func (r *Request) needsLength() bool {
	if len(r.body) > 0 {
		return true
	}
	return r.method == http.MethodPost || r.method == http.MethodPut || r.method == http.MethodPatch
}
