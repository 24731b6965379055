package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds waits for another goroutine on a busy machine.
const waitTimeout = 20 * time.Second

// fastHeartbeat detects an unresponsive connection within 200 ms.
var fastHeartbeat = WithHeartbeat(20*time.Millisecond, 200*time.Millisecond)

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	return listener
}

// start runs a transport that is closed at the end of the test.
func start(t *testing.T, listener net.Listener, incarnation string, options ...Option) *Transport {
	t.Helper()
	transport := New(listener.Addr().String(), incarnation, zap.NewNop(), options...)
	served := make(chan error, 1)
	go func() { served <- transport.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, transport.Close())
		require.NoError(t, <-served)
	})
	return transport
}

func startLocal(t *testing.T, incarnation string, options ...Option) *Transport {
	t.Helper()
	return start(t, listen(t, "127.0.0.1:0"), incarnation, options...)
}

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, time.Millisecond, message)
}

func echo(_ context.Context, r Request) ([]byte, error) {
	return append([]byte("re: "), r.Payload()...), nil
}

// Guards against messages without their sender, and against replies that reach another
// request or come from another incarnation.
func TestMessagesAndRequests(t *testing.T) {
	a, b := startLocal(t, "a-1"), startLocal(t, "b-1")
	b.Handle(TopicOnceQuery, echo)
	messages, err := b.Subscribe(t.Context(), TopicEvidenceReport)
	require.NoError(t, err)

	require.NoError(t, a.Publish(TopicEvidenceReport, NewMessage(b.address, []byte("one"))))
	m := <-messages
	require.Equal(t, "one", string(m.Payload))
	require.Equal(t, a.address, m.Metadata.Get(MetadataFrom))
	require.Equal(t, "a-1", m.Metadata.Get(MetadataIncarnation))

	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			answer, err := a.Request(within(t), b.address, "b-1", TopicOnceQuery, fmt.Append(nil, i))
			if err != nil || string(answer) != fmt.Sprintf("re: %d", i) {
				t.Errorf("request %d: %q, %v", i, answer, err)
			}
		})
	}
	group.Wait()

	_, err = a.Request(within(t), b.address, "b-0", TopicOnceQuery, nil)
	require.ErrorIs(t, err, ErrIncarnation)
	_, err = a.Request(within(t), b.address, "", TopicOnceClaim, nil)
	require.ErrorIs(t, err, ErrRemote)
	_, err = a.Request(within(t), b.address, "", "once.other", nil)
	require.ErrorIs(t, err, ErrUnknownTopic)
	require.ErrorIs(t, a.Publish(TopicEvidenceReport, NewMessage("", nil)), ErrNoRecipient)
	_, err = a.Request(within(t), b.address, "", TopicOnceQuery, make([]byte, MaxFrameBytes))
	require.ErrorIs(t, err, ErrTooLarge)
}

// Guards against requests to an unreachable peer that do not fail immediately.
func TestUnreachablePeerFailsImmediately(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	a := startLocal(t, "a-1", func(t *Transport) { t.initialBackoff = time.Minute })
	begin := time.Now()
	for range 5 {
		_, err := a.Request(within(t), address, "", TopicOnceQuery, nil)
		require.ErrorIs(t, err, ErrUnreachable)
	}
	require.Less(t, time.Since(begin), waitTimeout)
	require.EqualValues(t, 1, a.counters.dials.Get(), "dialed again before the backoff had passed")
}

