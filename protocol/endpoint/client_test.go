package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	shortDeadline = 150 * time.Millisecond
	eventually    = 5 * time.Second
	pollEvery     = time.Millisecond
)

// Guards against the late response to a request that timed out being read as
// the response to the next request on the same connection.
func TestLateResponseNeverReachesNextRequest(t *testing.T) {
	timedOut := make(chan struct{})
	release := sync.OnceFunc(func() { close(timedOut) })
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, ordinal int) {
		if ordinal > 1 {
			answerAll(b, conn, reader, ordinal)
			return
		}
		if r, _, ok := b.read(reader); ok {
			<-timedOut
			answer(conn, r.Header.Get(headerRequestID), "late")
			answerAll(b, conn, reader, ordinal)
		}
	})
	defer release()
	client := newTestClient(t, b.address())
	first := doWithin(t, client, get("id-1"), shortDeadline)
	require.Equal(t, KindTimeout, first.Kind())
	require.ErrorIs(t, first.Err(), ErrTimeout)
	require.Zero(t, client.Open())
	release()
	request := get("id-2")
	request.rules.echoHeader = "" // the echo check would hide a mix-up
	second := do(t, client, request)
	require.NoError(t, second.Err())
	require.Equal(t, "id-2", string(second.Body()))
}

// Guards against bytes that arrive on an idle connection being read as the
// response to the next request.
func TestUnsolicitedBytesAreNotAResponse(t *testing.T) {
	idle := make(chan net.Conn, 1)
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, ordinal int) {
		if ordinal > 1 {
			answerAll(b, conn, reader, ordinal)
			return
		}
		if r, _, ok := b.read(reader); ok {
			answer(conn, r.Header.Get(headerRequestID), "first")
			idle <- conn
			waitUntilClosed(reader)
		}
	})
	client := newTestClient(t, b.address())
	require.NoError(t, do(t, client, get("id-1")).Err())
	answer(<-idle, "id-2", "stale")
	awaitReadable(t, client.idle[0])
	second := do(t, client, get("id-2"))
	require.NoError(t, second.Err())
	require.Equal(t, "id-2", string(second.Body()))
}

// awaitReadable waits until the connection has received bytes, without reading them.
func awaitReadable(t *testing.T, conn *connection) {
	t.Helper()
	require.NoError(t, conn.net.SetReadDeadline(time.Now().Add(eventually)))
	received := 0
	require.NoError(t, conn.raw.Read(func(descriptor uintptr) bool {
		received, _, _ = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK)
		return received > 0
	}))
	require.Positive(t, received)
}

// Guards against responses to other requests reaching callers when an endpoint
// answers out of order under many concurrent calls.
func TestSwappedResponsesNeverReachCallers(t *testing.T) {
	const callers, rounds, seed = 32, 40, 20261204
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	previous := "none"
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			r, _, ok := b.read(reader)
			if !ok {
				return
			}
			id := r.Header.Get(headerRequestID)
			mu.Lock()
			sent := id
			if random.IntN(4) == 0 {
				sent = previous
			}
			previous = id
			mu.Unlock()
			answer(conn, sent, sent)
		}
	})
	client := newTestClient(t, b.address())
	var answered, mismatched atomic.Int64
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			for k := range rounds {
				id := fmt.Sprintf("id-%d-%d", i, k)
				result := client.Do(context.Background(), time.Now().Add(testDeadline), get(id))
				switch {
				case result.Err() == nil && string(result.Body()) == id:
					answered.Add(1)
				case errors.Is(result.Err(), ErrMismatchedResponse) && result.Kind() == KindInvalid:
					mismatched.Add(1)
				default:
					t.Logf("%s: body %q, error %v after %s", id, result.Body(), result.Err(), result.Elapsed())
				}
				result.Release()
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, callers*rounds, answered.Load()+mismatched.Load(), "a caller got another response or none")
	require.Positive(t, mismatched.Load())
}

// Guards against running a non-repeatable request twice: http.Transport resends a
// request with an Idempotency-Key if a reused connection was closed.
func TestNonRepeatableIsWrittenOnce(t *testing.T) {
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			r, _, ok := b.read(reader)
			if !ok || r.Method == http.MethodPost {
				return
			}
			answer(conn, r.Header.Get(headerRequestID), "ok")
		}
	})
	client := newTestClient(t, b.address())
	require.NoError(t, do(t, client, get("id-1")).Err())
	require.Equal(t, 1, client.Open(), "the test needs an idle connection")
	result := do(t, client, book("id-2"))
	require.ErrorIs(t, result.Err(), ErrClosed)
	require.Equal(t, KindError, result.Kind())
	require.False(t, result.NotRun())
	accepted, requests, _ := b.counts()
	require.Equal(t, 2, accepted, "a non-repeatable request needs a connection of its own")
	require.Equal(t, 2, requests)
}

