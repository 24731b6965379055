// Package endpoint is the HTTP/1.1 client for backend servers. It buffers each
// response until it is complete, classifies the result as evidence about the health
// of the endpoint, and reports whether the request may have been run.
//
// It does not use http.Transport, which resends requests on its own and does not
// report whether any byte of a request was written, and which accepts responses that
// violate the grammar.
package endpoint

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/tcp"
)

const (
	// defaultConnectionLimit divides the 300 connections of an endpoint among 32 proxies.
	defaultConnectionLimit = 300 / 32
	// defaultDialTimeout leaves time to try another endpoint. A dial usually takes
	// about 1 ms.
	defaultDialTimeout = time.Second
	// minDialEvidenceTimeout is the shortest dial timeout that counts as evidence
	// against the endpoint. A dial usually takes about 1 ms.
	minDialEvidenceTimeout = 50 * time.Millisecond
	// defaultIdleTimeout is shorter than the keep-alive timeout of common servers,
	// so that a server rarely closes a connection while it is being reused.
	defaultIdleTimeout = 30 * time.Second
	// defaultSilenceTimeout bounds the wait for the first byte on a reused connection.
	defaultSilenceTimeout = 2 * time.Second
	// anonymousRefusalPeriod is the time after a refusal without a request identifier in
	// which the endpoint gets one request for each connection, so that its next refusals
	// are believed. New connections cost about 1 ms each.
	anonymousRefusalPeriod = 30 * time.Second
	// defaultStreamTimeout bounds the wait for the next bytes of a streamed response.
	defaultStreamTimeout = 10 * time.Second
)

// defaultBuffers bounds the unread bytes of an endpoint that sends without end, of which there may
// be hundreds of connections.
var defaultBuffers = tcp.NewBuffers(64<<10, 0)

// Client calls one endpoint over its own pool of connections. It is safe for
// concurrent use.
type Client struct {
	address        string
	dialTimeout    time.Duration
	idleTimeout    time.Duration
	silenceTimeout time.Duration
	streamTimeout  time.Duration
	singleAttempt  bool
	memory         *MemoryBudget
	dialer         Dialer
	observer       Observer

	mu      sync.Mutex
	limit   int
	open    int // connections in use, idle or being opened
	idle    []*connection
	waiters []*waiter
	closed  bool
	// path counts the calls of CloseAllIdle. Connections opened before the last one are not
	// reused.
	path int
	// noReuseUntil is the time until which idle connections are not used.
	noReuseUntil time.Time
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// DialEndpoint connects to an IP address and port until the context ends.
	DialEndpoint(ctx context.Context, address string) (net.Conn, error)
}

// waiter is a call that waits for a connection. It receives a connection, or nil
// for a slot in which it may open one.
type waiter struct {
	granted chan *connection
}

// Option changes a Client under construction.
type Option func(*Client)

// WithConnectionLimit sets the maximum number of open connections, at least 1.
func WithConnectionLimit(limit int) Option {
	return func(c *Client) { c.limit = max(limit, 1) }
}

// WithDialTimeout sets the maximum time for opening a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.dialTimeout = timeout }
}

// WithIdleTimeout sets the idle time after which CloseIdle closes a connection.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}

// WithSilenceTimeout sets the maximum wait for the first response byte on a reused
// connection before the request is retried on a new one. It is limited to half of
// the time until the deadline.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.silenceTimeout = timeout }
}

// WithStreamTimeout sets the maximum wait for the next bytes of a streamed response.
func WithStreamTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.streamTimeout = timeout }
}

// WithSingleAttempt disables the retry on a new connection after a reused one was
// closed or did not respond. The caller of Do decides about a retry.
func WithSingleAttempt() Option {
	return func(c *Client) { c.singleAttempt = true }
}

// WithMemoryBudget bounds the memory of response bodies over all clients with the same
// budget. Without it, only the limit of the rules applies to each body.
func WithMemoryBudget(m *MemoryBudget) Option {
	return func(c *Client) { c.memory = m }
}

// WithDialer replaces the direct TCP connections to the endpoint.
func WithDialer(d Dialer) Option {
	return func(c *Client) { c.dialer = d }
}

// NewClient returns a client for the endpoint at address, an IP address and port.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		address:        address,
		limit:          defaultConnectionLimit,
		dialTimeout:    defaultDialTimeout,
		idleTimeout:    defaultIdleTimeout,
		silenceTimeout: defaultSilenceTimeout,
		streamTimeout:  defaultStreamTimeout,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Address returns the address of the endpoint.
func (c *Client) Address() string { return c.address }

// SetConnectionLimit changes the maximum number of open connections, at least 1.
// Connections in excess are closed once they are idle.
func (c *Client) SetConnectionLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(limit, 1)
	for c.open > c.limit && len(c.idle) > 0 {
		c.closeOldestIdle()
	}
	for c.open < c.limit && len(c.waiters) > 0 {
		c.open++
		c.popWaiter().granted <- nil
	}
}

// Open returns the number of connections in use, idle or being opened.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// CloseIdle closes connections that have been idle for the idle timeout.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && now.Sub(c.idle[0].idleSince) >= c.idleTimeout {
		c.closeOldestIdle()
	}
}

// Close closes the idle connections. Connections in use are closed when their
// calls end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for len(c.idle) > 0 {
		c.closeOldestIdle()
	}
}