// Guards against a request that waits beyond its deadline, and against a handler that
// continues after it.
func TestDeadlineEndsRequestAndHandler(t *testing.T) {
	a, b := startLocal(t, "a-1"), startLocal(t, "b-1")
	ended := make(chan error, 1)
	b.Handle(TopicOnceQuery, func(ctx context.Context, _ Request) ([]byte, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := a.Request(ctx, b.address, "", TopicOnceQuery, nil)
	require.ErrorIs(t, err, ErrNoReply)
	require.ErrorIs(t, <-ended, context.DeadlineExceeded)
	require.Empty(t, a.links[b.address].waiting)
}

// freezingListener withholds the first connections from the server: they stay open, but
// nothing is read from them or sent on them.
type freezingListener struct {
	net.Listener
	mutex  sync.Mutex
	freeze int
	frozen []net.Conn
}

func (f *freezingListener) Accept() (net.Conn, error) {
	for {
		c, err := f.Listener.Accept()
		if err != nil {
			return nil, err
		}
		f.mutex.Lock()
		if len(f.frozen) >= f.freeze {
			f.mutex.Unlock()
			return c, nil
		}
		f.frozen = append(f.frozen, c)
		f.mutex.Unlock()
	}
}

// thaw returns all subsequent connections to the server.
func (f *freezingListener) thaw() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.freeze = 0
}

func (f *freezingListener) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.frozen)
}

func (f *freezingListener) release() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, c := range f.frozen {
		c.Close()
	}
}

