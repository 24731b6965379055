package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// exchange is one request of a caller on its way to a response.
type exchange struct {
	handler  *Handler
	writer   http.ResponseWriter
	control  *http.ResponseController
	request  *http.Request
	class    *class
	id       string
	target   string
	key      string
	arrival  time.Time
	deadline time.Time
	body     []byte
	bodyRead bool
}

// run answers the request, or returns a refusal to send.
func (x *exchange) run() *refusal {
	if refused := x.accept(); refused != nil {
		return x.beforeClaim(refused)
	}
	if refused := x.readBody(); refused != nil {
		return x.beforeClaim(refused)
	}
	if x.class.repeatable {
		return x.sendRepeatable()
	}
	return x.sendOnce()
}

// beforeClaim corrects the outcome of a refusal that came before the record of
// the key was read: an earlier submission of the key may have run.
func (x *exchange) beforeClaim(r *refusal) *refusal {
	repeatable := x.class != nil && x.class.repeatable
	if x.key != "" && !repeatable && !x.first() {
		r.outcome = OutcomeUnknown
	}
	return r
}

// first reports whether the caller declared that this is the first submission
// of its key.
func (x *exchange) first() bool { return x.request.Header.Get(headerFirst) == "true" }

// accept identifies the class and checks everything that is known from the head.
func (x *exchange) accept() *refusal {
	x.identify()
	x.key = x.request.Header.Get(headerIdempotencyKey)
	if ready, reason := x.handler.gate(); !ready {
		return notRun(http.StatusServiceUnavailable, "the proxy is not ready: "+reason).retry(defaultRetryAfter)
	}
	var refused *refusal
	if x.target, refused = checkedTarget(x.request); refused != nil {
		return refused
	}
	if refused := x.route(); refused != nil {
		return refused
	}
	if !x.class.service.config.AllowsTeam(x.request.Header.Get(headerTeam)) {
		return notRun(http.StatusForbidden, "the team in X-Team may not call this service")
	}
	if !x.class.repeatable && x.key == "" {
		return notRun(http.StatusBadRequest, "the request needs an Idempotency-Key header, because it must not run twice")
	}
	x.deadline, refused = deadline(x.arrival, x.class.deadline, x.request.Header.Get(headerDeadline))
	return refused
}

// identify keeps or creates the request identifier and returns it to the caller.
func (x *exchange) identify() {
	x.id = x.request.Header.Get(headerRequestID)
	if !validRequestID(x.id) {
		x.id = x.handler.identifiers.create()
	}
	x.writer.Header().Set(headerRequestID, x.id)
}

func (x *exchange) route() *refusal {
	table := x.handler.table.Load()
	if table == nil {
		return notRun(http.StatusServiceUnavailable, "no configuration yet").retry(defaultRetryAfter)
	}
	found, m := table.find(x.request.Host, x.request.URL.Path, x.request.Method)
	switch m {
	case matchNoPath:
		return notRun(http.StatusNotFound, "no service has this path")
	case matchNoMethod:
		return notRun(http.StatusMethodNotAllowed, "the method is not allowed for this path")
	}
	x.class = found
	return nil
}

// readBody reads the whole body before anything is sent, so that a slow caller
// holds no endpoint.
func (x *exchange) readBody() *refusal {
	length := x.request.ContentLength
	if length == 0 {
		x.bodyRead = true
		return nil
	}
	limit := x.handler.bodyLimit
	if length > limit {
		return x.tooLarge()
	}
	until := time.Now().Add(x.handler.bodyTimeout)
	if x.deadline.Before(until) {
		until = x.deadline
	}
	_ = x.control.SetReadDeadline(until)
	body, err := readAll(x.request.Body, length, limit)
	if errors.Is(err, errTooLarge) {
		return x.tooLarge()
	}
	if err != nil {
		return notRun(http.StatusRequestTimeout, "the request body did not arrive in time").retry(defaultRetryAfter)
	}
	// A read deadline that passes later would cancel the request.
	_ = x.control.SetReadDeadline(time.Time{})
	x.body = body
	x.bodyRead = true
	return nil
}

func (x *exchange) tooLarge() *refusal {
	return notRun(http.StatusRequestEntityTooLarge,
		"the request body is larger than "+strconv.FormatInt(x.handler.bodyLimit, 10)+" bytes")
}

var errTooLarge = errors.New("caller: request body too large")

// eagerBodyBytes is the largest body for which memory is taken before it arrives.
const eagerBodyBytes = 64 << 10

// readAll reads a body of the stated length, or of at most limit bytes if the
// length is not known. Memory for a large body is taken as it arrives, because
// a caller may state a length and send nothing.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length > 0 && length <= eagerBodyBytes {
		b := make([]byte, length)
		_, err := io.ReadFull(body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, errTooLarge
	}
	if err == nil && length > 0 && int64(len(b)) != length {
		return b, io.ErrUnexpectedEOF
	}
	return b, err
}

// outbound returns the request to send to an endpoint.
func (x *exchange) outbound() *endpoint.Request {
	header := x.request.Header
	removeHopByHop(header)
	delete(header, headerFirst)
	return endpoint.NewRequest(
		x.class.rules, x.request.Method, x.target, x.request.Host, x.id, x.deadline, header, x.body)
}

// finish counts the attempt and passes its result on as evidence.
func (x *exchange) finish(permit Permit, result *endpoint.Result) {
	permit.Done(result)
	x.class.counts.attempts.Inc()
	x.handler.recorder.Record(
		x.class.service.config.Name, x.class.name, permit.Endpoint(), permit.Client().Address(), result)
}

// answeredValue is shared by all responses; header values are not changed in place.
var answeredValue = []string{string(OutcomeAnswered)}

// respond passes a response on to the caller. It returns an error if a
// streamed response broke off; the caller's connection must then be aborted.
func (x *exchange) respond(result *endpoint.Result, name string) error {
	received := result.Header()
	removeHopByHop(received)
	// The proxy states these itself; the identifier was set at the start.
	delete(received, headerReplayed)
	delete(received, headerRequestID)
	h := x.writer.Header()
	for field, values := range received {
		h[field] = values
	}
	h[headerOutcome] = answeredValue
	h[headerEndpoint] = []string{name}
	if n := result.BodyLength(x.request.Method); n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	x.class.counts.count(OutcomeAnswered, x.arrival)
	x.extendWrite()
	x.writer.WriteHeader(result.Status())
	if body := result.Body(); len(body) > 0 {
		_, _ = x.writer.Write(body)
	}
	return result.CopyRest(x.writer, x.extendWrite)
}

// dropBody gives up the rest of a request body. The server would otherwise wait
// for it before it sends the refusal.
func (x *exchange) dropBody() {
	if x.bodyRead || x.request.ContentLength == 0 {
		return
	}
	_ = x.control.SetReadDeadline(time.Now())
	if x.request.ProtoMajor == 1 {
		x.writer.Header().Set("Connection", "close")
	}
}

// refuse counts and returns a refusal of a request whose class is known.
func (x *exchange) refuse(r *refusal) *refusal {
	x.class.counts.count(r.outcome, x.arrival)
	return r
}

// extendWrite bounds the time in which the caller takes the next bytes.
func (x *exchange) extendWrite() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.handler.writeTimeout))
}
