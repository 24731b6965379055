package peer

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/tcp"
)

// The errors of Send, Publish and Request.
var (
	// ErrUnreachable means that the message was not sent.
	ErrUnreachable = eris.New("peer: unreachable")
	// ErrQueueFull means that the message was not sent because the queue for the
	// peer is full.
	ErrQueueFull = eris.New("peer: outbound queue full")
	// ErrConnectionLost means that the connection was closed while waiting for the
	// reply. The peer may have received the request.
	ErrConnectionLost = eris.New("peer: connection lost")
	// ErrNoReply means that the deadline passed while waiting for the reply. The
	// peer may have received the request.
	ErrNoReply = eris.New("peer: no reply before the deadline")
	// ErrIncarnation means that a process of another incarnation replied.
	ErrIncarnation = eris.New("peer: reply from another incarnation")
	// ErrRemote means that the peer replied with an error.
	ErrRemote = eris.New("peer: request failed at the peer")
	// ErrClosed means that the transport is closed.
	ErrClosed = eris.New("peer: transport closed")
	// ErrUnknownTopic means that the topic is not one of the topics of this package.
	ErrUnknownTopic = eris.New("peer: unknown topic")
	// ErrNoRecipient means that a published message lacks MetadataTo.
	ErrNoRecipient = eris.New("peer: message without recipient")

	errLinkEnded = eris.New("peer: link ended")
)

// The metadata keys of messages.
const (
	// MetadataTo is the address of the recipient of a published message.
	MetadataTo = "to"
	// MetadataFrom is the address of the sender of a received message.
	MetadataFrom = "from"
	// MetadataIncarnation is the incarnation of the sender of a received message.
	MetadataIncarnation = "incarnation"
	// MetadataAnnotation is the annotation of a received message.
	MetadataAnnotation = "annotation"
)

const (
	heartbeatPeriod = time.Second
	silenceTimeout  = 3 * time.Second
	// idleTimeout closes connections without messages, so that the number of open
	// connections depends on use and not on the size of the fleet.
	idleTimeout = 15 * time.Second
	// dialTimeout bounds a dial. The network latency between zones is about 1.5 ms.
	dialTimeout = time.Second
	// initialBackoff and maxBackoff bound the time between failed dials. A replaced
	// proxy accepts connections again within seconds.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// closeTimeout bounds the time for writing queued frames before a connection closes.
	closeTimeout = 500 * time.Millisecond
	// queueCapacity bounds the frames queued for one peer.
	queueCapacity = 256
	// subscriptionCapacity bounds the received messages queued for a subscriber.
	subscriptionCapacity = 1024
	// maxRequests bounds the requests of peers that are handled concurrently.
	maxRequests = 1024
	// maxConnections bounds the accepted connections.
	maxConnections = 8192
	// defaultDeadline applies to requests whose context has no deadline.
	defaultDeadline = 2 * time.Second
)

// Request is a request of a peer.
type Request struct {
	envelope *Envelope
}

// NewRequest returns a request of the process with the given address and incarnation.
func NewRequest(topic, from, incarnation string, payload []byte) Request {
	return Request{envelope: &Envelope{Topic: topic, Sender: from, Incarnation: incarnation, Payload: payload}}
}

// Topic returns the topic of the request.
func (r Request) Topic() string { return r.envelope.Topic }

// From returns the address of the sender's peer listener.
func (r Request) From() string { return r.envelope.Sender }

// Incarnation returns the incarnation of the sender.
func (r Request) Incarnation() string { return r.envelope.Incarnation }

// Payload returns the content of the request.
func (r Request) Payload() []byte { return r.envelope.Payload }

// Handler handles a request and returns the payload of the reply. The context ends when
// the sender stops waiting.
type Handler func(ctx context.Context, request Request) ([]byte, error)