// Guards against a closed idle connection failing a repeatable request, and
// against more than one retry.
func TestRepeatableIsRetriedOnceOnNewConnection(t *testing.T) {
	for name, answers := range map[string]bool{"works": true, "closed again": false} {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, ordinal int) {
				r, _, ok := b.read(reader)
				if ok && (ordinal == 1 || answers) {
					answer(conn, r.Header.Get(headerRequestID), "ok")
				}
				if ordinal == 1 {
					b.read(reader)
				}
			})
			client := newTestClient(t, b.address())
			require.NoError(t, do(t, client, get("id-1")).Err())
			result := do(t, client, get("id-2"))
			require.Equal(t, answers, result.Err() == nil)
			require.False(t, result.UnresponsiveConnection())
			_, requests, _ := b.counts()
			require.Equal(t, 3, requests)
		})
	}
}

// Guards against an unresponsive connection counting against a healthy endpoint, and
// against an unresponsive endpoint not being reported.
func TestUnresponsiveConnectionAndEndpointDiffer(t *testing.T) {
	cases := map[string]struct {
		newWorks     bool
		kind         Kind
		unresponsive bool
	}{
		"unresponsive connection": {newWorks: true, kind: KindOK, unresponsive: true},
		"unresponsive endpoint":   {newWorks: false, kind: KindTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, ordinal int) {
				r, _, ok := b.read(reader)
				if ok && (ordinal == 1 || c.newWorks) {
					answer(conn, r.Header.Get(headerRequestID), "ok")
				}
				waitUntilClosed(reader)
			})
			client := newTestClient(t, b.address(), WithSilenceTimeout(shortDeadline))
			require.NoError(t, do(t, client, get("id-1")).Err())
			result := doWithin(t, client, get("id-2"), 4*shortDeadline)
			require.Equal(t, c.kind, result.Kind())
			require.Equal(t, c.unresponsive, result.UnresponsiveConnection())
			accepted, _, _ := b.counts()
			require.Equal(t, 2, accepted)
		})
	}
}

// Guards against callers with a very short deadline producing evidence against a
// healthy endpoint.
func TestShortTimeoutIsNoEvidence(t *testing.T) {
	b := startBackend(t, func(_ *backend, _ net.Conn, reader *bufio.Reader, _ int) { waitUntilClosed(reader) })
	client := newTestClient(t, b.address())
	request := get("id-1")
	request.rules.minEvidenceTimeout = testDeadline
	result := doWithin(t, client, request, shortDeadline)
	require.Equal(t, KindNone, result.Kind())
	require.ErrorIs(t, result.Err(), ErrTimeout)
}

// Guards against NotRun being true after a byte was written, and false although no
// byte was written.
func TestNotRunUntilFirstByteWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unused := listener.Addr().String()
	require.NoError(t, listener.Close())
	unresponsive := startBackend(t, func(_ *backend, _ net.Conn, reader *bufio.Reader, _ int) { waitUntilClosed(reader) })

	refused := do(t, newTestClient(t, unused), book("id-1"))
	require.Equal(t, KindRefused, refused.Kind())
	require.True(t, refused.NotRun())

	healthy := newTestClient(t, startBackend(t, answerAll).address())
	require.NoError(t, do(t, healthy, get("id-2")).Err())
	passed := doWithin(t, healthy, get("id-3"), -time.Second)
	require.Equal(t, KindNone, passed.Kind())
	require.True(t, passed.NotRun())
	require.Equal(t, 1, healthy.Open(), "a request past its deadline lost a connection")

	timedOut := doWithin(t, newTestClient(t, unresponsive.address()), book("id-4"), shortDeadline)
	require.Equal(t, KindTimeout, timedOut.Kind())
	require.False(t, timedOut.NotRun())
}

// failingConn writes some bytes and then fails.
type failingConn struct {
	net.Conn
	written int
}

func (c failingConn) Write([]byte) (int, error) { return c.written, io.ErrClosedPipe }

// Guards against a partial write counting as none, which would allow running the
// request twice.
func TestWroteCountsPartialWrites(t *testing.T) {
	for _, written := range []int{0, 1} {
		result := &Result{}
		conn := newConnection(failingConn{written: written})
		require.Error(t, conn.write(book("id-1"), result))
		require.Equal(t, written > 0, result.Wrote())
	}
}

