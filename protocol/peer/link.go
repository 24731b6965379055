package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// pending is a request that waits for its reply.
type pending struct {
	incarnation string // expected, or empty
	result      chan result
}

type result struct {
	envelope *Envelope
	err      error
}

// link is the outbound side towards one peer address. It dials when there is
// something to send and ends when it has been idle.
type link struct {
	transport *Transport
	address   string
	ring      *ring

	mutex   sync.Mutex
	ended   bool
	retryAt time.Time // no message is accepted before; set after a failed dial
	lastUse time.Time
	waiting map[uint64]*pending
}

func newLink(t *Transport, address string) *link {
	return &link{
		transport: t, address: address,
		ring:    newRing(t.ringCapacity, t.counters.droppedOutbound.Inc),
		waiting: map[uint64]*pending{}, lastUse: time.Now(),
	}
}

// enqueue accepts a frame for sending. p is nil for a message without reply.
func (l *link) enqueue(i item, p *pending) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return errLinkEnded
	}
	if time.Now().Before(l.retryAt) {
		return eris.Wrapf(ErrUnreachable, "%s: waiting to reconnect", l.address)
	}
	if !l.ring.push(i) {
		l.transport.counters.refusedFull.Inc()
		return eris.Wrap(ErrQueueFull, l.address)
	}
	l.lastUse = time.Now()
	if p != nil {
		l.waiting[i.id] = p
	}
	return nil
}

// forget ends the wait for a reply and reports whether the request was not sent.
func (l *link) forget(id uint64) bool {
	l.mutex.Lock()
	delete(l.waiting, id)
	l.mutex.Unlock()
	return l.ring.remove(id)
}

func (l *link) run() {
	defer l.transport.group.Done()
	backoff := l.transport.backoffFirst
	for {
		if !l.awaitUse() {
			return
		}
		socket, err := l.dial()
		if err != nil {
			l.refuse(eris.Wrapf(ErrUnreachable, "%s: %v", l.address, err), backoff)
			if !l.pause(backoff) {
				return
			}
			backoff = min(2*backoff, l.transport.backoffMost)
			continue
		}
		backoff = l.transport.backoffFirst
		l.serve(socket)
	}
}

// awaitUse waits until a frame is queued. It returns false when the link ended.
func (l *link) awaitUse() bool {
	timer := time.NewTimer(l.transport.idle)
	defer timer.Stop()
	for {
		select {
		case <-l.transport.done:
			l.end()
			return false
		case <-l.ring.filled:
			if l.ring.empty() {
				continue // the items were dropped since
			}
			l.ring.signal() // the connection consumes the token
			return true
		case <-timer.C:
			if l.endIfIdle() {
				return false
			}
			timer.Reset(l.transport.idle)
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

// serve runs a connection until it closes, then fails the requests sent on it.
func (l *link) serve(socket net.Conn) {
	c := newConnection(l.transport, socket, l.ring, l.handleReply)
	if !l.transport.track(c) {
		socket.Close()
		return
	}
	watch := l.transport.idle / 4
	stopped := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(watch)
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
	l.loseConnection()
}

// loseConnection fails the requests that were sent on a closed connection. What
// is still queued goes out on the next one.
func (l *link) loseConnection() {
	l.mutex.Lock()
	var lost []*pending
	for id, p := range l.waiting {
		if !l.ring.contains(id) {
			lost = append(lost, p)
			delete(l.waiting, id)
		}
	}
	l.mutex.Unlock()
	for _, p := range lost {
		p.result <- result{err: eris.Wrap(ErrConnectionLost, l.address)}
	}
	if !l.ring.empty() {
		l.ring.signal()
	}
}

// refuse drops what is queued, because the peer cannot be reached, and accepts
// nothing until backoff has passed.
func (l *link) refuse(err error, backoff time.Duration) {
	l.mutex.Lock()
	for _, i := range l.ring.drain() {
		if i.id == 0 {
			l.transport.counters.droppedOutbound.Inc()
		}
	}
	waiting := l.waiting
	l.waiting = map[uint64]*pending{}
	l.retryAt = time.Now().Add(backoff)
	l.mutex.Unlock()
	for _, p := range waiting {
		p.result <- result{err: err}
	}
}

func (l *link) pause(backoff time.Duration) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-l.transport.done:
		l.end()
		return false
	case <-timer.C:
		return true
	}
}

func (l *link) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.waiting) == 0 && time.Since(l.lastUse) >= l.transport.idle
}

func (l *link) endIfIdle() bool {
	l.mutex.Lock()
	if len(l.waiting) > 0 || time.Since(l.lastUse) < l.transport.idle {
		l.mutex.Unlock()
		return false
	}
	l.ended = true
	l.mutex.Unlock()
	l.transport.dropLink(l)
	return true
}

func (l *link) end() {
	l.mutex.Lock()
	l.ended = true
	l.mutex.Unlock()
	l.refuse(ErrClosed, 0)
}

// handleReply gives a reply to the request that waits for it.
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
		p.result <- result{err: eris.Wrapf(ErrIncarnation, "%s: %s instead of %s", l.address, e.Incarnation, p.incarnation)}
		return
	}
	p.result <- result{envelope: e}
}
