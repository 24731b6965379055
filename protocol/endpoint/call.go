package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// maxInterim bounds the informational (1xx) responses before the final one.
const maxInterim = 8

// headRequest tells http.ReadResponse that the response has no body.
var headRequest = &http.Request{Method: http.MethodHead}

// errSilent means that a reused connection gave no byte within the silence timeout.
var errSilent = eris.New("endpoint: reused connection is silent")

// Do sends the request and returns its result, which must be released. The
// deadline applies to the complete held response; it may be later than the
// deadline that the endpoint is told, to learn a late result. Cancelling ctx abandons the
// call; a caller that must learn the result of a non-repeatable request passes
// a context that is not cancelled.
func (c *Client) Do(ctx context.Context, deadline time.Time, r *Request) *Result {
	started := time.Now()
	if !started.Before(deadline) {
		return &Result{err: eris.Wrap(ErrTimeout, "the deadline had passed")}
	}
	conn, err := c.acquire(ctx, deadline, r.rules.fresh())
	if err != nil {
		return acquireFailure(err, started)
	}
	if !conn.reused || !r.rules.repeatable || c.single {
		return c.exchange(ctx, conn, deadline, deadline, r)
	}
	silence := min(c.silenceTimeout, deadline.Sub(started)/2)
	result := c.exchange(ctx, conn, started.Add(silence), deadline, r)
	if errors.Is(result.err, errSilent) {
		c.discardIdle()
		return c.callAgain(ctx, deadline, r, result, true)
	}
	if errors.Is(result.err, ErrClosed) {
		return c.callAgain(ctx, deadline, r, result, false)
	}
	return result
}

// callAgain sends a repeatable request on a new connection, because the
// reused one was closed or silent, which says little about the endpoint.
func (c *Client) callAgain(ctx context.Context, deadline time.Time, r *Request, first *Result, silent bool) *Result {
	started := time.Now()
	conn, err := c.acquire(ctx, deadline, true)
	if err != nil {
		result := acquireFailure(err, started)
		result.wrote = first.wrote
		return result
	}
	result := c.exchange(ctx, conn, deadline, deadline, r)
	result.wrote = result.wrote || first.wrote
	result.silent = silent && result.err == nil
	return result
}

func acquireFailure(err error, started time.Time) *Result {
	result := &Result{err: err, elapsed: time.Since(started)}
	if errors.Is(err, ErrNoConnection) {
		result.kind = KindRefused
	}
	return result
}

// exchange writes the request to conn and reads the response. The first
// response byte must arrive before firstByte.
func (c *Client) exchange(ctx context.Context, conn *connection, firstByte, deadline time.Time, r *Request) *Result {
	started := time.Now()
	result := &Result{}
	_ = conn.net.SetDeadline(firstByte)
	stop := context.AfterFunc(ctx, conn.abort)
	err := c.roundTrip(ctx, conn, firstByte, deadline, r, result)
	result.elapsed = time.Since(started)
	if err != nil {
		stop()
		c.release(conn, false)
		result.fail(ctx, err, r.rules.patience)
		return result
	}
	if result.stream != nil {
		result.stream.stop = stop
		return result
	}
	// After a cancellation the abort may still be running, so the connection
	// is not used again.
	c.release(conn, stop() && !r.rules.fresh() && !result.response.Close)
	return result
}

func (c *Client) roundTrip(
	ctx context.Context, conn *connection, firstByte, deadline time.Time, r *Request, result *Result,
) error {
	writeErr := conn.write(r, result)
	if writeErr != nil && !result.wrote {
		return writeErr
	}
	// A server may respond and close before it has read the whole request, so
	// the response is read even after a failed write.
	conn.limitHead()
	if _, err := conn.reader.Peek(1); err != nil {
		return firstByteError(err, firstByte.Before(deadline))
	}
	if firstByte.Before(deadline) {
		_ = conn.net.SetDeadline(deadline)
		if ctx.Err() != nil {
			// An abort before this point has been overwritten.
			return ErrCancelled
		}
	}
	response, err := readHead(conn.reader, r.method)
	if err != nil {
		return err
	}
	conn.unlimited()
	result.response = response
	result.readMarks()
	if r.foreign(response) {
		return ErrForeign
	}
	if r.rules.dialect.unproven(response) {
		return eris.Wrap(ErrMalformed, "success without the field that proves its origin")
	}
	if err := c.readBody(conn, deadline, r, result); err != nil {
		return err
	}
	response.Close = response.Close || writeErr != nil
	result.kind = r.rules.dialect.statusKind(response)
	return nil
}

// write sends the whole request in one call where possible.
func (c *connection) write(r *Request, result *Result) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	*buffer = r.appendHead(*buffer, !r.rules.fresh(), time.Until(r.deadline))
	if len(r.body) <= maxPooledBytes {
		*buffer = append(*buffer, r.body...)
		n, err := c.net.Write(*buffer)
		result.wrote = n > 0
		return err
	}
	n, err := c.net.Write(*buffer)
	result.wrote = n > 0
	if err != nil {
		return err
	}
	_, err = c.net.Write(r.body)
	return err
}