// acquire returns a connection for the request. If requireNew is set, it is not a reused one.
func (c *Client) acquire(ctx context.Context, deadline time.Time, r *Request, requireNew bool) (*connection, error) {
	requireNew = requireNew || c.avoidsReuse()
	reusable := func(conn *connection) bool { return !requireNew && r.mayUse(conn) }
	conn, granted := c.tryAcquire(reusable)
	if !granted {
		var err error
		conn, err = c.waitForConnection(ctx, deadline)
		if err != nil {
			return nil, err
		}
	}
	if conn != nil && reusable(conn) {
		received, open := conn.checkIdle()
		if open && len(received) == 0 {
			conn.reused = true
			return conn, nil
		}
		if len(received) > 0 {
			c.observe(unsolicitedResponse(conn, received))
		}
	}
	if conn != nil {
		// The new connection takes the slot of this one.
		conn.close()
	}
	return c.dial(ctx, deadline)
}

// avoidReuse sets a time until which each request gets a new connection.
func (c *Client) avoidReuse(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noReuseUntil = until
}

func (c *Client) avoidsReuse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.noReuseUntil.IsZero() && time.Now().Before(c.noReuseUntil)
}

// tryAcquire returns the reusable connection that was used last, or nil and true if a new
// one may be opened. If the limit is reached, it returns the oldest idle connection for
// replacement. It returns false if the caller has to wait.
func (c *Client) tryAcquire(reusable func(*connection) bool) (*connection, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, conn := range slices.Backward(c.idle) {
		if reusable(conn) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return conn, true
		}
	}
	if c.open < c.limit {
		c.open++
		return nil, true
	}
	if len(c.idle) > 0 {
		conn := c.idle[0]
		c.idle = append(c.idle[:0], c.idle[1:]...)
		return conn, true
	}
	return nil, false
}

// waitForConnection queues for a connection or a slot until the deadline.
func (c *Client) waitForConnection(ctx context.Context, deadline time.Time) (*connection, error) {
	w := &waiter{granted: make(chan *connection, 1)}
	c.mu.Lock()
	c.waiters = append(c.waiters, w)
	c.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var err error
	select {
	case conn := <-w.granted:
		return conn, nil
	case <-timer.C:
		err = eris.Wrapf(ErrConnectionLimit, "to %s", c.address)
	case <-ctx.Done():
		err = eris.Wrapf(ErrCancelled, "to %s", c.address)
	}
	c.cancelWait(w)
	return nil, err
}

// cancelWait removes a waiter that stopped waiting. A connection or slot that it was
// granted in the meantime is released.
func (c *Client) cancelWait(w *waiter) {
	c.mu.Lock()
	for i, v := range c.waiters {
		if v == w {
			c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	select {
	case conn := <-w.granted:
		if conn != nil {
			c.release(conn, true)
			return
		}
		c.releaseSlot()
	default:
	}
}

func (c *Client) dial(ctx context.Context, deadline time.Time) (*connection, error) {
	started := time.Now()
	path := c.currentPath()
	limit := started.Add(c.dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	n, err := c.connect(ctx, limit)
	if err == nil {
		conn := newConnection(n)
		conn.path = path
		return conn, nil
	}
	c.releaseSlot()
	if ctx.Err() != nil {
		return nil, eris.Wrapf(ErrCancelled, "to %s", c.address)
	}
	if tcp.IsShortage(err) {
		return nil, eris.Wrapf(ErrConnectionLimit, "to %s: %v", c.address, err)
	}
	if isTimeout(err) && time.Since(started) < minDialEvidenceTimeout {
		return nil, eris.Wrapf(ErrTimeout, "deadline too short to connect to %s", c.address)
	}
	return nil, eris.Wrapf(ErrNoConnection, "to %s: %v", c.address, err)
}

func (c *Client) connect(ctx context.Context, limit time.Time) (net.Conn, error) {
	if c.dialer == nil {
		dialer := defaultBuffers.Dialer()
		dialer.Deadline = limit
		return dialer.DialContext(ctx, "tcp", c.address)
	}
	limited, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	return c.dialer.DialEndpoint(limited, c.address)
}

func (c *Client) currentPath() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.path
}

// CloseAllIdle closes all idle connections, and those in use when their calls end.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.path++
	for len(c.idle) > 0 {
		c.closeOldestIdle()
	}
}

// release returns a connection after its call. A connection is reusable only if the
// call ended without a timeout, cancellation or protocol error.
func (c *Client) release(conn *connection, reusable bool) {
	if !reusable || c.avoidsReuse() {
		conn.close()
		c.releaseSlot()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.open > c.limit {
		c.open--
		conn.close()
		return
	}
	if conn.path != c.path {
		conn.close()
		c.freeSlot()
		return
	}
	conn.idleSince = time.Now()
	if len(c.waiters) > 0 {
		c.popWaiter().granted <- conn
		return
	}
	c.idle = append(c.idle, conn)
}

// releaseSlot gives the slot of a closed connection to the next waiter.
func (c *Client) releaseSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freeSlot()
}

// freeSlot is releaseSlot with the mutex held.
func (c *Client) freeSlot() {
	if len(c.waiters) > 0 && c.open <= c.limit {
		c.popWaiter().granted <- nil
		return
	}
	c.open--
}

func (c *Client) closeOldestIdle() {
	c.idle[0].close()
	c.idle = append(c.idle[:0], c.idle[1:]...)
	c.open--
}

func (c *Client) popWaiter() *waiter {
	w := c.waiters[0]
	c.waiters = append(c.waiters[:0], c.waiters[1:]...)
	return w
}
