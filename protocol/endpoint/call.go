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

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
)

// maxInterim is the largest number of interim (1xx) responses before the final one.
const maxInterim = 8

// errUnidentified means that a response without the request identifier arrived on a
// connection that had carried other requests.
var errUnidentified = eris.Wrap(ErrMismatchedResponse, "no identifier on a reused connection")

// errUnresponsive means that no response byte arrived on a reused connection within
// the silence timeout.
var errUnresponsive = eris.New("endpoint: no response byte on a reused connection")

// Do sends the request and returns its result, which must be released. The response
// must be buffered completely before deadline, which may be later than the deadline
// sent to the endpoint so that a late result is still received. Cancelling ctx
// abandons the call. Callers that need the result of a non-repeatable request pass a
// context that is not cancelled.
func (c *Client) Do(ctx context.Context, deadline time.Time, r *Request) *Result {
	started := time.Now()
	if !started.Before(deadline) {
		return &Result{err: eris.Wrap(ErrTimeout, "the deadline passed before the call")}
	}
	if err := r.admit(); err != nil {
		return &Result{err: err}
	}
	conn, err := c.acquire(ctx, deadline, r, false)
	if err != nil {
		return acquireFailure(err, started)
	}
	if !conn.reused || !r.rules.repeatable || c.singleAttempt {
		return c.exchange(ctx, conn, deadline, deadline, r)
	}
	timeout := min(c.silenceTimeout, deadline.Sub(started)/2)
	result := c.exchange(ctx, conn, started.Add(timeout), deadline, r)
	if errors.Is(result.err, errUnresponsive) {
		// A fault on the network path usually affects all idle connections.
		c.CloseAllIdle()
		return c.retryOnNewConnection(ctx, deadline, r, result, true)
	}
	if errors.Is(result.err, ErrClosed) || errors.Is(result.err, errUnidentified) {
		return c.retryOnNewConnection(ctx, deadline, r, result, false)
	}
	return result
}