// Guards against keeping an open connection that no longer responds although new ones
// work, and against unbounded queues for it.
func TestFrozenConnectionIsReplaced(t *testing.T) {
	stub := &freezingListener{Listener: listen(t, "127.0.0.1:0"), freeze: math.MaxInt}
	defer stub.release()
	b := start(t, stub, "b-1", fastHeartbeat)
	b.Handle(TopicOnceQuery, echo)
	a := startLocal(t, "a-1", fastHeartbeat, WithQueueCapacity(4))

	// Frames leave the queue when the connection is closed after the silence timeout
	// and replaced, so that on a slow machine it may have to be filled more than once.
	large := make([]byte, MaxFrameBytes/2)
	eventually(t, "the queue drops evidence", func() bool {
		require.NoError(t, a.Send(b.address, TopicEvidenceReport, large))
		return a.counters.droppedOutbound.Get() > 0
	})
	accepted := 0
	eventually(t, "the queue is full", func() bool {
		require.NoError(t, a.Send(b.address, TopicEvidenceReport, large))
		for range 4 {
			// Replaces evidence until the queue contains only draining marks.
			if err := a.Send(b.address, TopicDrainingMark, large); err != nil {
				require.ErrorIs(t, err, ErrQueueFull)
				break
			}
			accepted++
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := a.Request(ctx, b.address, "", TopicOnceQuery, nil)
		return errors.Is(err, ErrQueueFull)
	})
	require.GreaterOrEqual(t, accepted, 4, "draining marks replace evidence")
	stub.thaw()

	eventually(t, "the unresponsive connection is closed", func() bool { return a.counters.silenceClosed.Get() > 0 })
	eventually(t, "a new connection works", func() bool {
		answer, err := a.Request(within(t), b.address, "b-1", TopicOnceQuery, []byte("x"))
		return err == nil && string(answer) == "re: x"
	})
}

// Guards against a request that hangs when its connection is lost after it was sent.
func TestRequestOnFrozenConnectionFails(t *testing.T) {
	stub := &freezingListener{Listener: listen(t, "127.0.0.1:0"), freeze: 1}
	b := start(t, stub, "b-1", fastHeartbeat)
	a := startLocal(t, "a-1", fastHeartbeat)
	_, err := a.Request(within(t), b.address, "", TopicOnceQuery, nil)
	require.ErrorIs(t, err, ErrConnectionLost)
	stub.release()
}

// Guards against a Close that waits for a peer that does not read.
func TestCloseDoesNotWaitForAFrozenPeer(t *testing.T) {
	stub := &freezingListener{Listener: listen(t, "127.0.0.1:0"), freeze: 1}
	start(t, stub, "b-1")
	a := New("127.0.0.1:1", "a-1", zap.NewNop())
	large := make([]byte, MaxFrameBytes/2)
	for range 20 {
		require.NoError(t, a.Send(stub.Addr().String(), TopicEvidenceReport, large))
	}
	eventually(t, "the connection is open", func() bool { return stub.count() == 1 })
	begin := time.Now()
	require.NoError(t, a.Close())
	require.Less(t, time.Since(begin), 2*time.Second)
	stub.release()
	require.ErrorIs(t, a.Send(stub.Addr().String(), TopicLoadReport, nil), ErrClosed)
}

// Guards against a restarted peer that stays unreachable or is mistaken for the earlier
// process.
func TestRestartedPeer(t *testing.T) {
	a := startLocal(t, "a-1")
	listener := listen(t, "127.0.0.1:0")
	address := listener.Addr().String()
	first := New(address, "b-1", zap.NewNop())
	served := make(chan error, 1)
	go func() { served <- first.Serve(listener) }()
	first.Handle(TopicOnceQuery, echo)
	_, err := a.Request(within(t), address, "b-1", TopicOnceQuery, nil)
	require.NoError(t, err)
	require.NoError(t, first.Close())
	require.NoError(t, <-served)

	eventually(t, "the first process is gone", func() bool {
		_, err := a.Request(within(t), address, "", TopicOnceQuery, nil)
		return err != nil
	})
	second := start(t, listen(t, address), "b-2")
	second.Handle(TopicOnceQuery, echo)
	eventually(t, "the second process is reached", func() bool {
		_, err := a.Request(within(t), address, "b-2", TopicOnceQuery, nil)
		return err == nil
	})
	_, err = a.Request(within(t), address, "b-1", TopicOnceQuery, nil)
	require.ErrorIs(t, err, ErrIncarnation)
}

// Guards against losing a leave message because the process ends right after it.
func TestCloseSendsQueuedFrames(t *testing.T) {
	b := startLocal(t, "b-1")
	messages, err := b.Subscribe(t.Context(), TopicMembershipLeave)
	require.NoError(t, err)
	a := New("127.0.0.1:1", "a-1", zap.NewNop())
	require.NoError(t, a.Send(b.address, TopicMembershipLeave, []byte("0")))
	require.Equal(t, "0", string((<-messages).Payload)) // the connection is open
	const count = 200
	payload := make([]byte, 16<<10)
	for i := range count {
		payload[0] = byte(i)
		require.NoError(t, a.Send(b.address, TopicMembershipLeave, payload))
	}
	require.NoError(t, a.Close())
	for i := range count {
		select {
		case m := <-messages:
			require.Equal(t, byte(i), m.Payload[0])
		case <-time.After(waitTimeout):
			t.Fatalf("%d of %d messages arrived", i, count)
		}
	}
}

// Guards against a connection that closes before it has written its queue.
func TestFinishWritesTheQueue(t *testing.T) {
	transport := New("127.0.0.1:1", "a-1", zap.NewNop())
	for range 20 { // the order of the events is random
		near, far := net.Pipe()
		q := newSendQueue(4, func() {})
		q.push(queuedFrame{frame: []byte(frame("last"))})
		c := newConnection(transport, near, q, func(*connection, *Envelope) {})
		c.finish()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.run()
		}()
		content, err := readFrame(far)
		require.NoError(t, err)
		require.Equal(t, "last", string(content))
		<-ended
		far.Close()
	}
}

// Guards against connections that stay open to every peer ever contacted, and against
// closing a connection that waits for a reply although heartbeats arrive.
func TestIdleConnectionsClose(t *testing.T) {
	a, b := startLocal(t, "a-1", fastHeartbeat, WithIdleTimeout(400*time.Millisecond)), startLocal(t, "b-1", fastHeartbeat)
	release := make(chan struct{})
	b.Handle(TopicOnceQuery, func(context.Context, Request) ([]byte, error) {
		<-release
		return nil, nil
	})
	time.AfterFunc(time.Second, func() { close(release) }) // longer than silence and idle timeouts
	_, err := a.Request(within(t), b.address, "", TopicOnceQuery, nil)
	require.NoError(t, err)
	eventually(t, "no link is left", func() bool {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return len(a.links) == 0 && len(a.connections) == 0
	})
	_, err = a.Request(within(t), b.address, "", TopicOnceQuery, nil)
	require.NoError(t, err)
}

