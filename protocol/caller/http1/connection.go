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
)

const (
	readBufferBytes = 4 << 10
	// pipelineDepth bounds the requests of one connection that are in progress.
	pipelineDepth = 16
	// writeTimeout bounds the time in which a caller takes a part of a response.
	writeTimeout = 20 * time.Second
	// lingerTimeout bounds the wait for the caller's close after the last response,
	// so that unread requests do not reset it.
	lingerTimeout = time.Second
	// eagerBodyBytes is the largest body for which memory is taken before it arrives.
	eagerBodyBytes = 64 << 10
)

// connection reads requests on one goroutine; each request has its own, which
// writes the response when its turn comes.
type connection struct {
	server *Server
	socket net.Conn
	reader *bufio.Reader
	source *meter
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	depth  chan struct{}

	mu         sync.Mutex
	inProgress int
	reading    bool // a request has begun to arrive
	lastEnd    time.Time
	sealed     bool // no further request begins
	closing    bool // no further request is answered
}

// meter bounds the bytes that a request head may take.
type meter struct {
	socket    net.Conn
	allowance int
}

var errHeadTooLarge = errors.New("http1: request head too large")

func (m *meter) Read(p []byte) (int, error) {
	if m.allowance <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := m.socket.Read(p)
	m.allowance -= n
	return n, err
}

const unlimited = int(^uint(0) >> 1)

func newConnection(s *Server, socket net.Conn) *connection {
	m := &meter{socket: socket, allowance: unlimited}
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{
		server: s, socket: socket, source: m, reader: bufio.NewReaderSize(m, readBufferBytes),
		ctx: ctx, cancel: cancel, depth: make(chan struct{}, pipelineDepth),
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

// readRequests reads until the connection ends. The channel turn is closed when
// the response before the next one has been written.
func (c *connection) readRequests(turn chan struct{}) {
	for {
		r, refused := c.next()
		if r == nil && refused == nil {
			c.cancel()
			return
		}
		if r != nil && !c.begin() {
			c.discardUntilLeft()
			return
		}
		following := make(chan struct{})
		if refused != nil {
			<-turn
			c.write(&Request{}, refused)
			close(following)
			c.discard()
			return
		}
		c.depth <- struct{}{}
		c.group.Add(1)
		go c.answer(r, turn, following)
		turn = following
	}
}

// next reads one request. It returns neither a request nor a refusal when the
// connection has ended.
func (c *connection) next() (*Request, *Response) {
	limits := c.server.handler.Limits()
	c.source.allowance = limits.HeaderBytes + readBufferBytes
	if !c.await() {
		return nil, nil
	}
	arrival := time.Now()
	_ = c.socket.SetReadDeadline(arrival.Add(limits.HeaderTimeout))
	received, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, refusalOf(err)
	}
	c.source.allowance = unlimited
	body, err := c.readBody(received, limits)
	if err != nil {
		return nil, refusalOf(err)
	}
	r := &Request{
		Method: received.Method, Target: received.RequestURI, Host: received.Host,
		Header: received.Header, Body: body, Arrival: arrival,
		last: received.Close || !received.ProtoAtLeast(1, 1),
	}
	return r, nil
}

// await waits for the first byte of a request. It returns false if the connection
// has ended, was idle for too long, or is closing: requests that arrive behind
// the last response count as not read.
func (c *connection) await() bool {
	for {
		_ = c.socket.SetReadDeadline(c.idleUntil())
		if c.isClosing() {
			c.discard()
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.setReading()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isClosing() && c.idleOver() {
			return false
		}
	}
}

// idleUntil returns when the connection has been idle for too long. A caller that
// waits for a response is not idle.
func (c *connection) idleUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.lastEnd
	if c.inProgress > 0 || since.IsZero() {
		since = time.Now()
	}
	return since.Add(c.server.handler.Limits().IdleTimeout)
}

func (c *connection) idleOver() bool { return !time.Now().Before(c.idleUntil()) }

func refusal(status int) *Response {
	return &Response{Status: status, Header: http.Header{}, Length: 0, Close: true}
}

func (c *connection) readBody(r *http.Request, limits Limits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		delete(r.Header, "Expect")
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return c.collect(r, limits)
}

// refusalOf returns the response to a request that was not received, or nil if the
// caller has left.
func refusalOf(err error) *Response {
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

// collect reads a body. Memory for a large one is taken as it arrives.
func (c *connection) collect(r *http.Request, limits Limits) ([]byte, error) {
	body := make([]byte, 0, max(512, min(r.ContentLength, eagerBodyBytes)))
	taken := int64(0)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		if len(body) >= eagerBodyBytes {
			need := int64(cap(body)) - taken
			if need > 0 && !c.server.memory.take(need) {
				c.server.memory.give(taken)
				return nil, errNoMemory
			}
			taken += max(need, 0)
		}
		_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limits.BodyBytes {
			c.server.memory.give(taken)
			return nil, errBodyTooLarge
		}
		if err == nil {
			continue
		}
		if taken > 0 {
			// The memory of large bodies is free again when their connection ends.
			context.AfterFunc(c.ctx, func() { c.server.memory.give(taken) })
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		return nil, err
	}
}

func (c *connection) answer(r *Request, turn, following chan struct{}) {
	defer c.group.Done()
	defer func() { <-c.depth }()
	defer close(following)
	var response *Response
	if c.server.handler.Parallel(r) {
		response = c.server.handler.Serve(c.ctx, r)
		<-turn
	} else {
		<-turn
		if c.isClosing() || c.ctx.Err() != nil {
			c.end()
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
	c.end()
}

// write sends a response. It is called by one request at a time.
func (c *connection) write(r *Request, response *Response) {
	last := c.isLast(response.Close || r.last)
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
		c.finish()
	}
}

func (c *connection) writeChunked(head []byte, response *Response) error {
	if _, err := c.socket.Write(head); err != nil {
		return err
	}
	w := chunks{c.socket}
	if _, err := w.Write(response.Body); err != nil {
		return err
	}
	if err := response.WriteRest(w); err != nil {
		return err
	}
	return w.end()
}

// finish ends the connection after its last response. The reader goes on until
// the caller closes, because a close with unread bytes would reset the response.
func (c *connection) finish() {
	c.mu.Lock()
	c.closing = true
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.mu.Unlock()
	if t, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	c.cancel()
}

// discard reads until the caller closes.
func (c *connection) discard() {
	c.source.allowance = unlimited
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.reader)
}

// discardUntilLeft reads what is left unread while requests are in progress, so that
// the end of the connection is noticed.
func (c *connection) discardUntilLeft() {
	c.source.allowance = unlimited
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

// begin counts a request that was read, and returns false if it must be left as not
// read. In a planned stop, the response to the last request that has begun closes the
// connection, and callers send what was behind it again.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing || c.sealed || c.server.draining.Load() && c.inProgress > 0 {
		c.sealed = true
		return false
	}
	c.inProgress++
	return true
}

// isLast reports whether the response to be written is the last of the connection, and
// lets no request begin behind it. In a planned stop it is the one behind which no
// other request is in progress.
func (c *connection) isLast(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last || c.server.draining.Load() && c.inProgress <= 1 {
		c.sealed = true
		return true
	}
	return false
}

func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	c.lastEnd = time.Now()
}

// setReading marks that a request has begun to arrive, unless the connection is
// closing.
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