// Guards against the next request reusing the connection of a cancelled call, and
// against the cancellation counting as evidence.
func TestCancelledCallClosesItsConnection(t *testing.T) {
	received := make(chan struct{})
	b := startBackend(t, func(b *backend, _ net.Conn, reader *bufio.Reader, _ int) {
		b.read(reader)
		close(received)
		waitUntilClosed(reader)
	})
	client := newTestClient(t, b.address())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	result := client.Do(ctx, time.Now().Add(testDeadline), get("id-1"))
	defer result.Release()
	require.ErrorIs(t, result.Err(), ErrCancelled)
	require.Equal(t, KindNone, result.Kind())
	require.Zero(t, client.Open())
}

// Guards against more connections to an endpoint than its limit, and against
// waiting calls that are never woken.
func TestConnectionLimitHolds(t *testing.T) {
	const limit, callers, rounds = 3, 24, 30
	var most atomic.Int64
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, ordinal int) {
		answerAll(b, conn, reader, ordinal)
	})
	client := newTestClient(t, b.address(), WithConnectionLimit(limit))
	var wait sync.WaitGroup
	var failed atomic.Int64
	for i := range callers {
		wait.Go(func() {
			for k := range rounds {
				request := get(fmt.Sprintf("id-%d-%d", i, k))
				if k%3 == 0 {
					request = book(fmt.Sprintf("id-%d-%d", i, k))
				}
				result := client.Do(context.Background(), time.Now().Add(testDeadline), request)
				if result.Err() != nil {
					failed.Add(1)
				}
				if open := int64(client.Open()); open > most.Load() {
					most.Store(open)
				}
				result.Release()
			}
		})
	}
	wait.Wait()
	require.Zero(t, failed.Load())
	require.LessOrEqual(t, most.Load(), int64(limit))
	require.LessOrEqual(t, client.Open(), limit)
}

// Guards against a call that waits for a connection beyond its deadline, and
// against a lowered limit that has no effect on idle connections.
func TestWaitForConnectionEndsAtDeadline(t *testing.T) {
	release := make(chan struct{})
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		if r, _, ok := b.read(reader); ok {
			<-release
			answer(conn, r.Header.Get(headerRequestID), "ok")
			waitUntilClosed(reader)
		}
	})
	client := newTestClient(t, b.address(), WithConnectionLimit(2))
	results := make(chan *Result, 2)
	for _, id := range []string{"id-1", "id-2"} {
		go func() { results <- client.Do(context.Background(), time.Now().Add(testDeadline), get(id)) }()
	}
	require.Eventually(t, func() bool { _, requests, _ := b.counts(); return requests == 2 }, eventually, pollEvery)
	third := doWithin(t, client, book("id-3"), shortDeadline)
	require.ErrorIs(t, third.Err(), ErrConnectionLimit)
	require.True(t, third.NotRun())
	require.Equal(t, KindNone, third.Kind())
	close(release)
	for range 2 {
		result := <-results
		require.NoError(t, result.Err())
		result.Release()
	}
	require.Equal(t, 2, client.Open())
	client.SetConnectionLimit(1)
	require.Equal(t, 1, client.Open())
	client.CloseIdle(time.Now().Add(2 * defaultIdleTimeout))
	require.Zero(t, client.Open())
}

// shortageDialer fails for want of a descriptor.
type shortageDialer struct{}

func (shortageDialer) DialEndpoint(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
}

// A process without a free descriptor says nothing about the endpoint.
func TestOwnShortageIsNoEvidence(t *testing.T) {
	client := newTestClient(t, "127.0.0.1:1", WithDialer(shortageDialer{}))
	result := do(t, client, get("id-1"))
	require.ErrorIs(t, result.Err(), ErrConnectionLimit)
	require.Equal(t, KindNone, result.Kind())
	require.True(t, result.NotRun())
}

// Guards against requests on a path that was given up: a connection that is in use meanwhile,
// such as one through a relay that stops, is not used again.
func TestConnectionInUseIsNotReusedAfterPathIsGivenUp(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			r, _, ok := b.read(reader)
			if !ok {
				return
			}
			if r.Header.Get("X-Request-Id") == "held" {
				close(entered)
				<-release
			}
			answer(conn, r.Header.Get("X-Request-Id"), "body")
		}
	})
	client := newTestClient(t, b.address())
	done := make(chan *Result)
	go func() { done <- client.Do(context.Background(), time.Now().Add(2*time.Second), get("held")) }()
	<-entered
	client.CloseAllIdle()
	close(release)
	result := <-done
	require.NoError(t, result.Err())
	result.Release()
	result = do(t, client, get("next"))
	require.NoError(t, result.Err())
	_, reused := result.Connection()
	require.False(t, reused)
}
