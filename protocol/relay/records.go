package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// framingField is the field of a CONNECT request and of its response that asks for records
// and confirms them. A peer that does not know it forwards plain bytes.
const framingField = "Relay-Framing"

// framingRecords is the value of framingField. The bytes from the target are sent as
// records: a length of two bytes, the most significant first, and as many bytes. A record
// of length 0 states that the target has ended the stream.
const framingRecords = "records"

// endField is the field of the response to CONNECT in which a relay confirms, by the value
// endConfirmed, that it states no end after a failed write to the target. A relay of an earlier
// release may take a reset for the end of the stream.
const (
	endField     = "Relay-End"
	endConfirmed = "confirmed"
)

const recordHeadBytes = 2

// errNoEnd means that the connection to the relay ended before the target ended the stream.
var errNoEnd = eris.Wrap(io.ErrUnexpectedEOF, "relay: the connection ended without the end of the stream")

// copyRecords forwards the stream of the target as records until it ends.
func copyRecords(to io.Writer, from io.Reader) error {
	buffer := make([]byte, recordHeadBytes+copyBytes)
	for {
		n, err := from.Read(buffer[recordHeadBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := to.Write(buffer[:recordHeadBytes+n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = to.Write(make([]byte, recordHeadBytes))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// conn is a connection through a relay. Its Read returns io.EOF only if the target ended
// the stream: when a relay dies, its kernel ends the connection in the same way.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	records   bool
	confirmed bool // a record of length 0 is the end of the stream
	left      int  // bytes of the current record
	ended     bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if !c.records {
		n, err := c.reader.Read(b)
		return n, noEnd(err)
	}
	if c.left == 0 {
		if err := c.nextRecord(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, noEnd(err)
}

func (c *conn) nextRecord() error {
	if c.ended {
		return io.EOF
	}
	head, err := c.reader.Peek(recordHeadBytes)
	if err != nil {
		return noEnd(err)
	}
	c.left = int(binary.BigEndian.Uint16(head))
	_, _ = c.reader.Discard(recordHeadBytes)
	if c.left > 0 {
		return nil
	}
	if !c.confirmed {
		return errNoEnd
	}
	c.ended = true
	return io.EOF
}

func noEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return errNoEnd
	}
	return err
}

// Buffered returns the number of bytes that were received and not read.
func (c *conn) Buffered() int { return c.reader.Buffered() }

// SyscallConn implements syscall.Conn, with which unread bytes and the end of an idle
// connection are detected.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("relay: connection without a descriptor")
	}
	return s.SyscallConn()
}