func frame(content string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(content)))) + content
}

// Guards against invalid input that panics, is not counted, or leaves the connection
// open.
func TestBadFrames(t *testing.T) {
	valid := func(change func(e *Envelope)) string {
		e := &Envelope{Topic: TopicLoadReport, Sender: "s", Incarnation: "i"}
		change(e)
		f, err := encodeFrame(e)
		require.NoError(t, err)
		return string(f)
	}
	good := valid(func(*Envelope) {})
	for name, c := range map[string]struct {
		bytes   string
		counter func(*counters) *metrics.Counter
		stays   bool
	}{
		"garbage":            {frame("\xff\x00garbage"), func(c *counters) *metrics.Counter { return c.malformed }, false},
		"over 1 MiB":         {"\x00\x10\x00\x01", func(c *counters) *metrics.Counter { return c.tooLarge }, false},
		"trailing bytes":     {frame(good[headerBytes:] + "\x00"), func(c *counters) *metrics.Counter { return c.malformed }, false},
		"no topic":           {valid(func(e *Envelope) { e.Topic = "" }), func(c *counters) *metrics.Counter { return c.malformed }, false},
		"no incarnation":     {valid(func(e *Envelope) { e.Incarnation = "" }), func(c *counters) *metrics.Counter { return c.malformed }, false},
		"truncated envelope": {frame(good[headerBytes : len(good)-3]), func(c *counters) *metrics.Counter { return c.malformed }, false},
		"truncated frame":    {good[:len(good)-3], func(c *counters) *metrics.Counter { return c.silenceClosed }, false},
		"no bytes":           {"", func(c *counters) *metrics.Counter { return c.silenceClosed }, false},
		"unknown topic":      {valid(func(e *Envelope) { e.Topic = "other" }), func(c *counters) *metrics.Counter { return c.unknownTopic }, true},
		"unsolicited reply":  {valid(func(e *Envelope) { e.Reply, e.ID = true, 9 }), func(c *counters) *metrics.Counter { return c.lateReplies }, true},
		"no subscriber":      {good, func(c *counters) *metrics.Counter { return c.unhandled }, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := startLocal(t, "b-1", fastHeartbeat)
			socket, err := net.Dial("tcp", b.address)
			require.NoError(t, err)
			defer socket.Close()
			_, err = io.WriteString(socket, c.bytes)
			require.NoError(t, err)
			eventually(t, "counted", func() bool { return c.counter(&b.counters).Get() == 1 })
			if c.stays {
				_, err = io.WriteString(socket, good)
				require.NoError(t, err)
				eventually(t, "still read", func() bool { return b.counters.framesReceived.Get() == 2 })
				return
			}
			require.NoError(t, socket.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, err = io.Copy(io.Discard, socket) // heartbeats, then EOF
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			eventually(t, "closed", func() bool {
				b.mutex.Lock()
				defer b.mutex.Unlock()
				return len(b.connections) == 0
			})
		})
	}
}

// Guards against a subscriber that does not read and thereby blocks the connection.
func TestSlowSubscriberLosesOldest(t *testing.T) {
	a, b := startLocal(t, "a-1"), startLocal(t, "b-1")
	ctx, cancel := context.WithCancel(t.Context())
	messages, err := b.Subscribe(ctx, TopicLoadReport)
	require.NoError(t, err)
	const extra = 10
	for i := range subscriptionCapacity + extra {
		require.NoError(t, a.Send(b.address, TopicLoadReport, fmt.Append(nil, i)))
		if i%100 == 0 { // the send queue must not overflow
			eventually(t, "received", func() bool { return b.counters.framesReceived.Get() > uint64(i) })
		}
	}
	eventually(t, "all arrived", func() bool { return b.counters.droppedInbound.Get() == extra })
	require.Equal(t, fmt.Sprint(extra), string((<-messages).Payload))
	cancel()
	eventually(t, "the channel closes", func() bool {
		for range messages {
		}
		return true
	})
}
