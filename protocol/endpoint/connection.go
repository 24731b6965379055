package endpoint

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"syscall"
	"time"
)

const (
	readBufferBytes = 8 << 10
	// maxHeadBytes bounds a response head; http.ReadResponse has no limit of its own.
	maxHeadBytes = 64 << 10
)

// pastDeadline ends pending reads and writes.
var pastDeadline = time.Unix(1, 0)

// connection is one connection to an endpoint, used by one request at a time.
type connection struct {
	net       net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	allowance int64 // remaining bytes that Read may return
	reused    bool
	idleSince time.Time
}

func newConnection(n net.Conn) *connection {
	c := &connection{net: n}
	if s, ok := n.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read implements io.Reader. It fails once the allowance is used up.
func (c *connection) Read(b []byte) (int, error) {
	if c.allowance <= 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := c.net.Read(b)
	c.allowance -= int64(n)
	return n, err
}

func (c *connection) limitHead() { c.allowance = maxHeadBytes }

func (c *connection) removeLimit() { c.allowance = math.MaxInt64 }

// usable reports whether an idle connection is open and has received nothing
// since its last response. Bytes received while idle belong to no request and must
// not be read as the response to the next one.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	received, open := c.poll()
	return open && !received
}

// buffering is a connection that holds received bytes outside its socket.
type buffering interface {
	// Buffered returns the number of these bytes.
	Buffered() int
}

// poll reports without blocking whether the connection has unread bytes and whether it is
// open. It consumes one byte, so the connection must be closed if received is true.
func (c *connection) poll() (received, open bool) {
	if b, ok := c.net.(buffering); ok && b.Buffered() > 0 {
		return true, true
	}
	if c.raw == nil {
		return false, true
	}
	err := c.raw.Read(func(descriptor uintptr) bool {
		var b [1]byte
		n, readErr := syscall.Read(int(descriptor), b[:])
		received = n > 0
		open = received || errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return received, open && err == nil
}

// abort ends the pending reads and writes of a cancelled call.
func (c *connection) abort() { _ = c.net.SetDeadline(pastDeadline) }

func (c *connection) close() { _ = c.net.Close() }
