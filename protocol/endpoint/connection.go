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

// longAgo is a deadline in the past, which ends pending reads and writes.
var longAgo = time.Unix(1, 0)

// connection is one connection to an endpoint, used by one request at a time.
type connection struct {
	net       net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	allowance int64 // bytes that may still be read
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

// Read reads from the connection within the allowance.
func (c *connection) Read(b []byte) (int, error) {
	if c.allowance <= 0 {
		return 0, io.ErrShortBuffer
	}
	n, err := c.net.Read(b)
	c.allowance -= int64(n)
	return n, err
}

func (c *connection) limitHead() { c.allowance = maxHeadBytes }

func (c *connection) unlimited() { c.allowance = math.MaxInt64 }

// usable reports whether an idle connection is open and has received nothing
// since its last response. Bytes received by an idle connection belong to no
// request and must not be taken for the response to the next one.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	received, open := c.poll()
	return open && !received
}

// poll reports without waiting whether unread bytes have arrived and whether
// the connection is open. It consumes a byte, so a connection that received
// one must be closed.
func (c *connection) poll() (received, open bool) {
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

// abort ends the pending reads and writes of a call whose caller gave up.
func (c *connection) abort() { _ = c.net.SetDeadline(longAgo) }

func (c *connection) close() { _ = c.net.Close() }
