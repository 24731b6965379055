package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errWriteFailed means that the end of a stream may be a reset.
var errWriteFailed = eris.Wrap(io.ErrUnexpectedEOF, "relay: the stream ended after a failed write")

// target is the connection to an endpoint. One goroutine writes to it while another one reads. A
// reset is reported to a single call: if that is a write, the next read returns io.EOF, as if
// the endpoint had ended the stream.
type target struct {
	net.Conn

	mu       sync.Mutex // held during a write
	writeErr error
}

// Write implements net.Conn.
func (t *target) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, err := t.Conn.Write(b)
	if err != nil {
		t.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no write has failed. A write in progress
// may be the one that the reset is reported to, so Read waits for it, for closeTimeout at most.
func (t *target) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	_ = t.SetWriteDeadline(time.Now().Add(closeTimeout))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writeErr != nil {
		return n, eris.Wrapf(errWriteFailed, "%v", t.writeErr)
	}
	return n, err
}
