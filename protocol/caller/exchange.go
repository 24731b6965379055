package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// exchange handles one request of a caller.
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

// handle answers the request, or returns a refusal to send.
func (x *exchange) handle() *refusal {
	if refused := x.validate(); refused != nil {
		return x.refuseBeforeClaim(refused)
	}
	if refused := x.readBody(); refused != nil {
		return x.refuseBeforeClaim(refused)
	}
	if refused := x.refuseLate(); refused != nil {
		return x.refuseBeforeClaim(refused)
	}
	if x.class.repeatable {
		return x.sendRepeatable()
	}
	return x.sendAtMostOnce()
}

// refuseBeforeClaim corrects the outcome of a refusal that was decided before the
// record of the key was read: an earlier submission of the key may have run.
func (x *exchange) refuseBeforeClaim(r *refusal) *refusal {
	repeatable := x.class != nil && x.class.repeatable
	if x.key != "" && !repeatable && !x.firstSubmission() {
		r.outcome = OutcomeUnknown
	}
	return r
}

// refuseLate refuses a request that a graceful shutdown might interrupt.
func (x *exchange) refuseLate() *refusal {
	stop := x.handler.stop.Load()
	if stop == nil || stop.end.IsZero() || !time.Now().After(stop.lagEnd) || !x.deadline.After(stop.end) {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, "the proxy is stopping").retry(defaultRetryAfter)
}

func (x *exchange) firstSubmission() bool {
	return x.request.Header.Get(headerFirstSubmission) == "true"
}

// validate determines the class and checks the request head.
func (x *exchange) validate() *refusal {
	x.setRequestID()
	x.key = x.request.Header.Get(headerIdempotencyKey)
	if ready, reason := x.handler.readinessCheck(); !ready {
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

// setRequestID takes the request identifier of the caller, or generates one if it is
// missing or invalid, and adds it to the response header.
func (x *exchange) setRequestID() {
	x.id = x.request.Header.Get(headerRequestID)
	if !validRequestID(x.id) {
		x.id = x.handler.requestIDs.generate()
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

// readBody reads the whole body before the request is sent, so that a slow caller
// does not occupy an endpoint.
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
	// Clear the read deadline, which would otherwise cancel the request later.
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

// preallocatedBodyBytes is the largest body whose memory is allocated before it arrives.
const preallocatedBodyBytes = 64 << 10

// readAll reads a body of the given Content-Length, or of at most limit bytes if the
// length is unknown. Memory for a large body is allocated as it arrives, because a
// caller may announce a length and send nothing.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length > 0 && length <= preallocatedBodyBytes {
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

// endpointRequest returns the request to send to an endpoint.
func (x *exchange) endpointRequest() *endpoint.Request {
	header := x.request.Header
	removeHopByHop(header)
	delete(header, headerFirstSubmission)
	return endpoint.NewRequest(
		x.class.rules, x.request.Method, x.target, x.request.Host, x.id, x.deadline, header, x.body)
}

// recordAttempt ends the attempt, counts it and records its result as evidence.
func (x *exchange) recordAttempt(permit Permit, result *endpoint.Result) {
	permit.Done(result)
	x.class.metrics.attempts.Inc()
	x.handler.recorder.Record(
		x.class.service.config.Name, x.class.name, permit.Endpoint(), permit.Client().Address(), result)
}

// answeredValue is shared by all responses. It must not be modified.
var answeredValue = []string{string(OutcomeAnswered)}

// respond sends a response to the caller. It returns an error if a streamed response
// was truncated; the caller's connection must then be aborted.
func (x *exchange) respond(result *endpoint.Result, endpointName string) error {
	received := result.Header()
	removeHopByHop(received)
	// Only the proxy sets these fields; the identifier has been set already.
	delete(received, headerReplayed)
	delete(received, headerRequestID)
	h := x.writer.Header()
	for field, values := range received {
		h[field] = values
	}
	h[headerOutcome] = answeredValue
	h[headerEndpoint] = []string{endpointName}
	if n := result.BodyLength(x.request.Method); n >= 0 {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	x.class.metrics.record(OutcomeAnswered, x.arrival)
	x.extendWriteDeadline()
	x.writer.WriteHeader(result.Status())
	if body := result.Body(); len(body) > 0 {
		_, _ = x.writer.Write(body)
	}
	return result.CopyRest(x.writer, x.extendWriteDeadline)
}

// discardBody abandons the rest of the request body. Otherwise the server would wait
// for it before sending the refusal.
func (x *exchange) discardBody() {
	if x.bodyRead || x.request.ContentLength == 0 {
		return
	}
	_ = x.control.SetReadDeadline(time.Now())
	if x.request.ProtoMajor == 1 {
		x.writer.Header().Set("Connection", "close")
	}
}

// refuse counts and returns a refusal. The class of the request must be known.
func (x *exchange) refuse(r *refusal) *refusal {
	x.class.metrics.record(r.outcome, x.arrival)
	return r
}

// extendWriteDeadline limits the time in which the caller reads the next bytes.
func (x *exchange) extendWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.handler.writeTimeout))
}
