package peer

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

var heartbeat = make([]byte, headerBytes)

// connection runs one TCP connection: a goroutine that reads and one that writes
// the frames of a ring and the heartbeats.
type connection struct {
	transport *Transport
	socket    net.Conn
	ring      *ring
	handle    func(*connection, *Envelope)
	stop      chan struct{} // closed to write what is queued and then close
	closed    chan struct{}
	stopOnce  sync.Once
	closeOnce sync.Once
}

func newConnection(
	t *Transport, socket net.Conn, r *ring, handle func(*connection, *Envelope),
) *connection {
	return &connection{
		transport: t, socket: socket, ring: r, handle: handle,
		stop: make(chan struct{}), closed: make(chan struct{}),
	}
}

// run returns when the connection has closed and both goroutines have ended.
func (c *connection) run() {
	var group sync.WaitGroup
	group.Go(c.write)
	c.read()
	c.close()
	group.Wait()
}

// finish writes what is queued, for at most closeTimeout, and closes.
func (c *connection) finish() {
	c.stopOnce.Do(func() {
		close(c.stop)
		// Also ends a write that is blocked by a peer that does not read.
		c.socket.SetWriteDeadline(time.Now().Add(closeTimeout)) //nolint:errcheck // the close follows
	})
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.socket.Close()
	})
}

// Read implements io.Reader. Any byte within the silence timeout keeps the
// connection open.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.socket.SetReadDeadline(time.Now().Add(c.transport.silence)); err != nil {
		return 0, err
	}
	return c.socket.Read(p)
}

func (c *connection) read() {
	counters := &c.transport.counters
	reader := bufio.NewReader(c)
	for {
		content, err := readFrame(reader)
		if err != nil {
			c.countReadError(err)
			return
		}
		counters.framesReceived.Inc()
		counters.bytesReceived.Add(headerBytes + len(content))
		if len(content) == 0 {
			continue
		}
		envelope, err := decodeEnvelope(content)
		if err != nil {
			counters.malformed.Inc()
			c.transport.logger.Warn("peer: connection closed after a malformed frame",
				zap.Stringer("remote", c.socket.RemoteAddr()), zap.Error(err))
			return
		}
		if !knownTopic(envelope.Topic) {
			counters.unknownTopic.Inc()
			continue
		}
		c.handle(c, envelope)
	}
}

func (c *connection) countReadError(err error) {
	counters := &c.transport.counters
	switch {
	case eris.Is(err, ErrTooLarge):
		counters.tooLarge.Inc()
		counters.malformed.Inc()
	case errors.Is(err, os.ErrDeadlineExceeded):
		counters.silenceClosed.Inc()
		c.transport.logger.Info("peer: silent connection closed",
			zap.Stringer("remote", c.socket.RemoteAddr()))
	}
}

func (c *connection) write() {
	defer c.close()
	ticker := time.NewTicker(c.transport.heartbeat)
	defer ticker.Stop()
	idle := true
	for {
		select {
		case <-c.closed:
			return
		case <-c.stop:
			c.flush()
			return
		case <-ticker.C:
			if idle && !c.send(heartbeat) {
				return
			}
			idle = true
		case <-c.ring.filled:
			if !c.flush() {
				return
			}
			idle = false
		}
	}
}

// flush writes all queued frames.
func (c *connection) flush() bool {
	for {
		i, ok := c.ring.pop()
		if !ok {
			return true
		}
		if !c.send(i.frame) {
			return false
		}
	}
}

func (c *connection) send(frame []byte) bool {
	select {
	case <-c.stop: // the deadline of finish stays
	default:
		if err := c.socket.SetWriteDeadline(time.Now().Add(c.transport.silence)); err != nil {
			return false
		}
	}
	if _, err := c.socket.Write(frame); err != nil {
		return false
	}
	c.transport.counters.framesSent.Inc()
	c.transport.counters.bytesSent.Add(len(frame))
	return true
}
