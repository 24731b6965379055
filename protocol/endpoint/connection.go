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
	// maxHeadBytes bounds a response head.
	maxHeadBytes = 64 << 10
	// maxPolledBytes is read of what an idle connection has received, enough for the
	// identifier of a response.
	maxPolledBytes = 2 << 10
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
	path      int // of the client when it was opened
	idleSince time.Time
	refused   *Request // the last request, if its response states that it was not run
	writeErr  error    // of the last request
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

// checkIdle reports whether an idle connection is open, and returns what it has received
// since its last response. Such bytes belong to no request and must not be read as the
// response to the next one; a connection that has received any must be closed.
func (c *connection) checkIdle() (received []byte, open bool) {
	if n := c.reader.Buffered(); n > 0 {
		received, _ = c.reader.Peek(n)
		return received, true
	}
	return c.poll()
}

// buffering is a connection that holds received bytes outside its socket.
type buffering interface {
	// Buffered returns the number of these bytes.
	Buffered() int
}

// poll returns without blocking what the connection has received, up to maxPolledBytes, and
// whether it is open. It consumes the bytes, so the connection must be closed if there are any.
func (c *connection) poll() (received []byte, open bool) {
	if b, ok := c.net.(buffering); ok && b.Buffered() > 0 {
		// Only what has arrived is read.
		_ = c.net.SetReadDeadline(pastDeadline)
		received = make([]byte, min(b.Buffered(), maxPolledBytes))
		n, err := c.net.Read(received)
		return received[:n], err == nil
	}
	if c.raw == nil {
		return nil, true
	}
	err := c.raw.Read(func(descriptor uintptr) bool {
		var first [1]byte
		n, readErr := syscall.Read(int(descriptor), first[:])
		open = n > 0 || errors.Is(readErr, syscall.EAGAIN)
		if n > 0 {
			rest := make([]byte, maxPolledBytes)
			n, _ = syscall.Read(int(descriptor), rest[1:])
			rest[0] = first[0]
			received = rest[:1+max(0, n)]
		}
		return true
	})
	return received, open && err == nil
}

// abort ends the pending reads and writes of a cancelled call.
func (c *connection) abort() { _ = c.net.SetDeadline(pastDeadline) }

func (c *connection) close() { _ = c.net.Close() }
