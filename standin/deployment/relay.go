package deployment

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to a target and injects network faults. It is safe
// for concurrent use.
type Relay struct {
	listener net.Listener

	mu             sync.Mutex
	target         string
	dropToTarget   bool
	dropFromTarget bool
	delay          time.Duration
	refuse         bool
	connections    map[net.Conn]bool
}

// StartRelay starts a relay on a loopback port.
func StartRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the IP address and port on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget forwards new connections to another target.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetDropped discards the bytes of the given directions on open and new connections. A
// connection that lost bytes forwards nothing more in that direction, also after the
// drop has ended, so that the peer never reads a stream with a gap.
func (r *Relay) SetDropped(toTarget, fromTarget bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropToTarget, r.dropFromTarget = toTarget, fromTarget
}

// SetDelay delays each chunk of bytes in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetRefuse determines whether new connections are closed at once.
func (r *Relay) SetRefuse(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
}

// ResetConnections closes the open connections with a TCP reset.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		setReset(c)
		_ = c.Close()
	}
}

// writtenConn is a connection that is read and written at the same time. A reset is reported to
// one call only: after a write that got it, Read returns its error instead of the end of the stream.
type writtenConn struct {
	net.Conn

	mu       sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *writtenConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *writtenConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr != nil {
			return n, c.writeErr
		}
	}
	return n, err
}

// setReset makes the close of the connection a TCP reset.
func setReset(c net.Conn) {
	if w, ok := c.(*writtenConn); ok {
		c = w.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// Close closes the listener and resets the open connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.ResetConnections()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *Relay) forward(client net.Conn) {
	r.mu.Lock()
	refuse, target := r.refuse, r.target
	r.mu.Unlock()
	upstream, err := net.Dial("tcp", target)
	if err != nil || refuse {
		_ = client.Close()
		if err == nil {
			_ = upstream.Close()
		}
		return
	}
	r.mu.Lock()
	r.connections[client], r.connections[upstream] = true, true
	r.mu.Unlock()
	written := &writtenConn{Conn: upstream}
	go r.copy(written, client, true)
	r.copy(client, written, false)
	r.mu.Lock()
	delete(r.connections, client)
	delete(r.connections, upstream)
	r.mu.Unlock()
}

func (r *Relay) copy(to, from net.Conn, toTarget bool) {
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		delay := r.delay
		dropped = dropped || n > 0 && (toTarget && r.dropToTarget || !toTarget && r.dropFromTarget)
		r.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				setReset(from)
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				// A plain close would look like the end of a response without a length.
				setReset(to)
				break
			}
			if !dropped {
				break
			}
			// A dropped direction does not forward the end of the stream either.
			return
		}
	}
	_ = to.Close()
	_ = from.Close()
}
