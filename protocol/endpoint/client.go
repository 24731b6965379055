// Package endpoint calls backend servers over HTTP/1.1. It holds each response
// until it is complete, reports evidence about the endpoint, and states
// whether a request may have been run.
//
// It does not use http.Transport, which resends requests on its own and does
// not tell whether a byte was written. http.ReadResponse parses the responses.
package endpoint

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultConnectionLimit is 300 connections of an endpoint over 32 proxies.
	defaultConnectionLimit = 300 / 32
	// defaultDialTimeout leaves time for another endpoint. A new connection
	// costs about 1 ms.
	defaultDialTimeout = time.Second
	// minDialPatience is the least time for opening a connection after which
	// its absence is evidence. A new connection costs about 1 ms.
	minDialPatience = 50 * time.Millisecond
	// defaultIdleTimeout is shorter than the keep-alive time of common
	// servers, so that a connection is rarely closed while it is chosen.
	defaultIdleTimeout = 30 * time.Second
	// defaultSilenceTimeout bounds the wait on a reused connection.
	defaultSilenceTimeout = 2 * time.Second
	// defaultStreamTimeout bounds the wait for the next bytes of a streamed response.
	defaultStreamTimeout = 10 * time.Second
)

// Client calls one endpoint over its own pool of connections. It is safe for
// concurrent use.
type Client struct {
	address        string
	dialTimeout    time.Duration
	idleTimeout    time.Duration
	silenceTimeout time.Duration
	streamTimeout  time.Duration
	single         bool
	memory         *MemoryBudget

	mu      sync.Mutex
	limit   int
	open    int // connections in use, idle or being opened
	idle    []*connection
	waiters []*waiter
	closed  bool
}

// waiter is a call that waits for a connection. A nil connection is the
// permission to open one.
type waiter struct {
	granted chan *connection
}

// Option changes a Client under construction.
type Option func(*Client)

// WithConnectionLimit sets the most connections that are open at one time.
func WithConnectionLimit(limit int) Option {
	return func(c *Client) { c.limit = max(limit, 1) }
}

// WithDialTimeout sets the longest time for opening a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.dialTimeout = timeout }
}

// WithIdleTimeout sets the age at which an idle connection is closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}

// WithSilenceTimeout sets the longest wait for the first response byte on a
// reused connection before a new one is tried. Half of the time until the
// deadline is used if that is shorter.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.silenceTimeout = timeout }
}

// WithStreamTimeout sets the longest wait for the next bytes of a streamed response.
func WithStreamTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.streamTimeout = timeout }
}

// WithSingleAttempt makes each Do send a request at most once. The caller decides
// about a second call after a reused connection was closed or silent.
func WithSingleAttempt() Option {
	return func(c *Client) { c.single = true }
}

// WithMemoryBudget bounds the bodies that are held at one time, over all clients with the same
// budget. Without it each body has only the bound of its rules.
func WithMemoryBudget(m *MemoryBudget) Option {
	return func(c *Client) { c.memory = m }
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

// SetConnectionLimit changes the connection limit, which is at least 1.
// Connections above it are closed when they become idle.
func (c *Client) SetConnectionLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(limit, 1)
	for c.open > c.limit && len(c.idle) > 0 {
		c.dropOldest()
	}
	for c.open < c.limit && len(c.waiters) > 0 {
		c.open++
		c.takeWaiter().granted <- nil
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
		c.dropOldest()
	}
}

// Close closes the idle connections. Connections in use are closed when their
// call ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for len(c.idle) > 0 {
		c.dropOldest()
	}
}

// acquire returns a connection, which is a new one if fresh is set.
func (c *Client) acquire(ctx context.Context, deadline time.Time, fresh bool) (*connection, error) {
	conn, granted := c.take(fresh)
	if !granted {
		var err error
		conn, err = c.wait(ctx, deadline)
		if err != nil {
			return nil, err
		}
	}
	if conn != nil && !fresh && conn.usable() {
		conn.reused = true
		return conn, nil
	}
	if conn != nil {
		// The permission of this connection passes on to the new one.
		conn.close()
	}
	return c.dial(ctx, deadline)
}

// take returns an idle connection or the permission to open one, if there is
// either. A caller that needs a new connection replaces an idle one if the
// limit is reached.
func (c *Client) take(fresh bool) (*connection, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !fresh && len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		c.idle = c.idle[:last]
		return conn, true
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

// wait queues for a connection until the deadline.
func (c *Client) wait(ctx context.Context, deadline time.Time) (*connection, error) {
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
	c.leave(w)
	return nil, err
}

// leave removes a waiter that gave up and passes on what it was granted meanwhile.
func (c *Client) leave(w *waiter) {
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
		c.free()
	default:
	}
}

func (c *Client) dial(ctx context.Context, deadline time.Time) (*connection, error) {
	started := time.Now()
	limit := started.Add(c.dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	dialer := net.Dialer{Deadline: limit}
	n, err := dialer.DialContext(ctx, "tcp", c.address)
	if err == nil {
		return newConnection(n), nil
	}
	c.free()
	if ctx.Err() != nil {
		return nil, eris.Wrapf(ErrCancelled, "to %s", c.address)
	}
	if isTimeout(err) && time.Since(started) < minDialPatience {
		return nil, eris.Wrapf(ErrTimeout, "no time to connect to %s", c.address)
	}
	return nil, eris.Wrapf(ErrNoConnection, "to %s: %v", c.address, err)
}

// release returns a connection after its call. It is kept only if the call
// ended without a timeout, cancellation or protocol error.
func (c *Client) release(conn *connection, reusable bool) {
	if !reusable {
		conn.close()
		c.free()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.open > c.limit {
		c.open--
		conn.close()
		return
	}
	conn.idleSince = time.Now()
	if len(c.waiters) > 0 {
		c.takeWaiter().granted <- conn
		return
	}
	c.idle = append(c.idle, conn)
}

// free gives the permission of a closed connection to the next waiter.
func (c *Client) free() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiters) > 0 && c.open <= c.limit {
		c.takeWaiter().granted <- nil
		return
	}
	c.open--
}

// discardIdle closes all idle connections after one of them was found silent:
// a fault on the path usually affects all of them.
func (c *Client) discardIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		c.dropOldest()
	}
}

func (c *Client) dropOldest() {
	c.idle[0].close()
	c.idle = append(c.idle[:0], c.idle[1:]...)
	c.open--
}

func (c *Client) takeWaiter() *waiter {
	w := c.waiters[0]
	c.waiters = append(c.waiters[:0], c.waiters[1:]...)
	return w
}