// retryOnNewConnection sends a repeatable request again after the reused connection
// was closed or did not respond, which is weak evidence about the endpoint itself.
func (c *Client) retryOnNewConnection(
	ctx context.Context, deadline time.Time, r *Request, first *Result, unresponsive bool,
) *Result {
	started := time.Now()
	conn, err := c.acquire(ctx, deadline, r, true)
	if err != nil {
		result := acquireFailure(err, started)
		result.wrote = first.wrote
		return result
	}
	result := c.exchange(ctx, conn, deadline, deadline, r)
	result.wrote = result.wrote || first.wrote
	result.unresponsive = unresponsive && result.err == nil
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
// response byte must arrive before firstByteDeadline.
func (c *Client) exchange(
	ctx context.Context, conn *connection, firstByteDeadline, deadline time.Time, r *Request,
) *Result {
	if err := r.admit(); err != nil {
		c.release(conn, true)
		return &Result{err: err}
	}
	started := time.Now()
	result := &Result{connection: conn.net, reused: conn.reused}
	conn.refused = nil
	_ = conn.net.SetDeadline(firstByteDeadline)
	stop := context.AfterFunc(ctx, conn.abort)
	err := c.roundTrip(ctx, conn, firstByteDeadline, deadline, r, result)
	result.elapsed = time.Since(started)
	if err != nil {
		stop()
		c.release(conn, false)
		result.fail(ctx, err, r.rules.minEvidenceTimeout)
		return result
	}
	if result.stream != nil {
		result.stream.stop = stop
		return result
	}
	// If stop returns false, abort has been called and may still be running, so
	// the connection is not reused.
	c.release(conn, stop() && !r.rules.needsNewConnection() && !result.response.Close)
	return result
}

func (c *Client) roundTrip(
	ctx context.Context, conn *connection, firstByteDeadline, deadline time.Time, r *Request, result *Result,
) error {
	r.carriers.add(conn)
	conn.writeErr = conn.write(r, result)
	if conn.writeErr != nil && !result.wrote {
		return conn.writeErr
	}
	// A server may respond and close before it has read the whole request, so
	// the response is read even after a failed write.
	conn.limitHead()
	if _, err := conn.reader.Peek(1); err != nil {
		return firstByteError(err, firstByteDeadline.Before(deadline))
	}
	if firstByteDeadline.Before(deadline) {
		_ = conn.net.SetDeadline(deadline)
		if ctx.Err() != nil {
			// SetDeadline has overwritten the deadline of an earlier abort.
			return ErrCancelled
		}
	}
	response, err := readHead(conn.reader, r.method)
	if err != nil {
		return err
	}
	if err := r.rules.checkSingleFields(response); err != nil {
		return err
	}
	conn.removeLimit()
	result.response = response
	result.readEndpointFields()
	if err := c.checkIdentifier(conn, r, response); err != nil {
		return err
	}
	r.observeNotice(response)
	if r.rules.dialect.lacksRequiredField(response) {
		return eris.Wrap(ErrMalformed, "successful response without the required header field")
	}
	result.rateLimit = r.rules.dialect.rateLimitOf(response)
	if err := c.readBody(conn, deadline, r, result); err != nil {
		return err
	}
	response.Close = response.Close || conn.writeErr != nil
	result.kind = r.rules.dialect.statusKind(response)
	if result.kind == KindShed {
		conn.refused = r
	}
	return nil
}

// checkIdentifier rejects a response that may belong to another request. A connection with a
// response that has no identifier is not reused, because a late copy of it could not be told
// from other responses.
func (c *Client) checkIdentifier(conn *connection, r *Request, response *http.Response) error {
	identified, err := r.checkIdentifier(response, conn.reused)
	if identified {
		return nil
	}
	if err != nil {
		c.observe(foreignResponse(err))
	}
	if r.rules.dialect.declaresNotRun(response) {
		c.avoidReuse(time.Now().Add(anonymousRefusalPeriod))
	}
	response.Close = true
	return err
}

// write sends the whole request in one call where possible.
func (c *connection) write(r *Request, result *Result) error {
	buffer := getBuffer()
	defer putBuffer(buffer)
	*buffer = r.appendHead(*buffer, !r.rules.needsNewConnection(), time.Until(r.deadline))
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

// firstByteError distinguishes a closed connection, an unresponsive reused connection
// and a timeout of the call.
func firstByteError(err error, beforeDeadline bool) error {
	if !isTimeout(err) {
		return eris.Wrapf(ErrClosed, "%v", err)
	}
	if beforeDeadline {
		return errUnresponsive
	}
	return err
}

// readHead reads the head of the final response.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterim {
		response, err := rfc9112.ReadResponse(reader, method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrMalformed, "unrequested protocol switch")
		}
	}
	return nil, eris.Wrap(ErrMalformed, "too many informational responses")
}

// readBody buffers the body. If the body exceeds the limit of the rules or the memory
// budget, it prepares a stream for the rest.
func (c *Client) readBody(conn *connection, deadline time.Time, r *Request, result *Result) error {
	response := result.response
	if !bodyAllowed(r.method, response.StatusCode) {
		return checkNoTrailing(conn)
	}
	length := response.ContentLength
	if length < 0 && len(response.TransferEncoding) == 0 {
		if err := r.rules.dialect.checkCloseDelimited(conn); err != nil {
			return err
		}
		result.startBuffering(c.memory)
		return readCloseDelimited(response, r, result)
	}
	if length > r.rules.maxBufferedBytes {
		result.stream = newStream(c, conn, response, deadline)
		return nil
	}
	result.startBuffering(c.memory)
	if length >= 0 {
		if !result.grow(int(length)) {
			result.releaseBody()
			result.stream = newStream(c, conn, response, deadline)
			return nil
		}
		return readKnownLength(conn, result.buffered, int(length))
	}
	complete, err := result.readUnknownLength(int(r.rules.maxBufferedBytes))
	if err != nil {
		return err
	}
	if !complete {
		result.stream = newStream(c, conn, response, deadline)
		return nil
	}
	return checkNoTrailing(conn)
}

