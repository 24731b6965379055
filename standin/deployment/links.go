package deployment

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// LinkState is the state of the links of one machine to all endpoints.
type LinkState uint8

// States of links.
const (
	LinksUp LinkState = iota
	// LinksHang delays all bytes until the links are up; connecting does not end.
	LinksHang
	// LinksReset resets open connections and refuses new ones.
	LinksReset
	// LinksRefuse refuses new connections and keeps the open ones.
	LinksRefuse
)

// LinksFile is the environment variable that names the file which [Links.Follow] reads.
const LinksFile = "SOAK_LINKS_FILE"

// followPoll is the interval at which Follow reads its file.
const followPoll = 20 * time.Millisecond

// hangPoll is the interval at which a connection that hangs checks its state.
const hangPoll = 5 * time.Millisecond

// Links are the links of one machine to all endpoints. It is safe for concurrent use.
type Links struct {
	mu          sync.Mutex
	state       LinkState
	connections map[*linkConn]bool
}

// NewLinks returns links that are up.
func NewLinks() *Links { return &Links{connections: map[*linkConn]bool{}} }

// Set changes the state of the links.
func (l *Links) Set(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	for c := range l.connections {
		switch state {
		case LinksReset:
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		case LinksUp:
			_, _ = c.TCPConn.Write(c.delayed)
			c.delayed = nil
		}
	}
}

// Follow sets the state that the file holds as a number, again and again until the process
// ends. A missing or invalid file changes nothing.
func (l *Links) Follow(path string) {
	for current := LinksUp; ; time.Sleep(followPoll) {
		content, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		state, err := strconv.ParseUint(string(content), 10, 8)
		if err == nil && LinkState(state) != current {
			current = LinkState(state)
			l.Set(current)
		}
	}
}

func (l *Links) get() LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// DialContext connects to an address, as far as the links allow it.
func (l *Links) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.get() {
	case LinksHang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case LinksReset, LinksRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: conn.(*net.TCPConn), links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
	return c, nil
}

// linkConn is a connection over links. A write while the links hang succeeds, as into the
// buffer of a socket.
type linkConn struct {
	*net.TCPConn
	links   *Links
	delayed []byte // written while the links hang; guarded by the mutex of the links

	mu       sync.Mutex
	deadline time.Time
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.TCPConn.SetDeadline(t)
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	for c.links.get() == LinksHang {
		c.mu.Lock()
		expired := !c.deadline.IsZero() && time.Now().After(c.deadline)
		c.mu.Unlock()
		if expired {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(hangPoll)
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	c.links.mu.Lock()
	if c.links.state == LinksHang {
		c.delayed = append(c.delayed, b...)
		c.links.mu.Unlock()
		return len(b), nil
	}
	c.links.mu.Unlock()
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.connections, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