// Transport sends and receives messages of one proxy. It is safe for concurrent use.
type Transport struct {
	address     string
	incarnation string
	logger      *zap.Logger
	counters    counters

	heartbeatPeriod time.Duration
	silenceTimeout  time.Duration
	idleTimeout     time.Duration
	dialTimeout     time.Duration
	initialBackoff  time.Duration
	maxBackoff      time.Duration
	queueCapacity   int

	context  context.Context
	cancel   context.CancelFunc
	done     chan struct{}
	group    sync.WaitGroup
	nextID   atomic.Uint64
	messages atomic.Uint64
	requests chan struct{} // one token for each request that is being handled

	mutex         sync.Mutex
	closed        bool
	listeners     []net.Listener
	links         map[string]*link
	connections   map[*connection]struct{}
	subscriptions map[string][]*subscription
	handlers      map[string]Handler
}

var (
	_ message.Publisher  = (*Transport)(nil)
	_ message.Subscriber = (*Transport)(nil)
)

// Option changes a Transport under construction.
type Option func(*Transport)

// WithMetrics registers the metrics in set instead of a private set.
func WithMetrics(set *metrics.Set) Option {
	return func(t *Transport) { t.counters = newCounters(set) }
}

// WithHeartbeat sets the time between heartbeats and the time without any received byte
// after which a connection is closed.
func WithHeartbeat(period, silenceTimeout time.Duration) Option {
	return func(t *Transport) { t.heartbeatPeriod, t.silenceTimeout = period, silenceTimeout }
}

// WithIdleTimeout sets the time without messages after which a connection is
// closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(t *Transport) { t.idleTimeout = timeout }
}

// WithQueueCapacity sets the maximum number of frames queued for one peer.
func WithQueueCapacity(capacity int) Option {
	return func(t *Transport) { t.queueCapacity = capacity }
}

// New returns a transport for the process with the given incarnation. Peers reach its
// listener at address.
func New(address, incarnation string, logger *zap.Logger, options ...Option) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		address: address, incarnation: incarnation, logger: logger,
		counters:        newCounters(metrics.NewSet()),
		heartbeatPeriod: heartbeatPeriod, silenceTimeout: silenceTimeout, idleTimeout: idleTimeout,
		dialTimeout: dialTimeout, initialBackoff: initialBackoff, maxBackoff: maxBackoff,
		queueCapacity: queueCapacity,
		context:       ctx, cancel: cancel, done: make(chan struct{}),
		requests:      make(chan struct{}, maxRequests),
		links:         map[string]*link{},
		connections:   map[*connection]struct{}{},
		subscriptions: map[string][]*subscription{},
		handlers:      map[string]Handler{},
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Handle sets the handler for requests of a topic. It must be called before Serve.
func (t *Transport) Handle(topic string, handler Handler) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.handlers[topic] = handler
}

// Serve accepts connections until Close. It then returns nil.
func (t *Transport) Serve(listener net.Listener) error {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		return listener.Close()
	}
	t.listeners = append(t.listeners, listener)
	t.group.Add(1)
	t.mutex.Unlock()
	defer t.group.Done()
	for {
		socket, open := tcp.Accept(listener, func(err error) {
			t.logger.Warn("peer: cannot accept a connection, trying again", zap.String("error", err.Error()))
		})
		if !open {
			return nil
		}
		t.accept(socket)
	}
}

func (t *Transport) accept(socket net.Conn) {
	queue := newSendQueue(t.queueCapacity, t.counters.droppedOutbound.Inc)
	c := newConnection(t, socket, queue, t.handleInbound)
	if !t.track(c) {
		t.counters.refusedConnections.Inc()
		socket.Close()
		return
	}
	t.group.Go(func() {
		c.run()
		t.untrack(c)
	})
}

// Send queues a message without reply. A nil error means that the message was queued, not
// that it was delivered.
func (t *Transport) Send(to, topic string, payload []byte) error {
	return t.SendAnnotated(to, topic, payload, nil)
}

