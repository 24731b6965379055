package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// copyMoment is the moment at which a second copy of the first response is sent.
type copyMoment string

const (
	copyAtOnce      copyMoment = "at once"
	copyWhileIdle   copyMoment = "while idle"
	copyBeforeBody  copyMoment = "after the head of the next request"
	copyBefore      copyMoment = "before the next response"
	copyInside      copyMoment = "after the first byte of the next response"
	copyAfter       copyMoment = "after the next response"
	copiedRequestID            = "id-1"
	// partPause is the time between parts of what the backend sends.
	partPause = 2 * time.Millisecond
)

// copyingBackend answers the first request with a response, of which it sends a second copy,
// and runs all others.
type copyingBackend struct {
	first, second string
	moment        copyMoment

	mu   sync.Mutex
	runs map[string]int
}

func (c *copyingBackend) serve(_ *backend, conn net.Conn, reader *bufio.Reader, ordinal int) {
	pending := ""
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if c.moment == copyBeforeBody {
			_, _ = io.WriteString(conn, pending)
			pending = ""
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if ordinal == 1 && number == 1 {
			_, _ = io.WriteString(conn, c.first)
			switch c.moment {
			case copyAtOnce:
				_, _ = io.WriteString(conn, c.second)
			case copyWhileIdle:
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(conn, c.second)
			default:
				pending = c.second
			}
			continue
		}
		id := r.Header.Get(headerRequestID)
		c.mu.Lock()
		c.runs[id]++
		c.mu.Unlock()
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Echo: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		parts := []string{response}
		switch c.moment {
		case copyBefore:
			parts = []string{pending, response}
		case copyInside:
			parts = []string{response[:1], pending, response[1:]}
		case copyAfter:
			parts = []string{response, pending}
		}
		pending = ""
		for _, part := range parts {
			_, _ = io.WriteString(conn, part)
			time.Sleep(partPause)
		}
	}
}

// Guards against a second copy of a response that is taken for the response to another
// request or to another attempt of the same one, whatever the response and the moment.
func TestSecondCopyOfResponse(t *testing.T) {
	const echo = "X-Echo: " + copiedRequestID + "\r\n"
	responses := map[string]string{
		"misdirected":             "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Content-Length: 0\r\n\r\n",
		"misdirected, anonymous":  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"refusal":                 "HTTP/1.1 503 Busy\r\n" + echo + "X-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"refusal, anonymous":      "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
		"client error":            "HTTP/1.1 429 Too Many Requests\r\n" + echo + "Content-Length: 0\r\n\r\n",
		"client error, anonymous": "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
		"server error":            "HTTP/1.1 500 Oops\r\n" + echo + "Content-Length: 2\r\n\r\nno",
		"success":                 "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 2\r\n\r\nok",
		"interim":                 "HTTP/1.1 103 Early Hints\r\n" + echo + "\r\n",
	}
	for name, response := range responses {
		for _, moment := range []copyMoment{copyAtOnce, copyWhileIdle, copyBeforeBody, copyBefore, copyInside, copyAfter} {
			for _, next := range []string{copiedRequestID, "id-2"} {
				t.Run(fmt.Sprintf("%s/%s/%s", name, moment, next), func(t *testing.T) {
					t.Parallel()
					first := response
					if name == "interim" {
						first += responses["refusal"]
					}
					c := &copyingBackend{first: first, second: response, moment: moment, runs: map[string]int{}}
					b := startBackend(t, c.serve)
					client := newTestClient(t, b.address(), WithSingleAttempt())
					request := bookReusing(copiedRequestID)
					do(t, client, request)
					if moment == copyWhileIdle {
						time.Sleep(10 * time.Millisecond)
					}
					if next != copiedRequestID {
						request = bookReusing(next)
					}
					for _, r := range []*Request{request, bookReusing("id-3"), bookReusing("id-4")} {
						result := do(t, client, r)
						c.mu.Lock()
						runs := c.runs[r.id]
						c.mu.Unlock()
						require.LessOrEqual(t, runs, 1)
						if result.NotRun() {
							require.Zero(t, runs, "%s was run", r.id)
						}
						if result.Err() == nil {
							require.Equal(t, http.StatusOK, result.Status(), r.id)
							require.Equal(t, r.id, string(result.Body()))
						}
					}
				})
			}
		}
	}
}

// unsolicitedKinds collects what an observer is told.
type unsolicitedKinds struct {
	mu   sync.Mutex
	list []Unsolicited
}

func (u *unsolicitedKinds) ObserveUnsolicited(_ string, kind Unsolicited) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list = append(u.list, kind)
}

// The client tells of bytes that belong to no request, and of an endpoint that answers a
// request after it has stated that it did not run it.
func TestUnsolicitedBytesAreObserved(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nX-Echo: id-1\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	late := "HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		late   string
		moment copyMoment
		kind   Unsolicited
	}{
		"another request":   {late: late, moment: copyBefore, kind: UnsolicitedOther},
		"no identifier":     {late: strings.Replace(strings.Replace(late, "X-Echo: id-1\r\n", "", 1), "200 OK", "500 Oops", 1), moment: copyBefore, kind: UnsolicitedAnonymous},
		"copy of a refusal": {late: refusal, moment: copyWhileIdle, kind: UnsolicitedIdle},
		"after the refusal": {late: late, moment: copyWhileIdle, kind: UnsolicitedAfterRefusal},
		"no response":       {late: "garbage", moment: copyWhileIdle, kind: UnsolicitedIdle},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend := &copyingBackend{first: refusal, second: c.late, moment: c.moment, runs: map[string]int{}}
			b := startBackend(t, backend.serve)
			observed := &unsolicitedKinds{}
			client := newTestClient(t, b.address(), WithSingleAttempt(), WithObserver(observed))
			do(t, client, bookReusing("id-1"))
			if c.moment == copyWhileIdle {
				awaitReadable(t, client.idle[0])
			}
			do(t, client, bookReusing("id-2"))
			require.Equal(t, []Unsolicited{c.kind}, observed.list)
		})
	}
}

// An error that a server makes without the application, and so without the identifier, is
// still the response to a repeatable request: it is sent again on a new connection.
func TestAnonymousErrorOnReusedConnection(t *testing.T) {
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			r, _, ok := b.read(reader)
			if !ok {
				return
			}
			if id := r.Header.Get(headerRequestID); id != "id-2" {
				answer(conn, id, id)
				continue
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newTestClient(t, b.address())
	require.Equal(t, http.StatusOK, do(t, client, get("id-1")).Status())
	result := do(t, client, get("id-2"))
	require.NoError(t, result.Err())
	require.Equal(t, http.StatusRequestEntityTooLarge, result.Status())
	require.Equal(t, KindOK, result.Kind())
}
