package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
)

const (
	readBufferBytes    = 4 << 10
	discardBufferBytes = 64 << 10
	// pipelineDepth bounds the requests of one connection that are in progress,
	// including those whose response waits for its turn.
	pipelineDepth = 16
	// writeTimeout bounds the time in which a caller reads a part of a response.
	writeTimeout = 20 * time.Second
	// lingerTimeout bounds the wait for the caller to close the connection after the
	// last response. Closing with unread requests would reset the connection, and the
	// response could be lost.
	lingerTimeout = time.Second
	// preallocatedBodyBytes is the largest body whose memory is allocated before it arrives.
	preallocatedBodyBytes = 64 << 10
)

// connection reads requests on one goroutine. Each request is served on its own
// goroutine, which writes the response after those of the preceding requests.
type connection struct {
	server   *Server
	socket   net.Conn
	reader   *bufio.Reader
	limited  *limitedReader
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	pipeline chan struct{} // one token for each request being served
	accepted time.Time

	mu            sync.Mutex
	inProgress    int
	reading       bool // a request has started to arrive
	lastEnd       time.Time
	noNewRequests bool
	closing       bool // no further request is answered
}

// limitedReader limits the bytes that are read for a request head.
type limitedReader struct {
	socket    net.Conn
	allowance int
}

var errHeadTooLarge = errors.New("http1: request head too large")

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.allowance <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.socket.Read(p)
	l.allowance -= n
	return n, err
}

const unlimited = int(^uint(0) >> 1)

func newConnection(s *Server, socket net.Conn) *connection {
	l := &limitedReader{socket: socket, allowance: unlimited}
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{
		server: s, socket: socket, limited: l, reader: bufio.NewReaderSize(l, readBufferBytes),
		ctx: ctx, cancel: cancel, pipeline: make(chan struct{}, pipelineDepth), accepted: time.Now(),
	}
}

func (c *connection) run() {
	turn := make(chan struct{})
	close(turn)
	c.readRequests(turn)
	c.group.Wait()
	c.cancel()
	_ = c.socket.Close()
}

// readRequests reads requests until the connection ends. The channel turn is closed once
// the preceding response has been written.
func (c *connection) readRequests(turn chan struct{}) {
	for {
		r, refused := c.next()
		if r == nil && refused == nil {
			c.cancel()
			return
		}
		if r != nil && !c.beginRequest() {
			c.server.memory.release(r.reserved)
			c.discardUntilClosed()
			return
		}
		nextTurn := make(chan struct{})
		if refused != nil {
			<-turn
			c.write(&Request{}, refused)
			close(nextTurn)
			c.discard()
			return
		}
		c.pipeline <- struct{}{}
		c.group.Add(1)
		go c.serve(r, turn, nextTurn)
		turn = nextTurn
	}
}

// next reads one request. It returns neither a request nor a refusal once the connection
// has ended.
func (c *connection) next() (*Request, *Response) {
	limits := c.server.handler.Limits()
	c.limited.allowance = limits.HeaderBytes + readBufferBytes
	if !c.awaitRequest() {
		return nil, nil
	}
	arrival := time.Now()
	_ = c.socket.SetReadDeadline(arrival.Add(limits.HeaderTimeout))
	received, err := rfc9112.ReadRequest(c.reader)
	if err != nil {
		return nil, errorResponse(err)
	}
	c.limited.allowance = unlimited
	body, reserved, err := c.readBody(received, limits)
	if err != nil {
		c.server.memory.release(reserved)
		return nil, errorResponse(err)
	}
	r := &Request{
		Method: received.Method, Target: received.RequestURI, Host: received.Host,
		Header: received.Header, Body: body, Arrival: arrival,
		closeAfter: received.Close || !received.ProtoAtLeast(1, 1), reserved: reserved,
	}
	return r, nil
}

// awaitRequest waits for the first byte of a request. It returns false if the connection
// has ended, has exceeded the idle timeout, or is closing: requests that arrive after the
// last response are not read.
func (c *connection) awaitRequest() bool {
	for {
		_ = c.socket.SetReadDeadline(c.idleDeadline())
		if c.isClosing() {
			c.discard()
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.setReading()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isClosing() && c.idleExpired() {
			return false
		}
	}
}

// idleDeadline returns the time at which the idle timeout ends. A connection with a
// request in progress is not idle.
func (c *connection) idleDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.lastEnd
	if c.inProgress > 0 || since.IsZero() {
		since = time.Now()
	}
	return since.Add(c.server.handler.Limits().IdleTimeout)
}

func (c *connection) idleExpired() bool { return !time.Now().Before(c.idleDeadline()) }

func refusal(status int) *Response {
	return &Response{Status: status, Header: http.Header{}, Length: 0, Close: true}
}

// readBody returns the body of a request and the memory reserved for it in bytes, which is
// also returned with an error.
func (c *connection) readBody(r *http.Request, limits Limits) (body []byte, reserved int64, err error) {
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, 0, errBodyTooLarge
	}
	if r.ContentLength > preallocatedBodyBytes && !c.server.memory.has(r.ContentLength) {
		// Reading a part of a body that is refused then takes processor time from other callers.
		return nil, 0, errNoMemory
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		delete(r.Header, "Expect")
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, io.ErrUnexpectedEOF
		}
	}
	return c.bufferBody(r, limits)
}

// errorResponse returns the response to a request that could not be read, or nil if the
// caller has disconnected.
func errorResponse(err error) *Response {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		return refusal(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, errBodyTooLarge):
		return refusal(http.StatusRequestEntityTooLarge)
	case errors.Is(err, errNoMemory):
		full := refusal(http.StatusServiceUnavailable)
		full.Header.Set("Retry-After", "1")
		return full
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return nil
	case errors.As(err, &timeout):
		if timeout.Timeout() {
			return refusal(http.StatusRequestTimeout)
		}
		return nil
	default:
		return refusal(http.StatusBadRequest)
	}
}

