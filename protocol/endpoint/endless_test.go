package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessResponses never end: start is sent once and rest is repeated until the client
// closes the connection.
var endlessResponses = map[string]struct{ start, rest string }{
	"status line":        {"HTTP/1.1 200 ", "O"},
	"no protocol":        {"", "garbage "},
	"field":              {"HTTP/1.1 200 OK\r\nX-Long: ", "y"},
	"fields":             {"HTTP/1.1 200 OK\r\n", "X-Echo: id-1\r\n"},
	"interim responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"chunk size":         {"HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":    {"HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"chunks":             {"HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"trailer":            {"HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: y\r\n"},
	"body to the close":  {"HTTP/1.1 200 OK\r\nX-Echo: id-1\r\n\r\n", "body"},
	"bytes after a body": {"HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nContent-Length: 2\r\n\r\nok", "more"},
}

const (
	// concurrentCalls is the number of endless responses at the same time.
	concurrentCalls = 200
	// maxHeapBytes is the largest heap during the calls: the smallest machine has
	// 184 MB, of which an idle proxy uses about 30 MB.
	maxHeapBytes = 120 << 20
	budgetBytes  = 12 << 20
	callTimeout  = 2 * time.Second
)

// Guards against an endless response that uses unbounded time or memory, keeps its
// connection, or looks complete.
func TestEndlessResponses(t *testing.T) {
	for name, c := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
				if _, _, ok := b.read(reader); !ok {
					return
				}
				block := strings.Repeat(c.rest, 4<<10/len(c.rest)+1)
				_, err := io.WriteString(conn, c.start+block)
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			})
			client := newTestClient(t, b.address(), WithConnectionLimit(concurrentCalls),
				WithMemoryBudget(NewMemoryBudget(budgetBytes)))
			runtime.GC()
			stop := make(chan struct{})
			peak := make(chan uint64)
			go func() { peak <- peakHeap(stop) }()
			var group sync.WaitGroup
			deadline := time.Now().Add(callTimeout)
			for range concurrentCalls {
				group.Go(func() { requireIncomplete(t, client, deadline) })
			}
			group.Wait()
			close(stop)
			require.Less(t, <-peak, uint64(maxHeapBytes))
			require.Less(t, time.Since(deadline), callTimeout)
			require.Zero(t, client.Open())
			require.Equal(t, int64(budgetBytes), client.memory.free.Load())
		})
	}
}

// requireIncomplete makes one call and checks that its response does not look complete.
func requireIncomplete(t *testing.T, client *Client, deadline time.Time) {
	t.Helper()
	rules := NewRules("X-Echo", 1<<20, true, 0).WithDialect(NewDialect("X-Request-Id", "X-Deadline-Ms", "X-Not-Run", WithCloseDelimited()))
	r := NewRequest(rules, http.MethodGet, "/", "svc", "id-1", deadline, http.Header{}, nil)
	result := client.Do(t.Context(), deadline, r)
	defer result.Release()
	if result.Err() == nil && result.Streamed() {
		if err := result.CopyRest(io.Discard, func() {}); err == nil {
			t.Error("the response looks complete")
		}
		return
	}
	if result.Err() == nil {
		t.Errorf("status %d looks complete", result.Status())
	}
}

// peakHeap samples the heap in use until stop is closed and returns the maximum.
func peakHeap(stop <-chan struct{}) uint64 {
	var most uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapInuse)
		select {
		case <-stop:
			return most
		case <-time.After(20 * time.Millisecond):
		}
	}
}
