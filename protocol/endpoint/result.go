package endpoint

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headerRequestID  = "X-Request-Id"
	headerDeadline   = "X-Deadline-Ms"
	headerState      = "X-Endpoint-State"
	headerGeneration = "X-Generation"
	headerNotRun     = "X-Not-Run"
	stateDraining    = "draining"
)

// Errors that callers test with errors.Is.
var (
	// ErrNoConnection means that no connection could be opened.
	ErrNoConnection = eris.New("endpoint: no connection")
	// ErrConnectionLimit means that no connection became free before the deadline, or that
	// this process has no descriptor or port for one.
	ErrConnectionLimit = eris.New("endpoint: connection limit reached")
	// ErrTimeout means that the response did not arrive before the deadline.
	ErrTimeout = eris.New("endpoint: timeout")
	// ErrCancelled means that the context was cancelled or the caller stopped reading.
	ErrCancelled = eris.New("endpoint: cancelled")
	// ErrClosed means that the connection was closed before the first response byte.
	ErrClosed = eris.New("endpoint: connection closed without a response")
	// ErrIncomplete means that the response was truncated.
	ErrIncomplete = eris.New("endpoint: incomplete response")
	// ErrMalformed means that the response violates HTTP/1.1, has no length, or is
	// followed by bytes that belong to no request.
	ErrMalformed = eris.New("endpoint: malformed response")
	// ErrMismatchedResponse means that the response belongs to another request.
	ErrMismatchedResponse = eris.New("endpoint: response to another request")
)

// Result is the outcome of one call. Release must be called when the result is no
// longer used; Body is invalid afterwards. It is not safe for concurrent use.
type Result struct {
	kind         Kind
	err          error
	wrote        bool
	unresponsive bool
	draining     bool
	generation   int64
	rateLimit    []string // as declared in the response
	elapsed      time.Duration
	connection   net.Conn // that carried the request, nil without one
	reused       bool
	response     *http.Response
	buffered     *[]byte
	memory       *MemoryBudget
	reserved     int64 // capacity of the body buffer in bytes, including the unbudgeted part
	stream       *stream
	onRelease    []func()
}

// Kind returns the result of the call as evidence about the endpoint.
func (r *Result) Kind() Kind { return r.kind }

// Err returns nil if there is a valid response, whatever its status.
func (r *Result) Err() error { return r.err }

// Wrote reports whether any byte of the request was written to a connection.
func (r *Result) Wrote() bool { return r.wrote }

// NotRun reports whether the request was certainly not run: no byte was written, or
// the endpoint declared that it did not run it.
func (r *Result) NotRun() bool { return !r.wrote || r.kind == KindShed }

// UnresponsiveConnection reports whether a reused connection did not respond before a
// new one gave this result. This is evidence of KindUnresponsive.
func (r *Result) UnresponsiveConnection() bool { return r.unresponsive }

// Draining reports whether the endpoint declared that it is draining.
func (r *Result) Draining() bool { return r.draining }

// Generation returns the generation of the endpoint process, or 0 if unknown.
func (r *Result) Generation() int64 { return r.generation }

// Elapsed returns the time from the first byte of the request to the buffered
// response or the failure, on the connection that gave the result.
func (r *Result) Elapsed() time.Duration { return r.elapsed }

// Connection returns the local and the remote address of the connection that carried the
// request, or an empty string without one, and whether it had carried other requests.
func (r *Result) Connection() (addresses string, reused bool) {
	if r.connection == nil {
		return "", false
	}
	return r.connection.LocalAddr().String() + ">" + r.connection.RemoteAddr().String(), r.reused
}

// Status returns the response status, or 0 without a response.
func (r *Result) Status() int {
	if r.response == nil {
		return 0
	}
	return r.response.StatusCode
}

// Header returns the response header as received, or nil without a response.
func (r *Result) Header() http.Header {
	if r.response == nil {
		return nil
	}
	return r.response.Header
}

// TimedOut reports whether the deadline passed before there was a response.
// Unlike KindTimeout it includes timeouts that are no evidence.
func (r *Result) TimedOut() bool { return errors.Is(r.err, ErrTimeout) }

// BodyLength returns the Content-Length of the response to method, or -1 if the
// length is unknown or must not be sent.
func (r *Result) BodyLength(method string) int64 {
	switch {
	case r.response == nil:
		return -1
	case method == http.MethodHead || r.stream != nil:
		return r.response.ContentLength
	case !bodyAllowed(method, r.response.StatusCode):
		return -1
	default:
		return int64(len(r.Body()))
	}
}

// Body returns the buffered part of the body: all of it unless Streamed.
func (r *Result) Body() []byte {
	if r.buffered == nil {
		return nil
	}
	return *r.buffered
}

// Streamed reports whether the body has a part that is not buffered.
func (r *Result) Streamed() bool { return r.stream != nil }

// CopyRest writes the part of a streamed body that is not buffered to w and calls
// before ahead of each write. After any error the caller's connection must be
// aborted. Errors of the endpoint, such as ErrIncomplete, also change the kind.
func (r *Result) CopyRest(w io.Writer, before func()) error {
	if r.stream == nil {
		return nil
	}
	kind, err := r.stream.copyTo(w, before)
	if kind != KindNone {
		r.kind = kind
	}
	return err
}

// OnRelease calls the function when the result is released. A streamed response needs the
// context of its call until then.
func (r *Result) OnRelease(f func()) { r.onRelease = append(r.onRelease, f) }

// Release returns the buffers, and closes a streamed connection that cannot be
// reused.
func (r *Result) Release() {
	defer func() {
		for _, f := range r.onRelease {
			f()
		}
		r.onRelease = nil
	}()
	if r.stream != nil {
		r.stream.release()
		r.stream = nil
	}
	r.releaseBody()
}

// readEndpointFields reads the state and generation of the endpoint from the header.
func (r *Result) readEndpointFields() {
	header := r.response.Header
	r.draining = header.Get(headerState) == stateDraining
	if g := header.Get(headerGeneration); g != "" {
		r.generation, _ = strconv.ParseInt(g, 10, 64)
	}
}

// statusKind classifies a complete response by its status and header.
func (d *Dialect) statusKind(response *http.Response) Kind {
	if d.declaresNotRun(response) {
		return KindShed
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return KindError
	}
	return KindOK
}

// bodyAllowed reports whether a response to method can have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
