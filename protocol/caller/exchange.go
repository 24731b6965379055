package caller

import (
	"context"
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
	arrival  time.Time
	deadline time.Time
	body     []byte
	tried    []string
}

// run answers the request, or returns a refusal to send.
func (x *exchange) run() *refusal {
	if refused := x.accept(); refused != nil {
		return refused
	}
	if refused := x.readBody(); refused != nil {
		return refused
	}
	target, ok := target(x.request)
	if !ok {
		return notRun(http.StatusBadRequest, "the request target contains a space or a control character")
	}
	removeHopByHop(x.request.Header)
	request := endpoint.NewRequest(
		x.class.rules, x.request.Method, target, x.request.Host, x.id, x.request.Header, x.body)
	return x.send(request)
}

// accept identifies the class and checks everything that is known from the head.
func (x *exchange) accept() *refusal {
	x.identify()
	table := x.handler.table.Load()
	if table == nil {
		return notRun(http.StatusServiceUnavailable, "no configuration yet").retry(defaultRetryAfter)
	}
	if refused := checkPath(x.request); refused != nil {
		return refused
	}
	found, m := table.find(x.request.Host, x.request.URL.Path, x.request.Method)
	switch m {
	case matchNoPath:
		return notRun(http.StatusNotFound, "no service has this path")
	case matchNoMethod:
		return notRun(http.StatusMethodNotAllowed, "the method is not allowed for this path")
	}
	x.class = found
	if !found.service.allows(x.request.Header.Get(headerTeam)) {
		return notRun(http.StatusForbidden, "the team in X-Team may not call this service")
	}
	var refused *refusal
	x.deadline, refused = deadline(x.arrival, found.deadline, x.request.Header.Get(headerDeadline))
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

// readBody reads the whole body before anything is sent, so that a slow caller
// holds no endpoint.
func (x *exchange) readBody() *refusal {
	length := x.request.ContentLength
	if length == 0 {
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
	// A read deadline that passes later would cancel the request.
	_ = x.control.SetReadDeadline(time.Time{})
	if errors.Is(err, errTooLarge) {
		return x.tooLarge()
	}
	if err != nil {
		return notRun(http.StatusRequestTimeout, "the request body did not arrive in time").retry(defaultRetryAfter)
	}
	x.body = body
	return nil
}

func (x *exchange) tooLarge() *refusal {
	return notRun(http.StatusRequestEntityTooLarge,
		"the request body is larger than "+strconv.FormatInt(x.handler.bodyLimit, 10)+" bytes")
}

var errTooLarge = errors.New("caller: request body too large")

// readAll reads a body of the stated length, or of at most limit bytes if the
// length is not known.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length > 0 {
		b := make([]byte, length)
		_, err := io.ReadFull(body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, errTooLarge
	}
	return b, err
}

// send tries endpoints until there is a response for the caller.
func (x *exchange) send(request *endpoint.Request) *refusal {
	ctx := x.request.Context()
	if !x.class.repeatable {
		// The result of work that may have run must be learned even if the
		// caller has left.
		ctx = context.WithoutCancel(ctx)
	}
	for attempt := 1; ; attempt++ {
		result, name := x.attempt(ctx, request)
		if result == nil {
			return notRun(http.StatusServiceUnavailable, "no endpoint is available").retry(defaultRetryAfter)
		}
		if result.Err() == nil && (result.Kind() != endpoint.KindShed || attempt == maxAttempts) {
			x.respond(result, name)
			return nil
		}
		refused := x.failure(result)
		again := attempt < maxAttempts && time.Now().Before(x.deadline) && (x.class.repeatable || result.NotRun())
		result.Release()
		if !again {
			return refused
		}
	}
}

// attempt sends the request to one endpoint that was not tried before.
func (x *exchange) attempt(ctx context.Context, request *endpoint.Request) (*endpoint.Result, string) {
	s := x.class.service
	name, ok := s.balance.Pick(time.Now(), x.tried)
	if !ok {
		return nil, ""
	}
	x.tried = append(x.tried, name)
	result := s.endpoints[name].Do(ctx, x.deadline, request)
	s.balance.Done(name, time.Now(), result)
	return result, name
}

// failure describes a result without a usable response.
func (x *exchange) failure(result *endpoint.Result) *refusal {
	refused := &refusal{status: http.StatusBadGateway, message: "the endpoint gave no usable response"}
	if result.Kind() == endpoint.KindTimeout {
		refused.status, refused.message = http.StatusGatewayTimeout, "no response before the deadline"
	}
	refused.outcome = OutcomeUnknown
	if result.NotRun() {
		refused.status, refused.outcome = http.StatusServiceUnavailable, OutcomeNotRun
	}
	return refused.retry(defaultRetryAfter)
}

// respond passes a response on to the caller.
func (x *exchange) respond(result *endpoint.Result, name string) {
	defer result.Release()
	h := x.writer.Header()
	received := result.Header()
	removeHopByHop(received)
	removeReserved(received)
	for field, values := range received {
		h[field] = values
	}
	h.Set(headerRequestID, x.id)
	h.Set(headerOutcome, string(OutcomeAnswered))
	h.Set(headerEndpoint, name)
	if n := result.StatedLength(); n >= 0 && x.request.Method == http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	} else if n := result.ContentLength(); n >= 0 && result.Status() != http.StatusNoContent && result.Status() != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	x.extendWrite()
	x.writer.WriteHeader(result.Status())
	_, _ = x.writer.Write(result.Body())
	if result.CopyRest(x.writer, x.extendWrite) != nil {
		// The caller must not take the part that it received for the whole.
		panic(http.ErrAbortHandler)
	}
}

// extendWrite bounds the time in which the caller takes the next bytes.
func (x *exchange) extendWrite() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.handler.writeTimeout))
}
