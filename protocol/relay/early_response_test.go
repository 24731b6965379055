package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// earlyResponsePlays is the number of plays for each size; which call of the relay gets the
// error of a reset depends on the moment at which it arrives.
const earlyResponsePlays = 20

// Guards against a part of a response without a length that looks whole through a relay: the
// reset that ends it is reported to the relay's write of the request.
func TestResetDuringUploadThroughRelay(t *testing.T) {
	dialect := endpoint.NewDialect("X-Id", "X-Deadline", "X-Not-Run", endpoint.WithCloseDelimited(), endpoint.WithNonRepeatableReuse())
	rules := endpoint.NewRules("X-Id", 1<<20, false, 0).WithDialect(dialect)
	for _, size := range []int{100 << 10, 1 << 20, 8 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			_, relay := startRelay(t, targets{})
			body := bytes.Repeat([]byte{'u'}, size)
			whole := 0
			for range earlyResponsePlays {
				address, accepted := startEndpoint(t)
				go func() {
					conn := <-accepted
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n\r\n"+strings.Repeat("b", 400))
					_ = conn.SetLinger(0)
				}()
				client := endpoint.NewClient(address, endpoint.WithDialer(relayDialer(relay)), endpoint.WithSingleAttempt())
				deadline := time.Now().Add(waitTimeout)
				result := client.Do(context.Background(), deadline,
					endpoint.NewRequest(rules, http.MethodPost, "/", "h", "id-1", deadline, http.Header{}, body))
				require.True(t, result.Wrote())
				require.False(t, result.NotRun())
				if result.Err() == nil {
					whole++
				}
				result.Release()
				client.Close()
			}
			require.Zero(t, whole, "of %d partial responses look whole", earlyResponsePlays)
		})
	}
}

// scriptedConn reads the given bytes and then the end of the stream. A write waits for its
// result or until a write deadline is set, which then counts as passed.
type scriptedConn struct {
	net.Conn
	content io.Reader
	written chan error
	expired chan time.Time
}

func (c *scriptedConn) Read(b []byte) (int, error) { return c.content.Read(b) }

func (c *scriptedConn) Write(b []byte) (int, error) {
	select {
	case err := <-c.written:
		return len(b), err
	case <-c.expired:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *scriptedConn) SetWriteDeadline(t time.Time) error {
	if c.expired != nil {
		c.expired <- t
	}
	return nil
}

// The end of the stream of an endpoint is stated unless a write has failed, whatever the order in
// which the write and the read return.
func TestEndOfStreamBesideWrite(t *testing.T) {
	cases := map[string]struct {
		err      error
		finished bool // the write returns before the end of the stream is read
		hangs    bool // the write returns only at its deadline
		whole    bool
	}{
		"written before":         {finished: true, whole: true},
		"written later":          {whole: true},
		"failed before":          {err: syscall.ECONNRESET, finished: true},
		"failed later":           {err: syscall.ECONNRESET},
		"closed pipe":            {err: syscall.EPIPE},
		"endpoint stops reading": {hangs: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			scripted := &scriptedConn{content: strings.NewReader("body"), written: make(chan error)}
			if c.hangs {
				scripted.expired = make(chan time.Time)
			}
			endpoint := &target{Conn: scripted}
			ended := make(chan error, 1)
			write := func() {
				_, err := endpoint.Write([]byte("request"))
				ended <- err
			}
			go write()
			if c.finished {
				scripted.written <- c.err
				require.Equal(t, c.err, <-ended)
			} else {
				require.Eventually(t, func() bool { return isLocked(&endpoint.mu) }, waitTimeout, time.Millisecond)
			}
			var records bytes.Buffer
			received := make(chan error, 1)
			go func() { received <- copyRecords(&records, endpoint) }()
			if !c.finished && !c.hangs {
				time.Sleep(5 * time.Millisecond)
				require.Empty(t, received, "the end was stated before the write returned")
				scripted.written <- c.err
			}
			err := <-received
			const record = "\x00\x04body"
			if c.whole {
				require.NoError(t, err)
				require.Equal(t, record+"\x00\x00", records.String())
			} else {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				require.Equal(t, record, records.String())
			}
		})
	}
}

func isLocked(mu *sync.Mutex) bool {
	if mu.TryLock() {
		mu.Unlock()
		return false
	}
	return true
}