// firstByteError tells a closed connection from a silent one and from a timeout.
func firstByteError(err error, beforeDeadline bool) error {
	if !isTimeout(err) {
		return eris.Wrapf(ErrClosed, "%v", err)
	}
	if beforeDeadline {
		return errSilent
	}
	return err
}

// readHead reads the head of the final response.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	var request *http.Request
	if method == http.MethodHead {
		request = headRequest
	}
	for range maxInterim {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrMalformed, "unrequested change of protocol")
		}
	}
	return nil, eris.Wrap(ErrMalformed, "too many informational responses")
}

// readBody holds the body, or prepares the stream of a larger one.
func (c *Client) readBody(conn *connection, deadline time.Time, r *Request, result *Result) error {
	response := result.response
	if !bodyAllowed(r.method, response.StatusCode) {
		return checkEnd(conn)
	}
	length := response.ContentLength
	if length < 0 && len(response.TransferEncoding) == 0 {
		if !r.rules.dialect.openLength {
			// The end of such a body is the end of the connection, so a break
			// cannot be told from the end.
			return eris.Wrap(ErrMalformed, "response without a stated length")
		}
		result.hold(c.memory)
		return readToEnd(response, r, result)
	}
	if length > r.rules.heldBytes {
		result.stream = newStream(c, conn, response, deadline)
		return nil
	}
	result.hold(c.memory)
	if length >= 0 {
		if !result.grow(int(length)) {
			result.dropHeld()
			result.stream = newStream(c, conn, response, deadline)
			return nil
		}
		return readStated(conn, result.held, int(length))
	}
	complete, err := result.readOpen(int(r.rules.heldBytes))
	if err != nil {
		return err
	}
	if !complete {
		result.stream = newStream(c, conn, response, deadline)
		return nil
	}
	return checkEnd(conn)
}

// readToEnd reads a body that ends with its connection. A reset is not an end.
func readToEnd(response *http.Response, r *Request, result *Result) error {
	response.Close = true
	complete, err := result.readOpen(int(r.rules.heldBytes))
	if err == nil && !complete {
		err = eris.Wrap(ErrMalformed, "response without a stated length is too large")
	}
	return err
}

// readStated reads a body of the stated length.
func readStated(conn *connection, held *[]byte, length int) error {
	*held = (*held)[:length]
	if _, err := io.ReadFull(conn.reader, *held); err != nil {
		return bodyError(err)
	}
	if length >= readBufferBytes {
		return checkLargeEnd(conn)
	}
	return checkEnd(conn)
}

// hold begins to hold the body.
func (r *Result) hold(memory *MemoryBudget) {
	r.held, r.memory = getBuffer(), memory
}

// readOpen reads a body of unknown length and reports whether it ended within limit
// bytes and within the memory for held bodies.
func (r *Result) readOpen(limit int) (bool, error) {
	for {
		if !r.grow(len(*r.held) + 1) {
			return false, nil
		}
		held := *r.held
		n, err := r.response.Body.Read(held[len(held):cap(held)])
		*r.held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, bodyError(err)
		}
		if len(*r.held) > limit {
			return false, nil
		}
	}
}

// checkEnd refuses a response that is followed by more bytes. Requests are not
// pipelined, so these bytes belong to no request.
func checkEnd(conn *connection) error {
	if conn.reader.Buffered() > 0 {
		return eris.Wrap(ErrMalformed, "bytes after the end of the response")
	}
	return nil
}

// checkLargeEnd is checkEnd for a body that may have been read past the read
// buffer, in which case following bytes are not in the buffer.
func checkLargeEnd(conn *connection) error {
	if received, _ := conn.poll(); received {
		return eris.Wrap(ErrMalformed, "bytes after the end of the response")
	}
	return checkEnd(conn)
}

// bodyError tells a break from a timeout.
func bodyError(err error) error {
	if isTimeout(err) {
		return err
	}
	return eris.Wrapf(ErrIncomplete, "%v", err)
}

// fail records the error of an exchange and the evidence that it gives. A
// timeout is evidence only if the endpoint had the time of patience: a caller
// with a very short deadline says nothing about the endpoint.
func (r *Result) fail(ctx context.Context, err error, patience time.Duration) {
	r.response = nil
	r.Release()
	if ctx.Err() != nil && (isTimeout(err) || errors.Is(err, errSilent) || errors.Is(err, ErrCancelled)) {
		r.kind, r.err = KindNone, ErrCancelled
		return
	}
	r.kind, r.err = classify(err, r.wrote)
	if r.kind == KindTimeout && r.elapsed < patience {
		r.kind = KindNone
	}
}

func classify(err error, wrote bool) (Kind, error) {
	switch {
	case errors.Is(err, errSilent):
		return KindNone, err
	case isTimeout(err):
		return KindTimeout, eris.Wrapf(ErrTimeout, "%v", err)
	case !wrote:
		return KindRefused, eris.Wrapf(ErrClosed, "%v", err)
	case errors.Is(err, ErrClosed):
		return KindError, err
	case errors.Is(err, ErrForeign), errors.Is(err, ErrIncomplete), errors.Is(err, ErrMalformed):
		return KindInvalid, err
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return KindInvalid, eris.Wrapf(ErrIncomplete, "%v", err)
	default:
		return KindInvalid, eris.Wrapf(ErrMalformed, "%v", err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