// SendAnnotated is Send with an annotation, which subscribers find in MetadataAnnotation and
// members of other versions ignore.
func (t *Transport) SendAnnotated(to, topic string, payload, annotation []byte) error {
	if !knownTopic(topic) {
		return eris.Wrap(ErrUnknownTopic, topic)
	}
	frame, err := encodeFrame(&Envelope{
		Topic: topic, Sender: t.address, Incarnation: t.incarnation, Payload: payload, Annotation: annotation,
	})
	if err != nil {
		return err
	}
	_, err = t.enqueue(to, queuedFrame{frame: frame, droppable: droppable(topic)}, nil)
	return err
}

// NewMessage returns a message to publish to the peer at address to.
func NewMessage(to string, payload []byte) *message.Message {
	m := message.NewMessage("", payload)
	m.Metadata.Set(MetadataTo, to)
	return m
}

// Publish queues each message for the peer at the address in MetadataTo.
func (t *Transport) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		to := m.Metadata.Get(MetadataTo)
		if to == "" {
			return eris.Wrapf(ErrNoRecipient, "topic %s", topic)
		}
		if err := t.Send(to, topic, m.Payload); err != nil {
			return err
		}
	}
	return nil
}

// Subscribe returns a channel of the received messages of a topic, without requests.
// Delivery is at most once: it does not wait for Ack, and Nack has no effect. The channel
// is closed when the context ends or the transport is closed.
func (t *Transport) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	if !knownTopic(topic) {
		return nil, eris.Wrap(ErrUnknownTopic, topic)
	}
	s := &subscription{
		context: ctx, output: make(chan *message.Message, subscriptionCapacity),
		dropped: t.counters.droppedInbound.Inc,
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	t.subscriptions[topic] = append(t.subscriptions[topic], s)
	context.AfterFunc(ctx, func() { t.unsubscribe(topic, s) })
	return s.output, nil
}

// Request sends a request and waits for the reply until the context ends, or for 2 s if it
// has no deadline. If incarnation is not empty, a reply from a process of another
// incarnation is ErrIncarnation. ErrUnreachable and ErrQueueFull mean that the request was
// not sent.
func (t *Transport) Request(
	ctx context.Context, to, incarnation, topic string, payload []byte,
) ([]byte, error) {
	if !knownTopic(topic) {
		return nil, eris.Wrap(ErrUnknownTopic, topic)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultDeadline)
		defer cancel()
	}
	deadline, _ := ctx.Deadline()
	id := t.nextID.Add(1)
	frame, err := encodeFrame(&Envelope{
		Topic: topic, ID: id, Sender: t.address, Incarnation: t.incarnation,
		RemainingMillis: max(1, time.Until(deadline).Milliseconds()), Payload: payload,
	})
	if err != nil {
		return nil, err
	}
	p := &pendingRequest{incarnation: incarnation, result: make(chan result, 1)}
	l, err := t.enqueue(to, queuedFrame{frame: frame, id: id}, p)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-p.result:
		if r.err != nil {
			return nil, r.err
		}
		if r.envelope.Error != "" {
			return nil, eris.Wrapf(ErrRemote, "%s: %s", to, r.envelope.Error)
		}
		return r.envelope.Payload, nil
	case <-ctx.Done():
		if l.cancelRequest(id) {
			return nil, eris.Wrapf(ErrUnreachable, "%s: %v before the request was sent", to, ctx.Err())
		}
		return nil, eris.Wrapf(ErrNoReply, "%s: %v", to, ctx.Err())
	}
}

// Close writes the frames that are queued for open connections, closes all connections,
// listeners and subscriptions, and waits for all goroutines. Handlers must return when
// their context ends.
func (t *Transport) Close() error {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		t.group.Wait()
		return nil
	}
	t.closed = true
	listeners := t.listeners
	var subscriptions []*subscription
	for _, s := range t.subscriptions {
		subscriptions = append(subscriptions, s...)
	}
	t.subscriptions = map[string][]*subscription{}
	for c := range t.connections {
		c.finish()
	}
	t.mutex.Unlock()
	close(t.done)
	t.cancel()
	for _, l := range listeners {
		l.Close()
	}
	for _, s := range subscriptions {
		s.close()
	}
	t.group.Wait()
	return nil
}