var (
	errBodyTooLarge = errors.New("http1: request body too large")
	errNoMemory     = errors.New("http1: no memory for the body")
)

// bufferBody reads a body into memory. Memory for a large one is reserved and allocated
// as it arrives.
func (c *connection) bufferBody(r *http.Request, limits Limits) (body []byte, reserved int64, err error) {
	body = make([]byte, 0, max(512, min(r.ContentLength, preallocatedBodyBytes)))
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		if len(body) >= preallocatedBodyBytes {
			need := int64(cap(body)) - reserved
			if need > 0 && !c.server.memory.reserve(need) {
				return nil, reserved, errNoMemory
			}
			reserved += max(need, 0)
		}
		_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limits.BodyBytes {
			return nil, reserved, errBodyTooLarge
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return body, reserved, nil
		default:
			return nil, reserved, err
		}
	}
}

func (c *connection) serve(r *Request, turn, nextTurn chan struct{}) {
	defer c.group.Done()
	defer func() { <-c.pipeline }()
	defer close(nextTurn)
	defer c.server.memory.release(r.reserved)
	var response *Response
	if c.server.handler.MayRunConcurrently(r) {
		response = c.server.handler.Serve(c.ctx, r)
		<-turn
	} else {
		<-turn
		if c.isClosing() || c.ctx.Err() != nil {
			c.endRequest()
			return
		}
		response = c.server.handler.Serve(c.ctx, r)
	}
	if response.Release != nil {
		defer response.Release()
	}
	if !c.isClosing() && c.ctx.Err() == nil {
		c.write(r, response)
	}
	c.endRequest()
}

// write sends a response. It must not be called concurrently.
func (c *connection) write(r *Request, response *Response) {
	last := c.isLast(response.Close || r.closeAfter)
	chunked := response.Length < 0 && response.WriteRest != nil
	head := r.Method == http.MethodHead
	if response.Length < 0 && response.WriteRest == nil {
		response.Length = int64(len(response.Body))
	}
	buffer := make([]byte, 0, 512+len(response.Body))
	buffer = response.appendHead(buffer, last, chunked)
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	var err error
	switch {
	case head:
		_, err = c.socket.Write(buffer)
	case chunked:
		err = c.writeChunked(buffer, response)
	default:
		buffer = append(buffer, response.Body...)
		_, err = c.socket.Write(buffer)
		if err == nil && response.WriteRest != nil {
			err = response.WriteRest(c.socket)
		}
	}
	switch {
	case err != nil:
		c.abort()
	case last:
		c.closeWrite()
	}
}

func (c *connection) writeChunked(head []byte, response *Response) error {
	if _, err := c.socket.Write(head); err != nil {
		return err
	}
	w := chunkedWriter{c.socket}
	if _, err := w.Write(response.Body); err != nil {
		return err
	}
	if err := response.WriteRest(w); err != nil {
		return err
	}
	return w.close()
}

// closeWrite half-closes the connection after its last response. The reader continues
// until the caller closes, because closing with unread bytes would reset the connection
// and could lose the response.
func (c *connection) closeWrite() {
	c.mu.Lock()
	c.closing = true
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.mu.Unlock()
	if t, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	c.cancel()
}

// discard reads until the caller closes the connection or lingerTimeout has passed.
func (c *connection) discard() {
	c.limited.allowance = unlimited
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := discardBuffers.Get().(*[]byte)
	defer discardBuffers.Put(buffer)
	for {
		if _, err := c.socket.Read(*buffer); err != nil {
			return
		}
	}
}

// discardBuffers hold what is read to be discarded: the rest of a body that was refused takes 16
// calls for 1 MiB instead of 256.
var discardBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, discardBufferBytes)
	return &buffer
}}

// discardUntilClosed discards input while requests are in progress, so that a disconnect
// of the caller is detected.
func (c *connection) discardUntilClosed() {
	c.limited.allowance = unlimited
	c.mu.Lock()
	if !c.closing {
		_ = c.socket.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.reader)
	c.cancel()
}

func (c *connection) abort() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	if t, ok := c.socket.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.socket.Close()
}

// idleSince returns the time since which no request is in progress or being read, or false
// if one is.
func (c *connection) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.lastEnd
	if since.IsZero() {
		since = c.accepted
	}
	return since, c.inProgress == 0 && !c.reading && !c.closing
}

// closeIdle closes the connection if no request is in progress.
func (c *connection) closeIdle() bool {
	c.mu.Lock()
	idle := c.inProgress == 0 && !c.reading
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.socket.Close()
	}
	return idle
}

// beginRequest counts a request that was read, and returns false if it must not be
// served. While the server drains, the response to the last request in progress closes the
// connection, and callers resend the requests after it.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing || c.noNewRequests || c.server.draining.Load() && c.inProgress > 0 {
		c.noNewRequests = true
		return false
	}
	c.inProgress++
	return true
}

// isLast reports whether the response to be written is the last of the connection, in
// which case no further request is started. While the server drains, this is the response
// after which no other request is in progress.
func (c *connection) isLast(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last || c.server.draining.Load() && c.inProgress <= 1 {
		c.noNewRequests = true
		return true
	}
	return false
}

func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	c.lastEnd = time.Now()
}

// setReading records that a request has started to arrive, and returns false if the
// connection is closing.
func (c *connection) setReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closing
	return c.reading
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
