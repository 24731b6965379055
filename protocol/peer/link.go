package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	incarnation string // expected, or empty
	result      chan result
}

type result struct {
	envelope *Envelope
	err      error
}

// link manages the outbound connection to one peer address. It dials when a frame is
// queued and ends after the idle timeout.
type link struct {
	transport *Transport
	address   string
	queue     *sendQueue

	mutex       sync.Mutex
	ended       bool
	reconnectAt time.Time // no frame is accepted earlier; set after a failed dial
	lastUse     time.Time
	waiting     map[uint64]*pendingRequest
}

func newLink(t *Transport, address string) *link {
	return &link{
		transport: t, address: address,
		queue:   newSendQueue(t.queueCapacity, t.counters.droppedOutbound.Inc),
		waiting: map[uint64]*pendingRequest{}, lastUse: time.Now(),
	}
}

// enqueue queues a frame for sending. p is nil for a message without reply.
func (l *link) enqueue(f queuedFrame, p *pendingRequest) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return errLinkEnded
	}
	if time.Now().Before(l.reconnectAt) {
		return eris.Wrapf(ErrUnreachable, "%s: reconnect backoff", l.address)
	}
	if !l.queue.push(f) {
		l.transport.counters.refusedFull.Inc()
		return eris.Wrap(ErrQueueFull, l.address)
	}
	l.lastUse = time.Now()
	if p != nil {
		l.waiting[f.id] = p
	}
	return nil
}

// cancelRequest stops waiting for a reply and reports whether the request was not sent.
func (l *link) cancelRequest(id uint64) bool {
	l.mutex.Lock()
	delete(l.waiting, id)
	l.mutex.Unlock()
	return l.queue.remove(id)
}

func (l *link) run() {
	defer l.transport.group.Done()
	backoff := l.transport.initialBackoff
	for {
		if !l.awaitFrame() {
			return
		}
		socket, err := l.dial()
		if err != nil {
			l.failQueued(eris.Wrapf(ErrUnreachable, "%s: %v", l.address, err), backoff)
			if !l.waitBackoff(backoff) {
				return
			}
			backoff = min(2*backoff, l.transport.maxBackoff)
			continue
		}
		backoff = l.transport.initialBackoff
		l.serve(socket)
	}
}

// awaitFrame waits until a frame is queued. It returns false if the link has ended.
func (l *link) awaitFrame() bool {
	timer := time.NewTimer(l.transport.idleTimeout)
	defer timer.Stop()
	for {
		select {
		case <-l.transport.done:
			l.close()
			return false
		case <-l.queue.ready:
			if l.queue.empty() {
				continue // the frames have been dropped since
			}
			l.queue.signal() // put the token back for the connection
			return true
		case <-timer.C:
			if l.endIfIdle() {
				return false
			}
			timer.Reset(l.transport.idleTimeout)
		}
	}
}

func (l *link) dial() (net.Conn, error) {
	l.transport.counters.dials.Inc()
	dialer := net.Dialer{Timeout: l.transport.dialTimeout}
	socket, err := dialer.DialContext(l.transport.context, "tcp", l.address)
	if err != nil {
		l.transport.counters.dialFailures.Inc()
	}
	return socket, err
}

// serve runs a connection until it closes and then fails the requests sent on it.
func (l *link) serve(socket net.Conn) {
	c := newConnection(l.transport, socket, l.queue, l.handleReply)
	if !l.transport.track(c) {
		socket.Close()
		return
	}
	checkInterval := l.transport.idleTimeout / 4
	stopped := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				if l.idle() {
					c.finish()
				}
			}
		}
	})
	c.run()
	close(stopped)
	group.Wait()
	l.transport.untrack(c)
	l.failSentRequests()
}

// failSentRequests fails the requests that were sent on a closed connection. Queued frames
// are sent on the next one.
func (l *link) failSentRequests() {
	l.mutex.Lock()
	var sent []*pendingRequest
	for id, p := range l.waiting {
		if !l.queue.contains(id) {
			sent = append(sent, p)
			delete(l.waiting, id)
		}
	}
	l.mutex.Unlock()
	for _, p := range sent {
		p.result <- result{err: eris.Wrap(ErrConnectionLost, l.address)}
	}
	if !l.queue.empty() {
		l.queue.signal()
	}
}

// failQueued drops the queued frames and fails all waiting requests, because the peer is
// unreachable. No frame is accepted until backoff has passed.
func (l *link) failQueued(err error, backoff time.Duration) {
	l.mutex.Lock()
	for _, f := range l.queue.drain() {
		if f.id == 0 {
			l.transport.counters.droppedOutbound.Inc()
		}
	}
	waiting := l.waiting
	l.waiting = map[uint64]*pendingRequest{}
	l.reconnectAt = time.Now().Add(backoff)
	l.mutex.Unlock()
	for _, p := range waiting {
		p.result <- result{err: err}
	}
}

func (l *link) waitBackoff(backoff time.Duration) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-l.transport.done:
		l.close()
		return false
	case <-timer.C:
		return true
	}
}

func (l *link) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.waiting) == 0 && time.Since(l.lastUse) >= l.transport.idleTimeout
}

func (l *link) endIfIdle() bool {
	l.mutex.Lock()
	if len(l.waiting) > 0 || time.Since(l.lastUse) < l.transport.idleTimeout {
		l.mutex.Unlock()
		return false
	}
	l.ended = true
	l.mutex.Unlock()
	l.transport.dropLink(l)
	return true
}

func (l *link) close() {
	l.mutex.Lock()
	l.ended = true
	l.mutex.Unlock()
	l.failQueued(ErrClosed, 0)
}

// handleReply passes a reply to the request that waits for it.
func (l *link) handleReply(_ *connection, e *Envelope) {
	counters := &l.transport.counters
	if !e.Reply {
		counters.unhandled.Inc()
		return
	}
	l.mutex.Lock()
	p, ok := l.waiting[e.ID]
	delete(l.waiting, e.ID)
	l.mutex.Unlock()
	if !ok {
		counters.lateReplies.Inc()
		return
	}
	if p.incarnation != "" && p.incarnation != e.Incarnation {
		counters.wrongIncarnation.Inc()
		p.result <- result{err: eris.Wrapf(ErrIncarnation, "%s: reply from %s instead of %s", l.address, e.Incarnation, p.incarnation)}
		return
	}
	p.result <- result{envelope: e}
}