func (t *Transport) enqueue(to string, f queuedFrame, p *pendingRequest) (*link, error) {
	for {
		l, err := t.link(to)
		if err != nil {
			return nil, err
		}
		err = l.enqueue(f, p)
		if errors.Is(err, errLinkEnded) {
			t.dropLink(l)
			continue
		}
		return l, err
	}
}

func (t *Transport) link(address string) (*link, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	l, ok := t.links[address]
	if !ok {
		l = newLink(t, address)
		t.links[address] = l
		t.group.Add(1)
		go l.run()
	}
	return l, nil
}

func (t *Transport) dropLink(l *link) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.links[l.address] == l {
		delete(t.links, l.address)
	}
}

func (t *Transport) track(c *connection) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed || len(t.connections) >= maxConnections {
		return false
	}
	t.connections[c] = struct{}{}
	return true
}

func (t *Transport) untrack(c *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.connections, c)
}

func (t *Transport) unsubscribe(topic string, s *subscription) {
	t.mutex.Lock()
	t.subscriptions[topic] = slices.DeleteFunc(t.subscriptions[topic], func(other *subscription) bool {
		return other == s
	})
	t.mutex.Unlock()
	s.close()
}

// handleInbound handles an envelope that was received on an accepted connection.
func (t *Transport) handleInbound(c *connection, e *Envelope) {
	switch {
	case e.Reply:
		t.counters.lateReplies.Inc()
	case e.ID != 0:
		t.handleRequest(c, e)
	default:
		t.deliver(e)
	}
}

func (t *Transport) deliver(e *Envelope) {
	t.mutex.Lock()
	subscriptions := t.subscriptions[e.Topic]
	t.mutex.Unlock()
	if len(subscriptions) == 0 {
		t.counters.unhandled.Inc()
		return
	}
	for _, s := range subscriptions {
		uuid := t.incarnation + "-" + strconv.FormatUint(t.messages.Add(1), 10)
		m := message.NewMessage(uuid, e.Payload)
		m.Metadata.Set(MetadataFrom, e.Sender)
		m.Metadata.Set(MetadataIncarnation, e.Incarnation)
		m.Metadata.Set(MetadataAnnotation, string(e.Annotation))
		s.deliver(m)
	}
}

func (t *Transport) handleRequest(c *connection, e *Envelope) {
	t.mutex.Lock()
	handler := t.handlers[e.Topic]
	t.mutex.Unlock()
	if handler == nil {
		t.counters.unhandled.Inc()
		t.reply(c, e, nil, eris.New("no handler for the topic"))
		return
	}
	select {
	case t.requests <- struct{}{}:
	default:
		t.counters.busy.Inc()
		t.reply(c, e, nil, eris.New("too many requests at the same time"))
		return
	}
	deadline := time.Now().Add(time.Duration(e.RemainingMillis) * time.Millisecond)
	t.group.Go(func() {
		defer func() { <-t.requests }()
		ctx, cancel := context.WithDeadline(t.context, deadline)
		defer cancel()
		payload, err := handler(ctx, Request{envelope: e})
		if ctx.Err() != nil {
			return // the sender has stopped waiting
		}
		t.reply(c, e, payload, err)
	})
}

func (t *Transport) reply(c *connection, e *Envelope, payload []byte, failure error) {
	envelope := &Envelope{
		Topic: e.Topic, ID: e.ID, Sender: t.address, Incarnation: t.incarnation,
		Reply: true, Payload: payload,
	}
	if failure != nil {
		envelope.Payload = nil
		envelope.Error = failure.Error()
	}
	frame, err := encodeFrame(envelope)
	if err != nil {
		envelope.Payload = nil
		envelope.Error = err.Error()
		if frame, err = encodeFrame(envelope); err != nil {
			return
		}
	}
	if !c.queue.push(queuedFrame{frame: frame}) {
		t.counters.droppedOutbound.Inc()
	}
}