// checkCloseDelimited returns an error if the end of the connection does not show that a body
// without a length is complete. If it does, the body ends where a read returns io.EOF, and any
// other error means that it is truncated.
func (d *Dialect) checkCloseDelimited(conn *connection) error {
	if !d.closeDelimited {
		return eris.Wrap(ErrMalformed, "response without a length")
	}
	if conn.writeErr != nil {
		// A reset is reported to a single call. If that was the write, the next read returns
		// io.EOF.
		return eris.Wrapf(ErrIncomplete, "response without a length to a request that was not written completely: %v", conn.writeErr)
	}
	return nil
}

// readCloseDelimited reads a body that ends with its connection.
func readCloseDelimited(response *http.Response, r *Request, result *Result) error {
	response.Close = true
	complete, err := result.readUnknownLength(int(r.rules.maxBufferedBytes))
	if err == nil && !complete {
		err = eris.Wrap(ErrMalformed, "response without a length is too large")
	}
	return err
}

// readKnownLength reads a body of the given length.
func readKnownLength(conn *connection, body *[]byte, length int) error {
	*body = (*body)[:length]
	if _, err := io.ReadFull(conn.reader, *body); err != nil {
		return bodyError(err)
	}
	if length >= readBufferBytes {
		return checkNoTrailingLarge(conn)
	}
	return checkNoTrailing(conn)
}

func (r *Result) startBuffering(memory *MemoryBudget) {
	r.buffered, r.memory = getBuffer(), memory
}

// readUnknownLength reads a body of unknown length and reports whether it ended within
// limit bytes and the memory budget.
func (r *Result) readUnknownLength(limit int) (bool, error) {
	for {
		if !r.grow(len(*r.buffered) + 1) {
			return false, nil
		}
		body := *r.buffered
		n, err := r.response.Body.Read(body[len(body):cap(body)])
		*r.buffered = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, bodyError(err)
		}
		if len(*r.buffered) > limit {
			return false, nil
		}
	}
}

// checkNoTrailing returns an error if the response is followed by more bytes.
// Requests are not pipelined, so such bytes belong to no request.
func checkNoTrailing(conn *connection) error {
	if conn.reader.Buffered() > 0 {
		return eris.Wrap(ErrMalformed, "bytes after the end of the response")
	}
	return nil
}

// checkNoTrailingLarge is checkNoTrailing for a body that may have been read without
// the read buffer, so that trailing bytes may still be in the socket.
func checkNoTrailingLarge(conn *connection) error {
	if received, _ := conn.poll(); len(received) > 0 {
		return eris.Wrap(ErrMalformed, "bytes after the end of the response")
	}
	return checkNoTrailing(conn)
}

// bodyError returns timeouts unchanged and wraps other errors in ErrIncomplete.
func bodyError(err error) error {
	if isTimeout(err) {
		return err
	}
	return eris.Wrapf(ErrIncomplete, "%v", err)
}

// fail records the error of an exchange and classifies it as evidence. A timeout
// after less than minTimeout is no evidence, because a caller with a very short
// deadline says nothing about the endpoint.
func (r *Result) fail(ctx context.Context, err error, minTimeout time.Duration) {
	r.response = nil
	r.Release()
	if ctx.Err() != nil && (isTimeout(err) || errors.Is(err, errUnresponsive) || errors.Is(err, ErrCancelled)) {
		r.kind, r.err = KindNone, ErrCancelled
		return
	}
	r.kind, r.err = classify(err, r.wrote)
	if r.kind == KindTimeout && r.elapsed < minTimeout {
		r.kind = KindNone
	}
}

func classify(err error, wrote bool) (Kind, error) {
	switch {
	case errors.Is(err, errUnresponsive):
		return KindNone, err
	case isTimeout(err):
		return KindTimeout, eris.Wrapf(ErrTimeout, "%v", err)
	case !wrote:
		return KindRefused, eris.Wrapf(ErrClosed, "%v", err)
	case errors.Is(err, ErrClosed):
		return KindError, err
	case errors.Is(err, ErrMismatchedResponse), errors.Is(err, ErrIncomplete), errors.Is(err, ErrMalformed):
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
