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

var heartbeatFrame = make([]byte, headerBytes)

// connection runs one TCP connection: one goroutine reads frames, another writes
// heartbeats and the frames of a send queue.
type connection struct {
	transport *Transport
	socket    net.Conn
	queue     *sendQueue
	handle    func(*connection, *Envelope)
	stop      chan struct{} // closed to write the queued frames and then close
	closed    chan struct{}
	stopOnce  sync.Once
	closeOnce sync.Once
}

func newConnection(
	t *Transport, socket net.Conn, queue *sendQueue, handle func(*connection, *Envelope),
) *connection {
	return &connection{
		transport: t, socket: socket, queue: queue, handle: handle,
		stop: make(chan struct{}), closed: make(chan struct{}),
	}
}

// run returns once the connection has closed and both goroutines have ended.
func (c *connection) run() {
	var group sync.WaitGroup
	group.Go(c.write)
	c.read()
	c.close()
	group.Wait()
}

// finish writes the queued frames, for at most closeTimeout, and closes the connection.
func (c *connection) finish() {
	c.stopOnce.Do(func() {
		close(c.stop)
		// Also unblocks a write to a peer that does not read.
		c.socket.SetWriteDeadline(time.Now().Add(closeTimeout)) //nolint:errcheck // the close follows
	})
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.socket.Close()
	})
}

// Read implements io.Reader. It fails if no byte arrives within the silence timeout.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.socket.SetReadDeadline(time.Now().Add(c.transport.silenceTimeout)); err != nil {
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
		c.transport.logger.Info("peer: connection closed after the silence timeout",
			zap.Stringer("remote", c.socket.RemoteAddr()))
	}
}

func (c *connection) write() {
	defer c.close()
	ticker := time.NewTicker(c.transport.heartbeatPeriod)
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
			if idle && !c.send(heartbeatFrame) {
				return
			}
			idle = true
		case <-c.queue.ready:
			if !c.flush() {
				return
			}
			idle = false
		}
	}
}

// flush writes all queued frames and reports whether all writes succeeded.
func (c *connection) flush() bool {
	for {
		f, ok := c.queue.pop()
		if !ok {
			return true
		}
		if !c.send(f.frame) {
			return false
		}
	}
}

func (c *connection) send(frame []byte) bool {
	select {
	case <-c.stop: // keep the deadline that finish has set
	default:
		if err := c.socket.SetWriteDeadline(time.Now().Add(c.transport.silenceTimeout)); err != nil {
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
