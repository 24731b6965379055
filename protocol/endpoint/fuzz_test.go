package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedEndpoint answers the first request of each connection with bytes and closes.
type scriptedEndpoint struct{ response []byte }

// DialEndpoint implements Dialer.
func (s scriptedEndpoint) DialEndpoint(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = far.Write(s.response)
		}
	}()
	return near, nil
}

// wholeResponse returns the body of the first final response in the bytes, or false if it is not whole.
func wholeResponse(raw []byte) ([]byte, bool) {
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return nil, false
		}
		if response.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(response.Body)
			return body, err == nil
		}
	}
}

// validHeads is the grammar of RFC 9112, sections 2 to 5, for the head of a final response after
// any number of interim ones, written from its text.
var validHeads = func() *regexp.Regexp {
	const text = `[^\x00-\x08\x0a-\x1f\x7f]*`
	head := func(status string) string {
		return `HTTP/1\.[01] ` + status + `(?: ` + text + ")?\r\n(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + text + `\r\n)*\r\n`
	}
	return regexp.MustCompile(`^(?:` + head("1[0-9][0-9]") + `)*` + head("[2-5][0-9][0-9]"))
}()

// FuzzResponses sends arbitrary bytes instead of a response. What is taken for one follows the grammar,
// what is taken for a success is whole and echoes the request, and what is taken for "not run" says so.
func FuzzResponses(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Echo: id-1\r\nX-Stamp: s\r\n"
	for _, seed := range []string{
		head + "Content-Length: 4\r\n\r\nbody", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", head + "\r\nbody",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\nbody", "HTTP/1.1 503 Busy\r\nX-Echo: id-1\r\nX-Not-Run: true\r\nRetry-After: 1\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", head + "Content-Length: -1\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nX-Echo: id-2\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "garbage",
	} {
		f.Add([]byte(seed))
	}
	for _, field := range invalidFields {
		f.Add([]byte(head + field + "\r\n" + bodies["length"]))
		f.Add([]byte("HTTP/1.1 503 Busy\r\nX-Echo: id-1\r\nX-Not-Run: true\r\n" + field + "\r\n\r\n"))
	}
	f.Add([]byte("HTTP/1.1 000 X\r\n\r\n" + head + bodies["length"]))
	dialect := NewDialect(headerRequestID, headerDeadline, headerNotRun, WithCloseDelimited(), WithRequiredField("X-Stamp"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := NewClient("10.0.0.1:80", WithSingleAttempt(), WithDialer(scriptedEndpoint{raw}))
		defer c.Close()
		request := get("id-1")
		request.rules = request.rules.WithDialect(dialect)
		result := c.Do(context.Background(), time.Now().Add(testDeadline), request)
		defer result.Release()
		require.False(t, result.TimedOut())
		if result.Err() == nil {
			require.Regexp(t, validHeads, string(raw))
		}
		if result.NotRun() {
			require.Contains(t, string(raw), "HTTP/1.")
			require.GreaterOrEqual(t, result.Status(), http.StatusBadRequest)
		}
		if result.Kind() != KindOK || result.Err() != nil || result.Status() >= http.StatusMultipleChoices {
			return
		}
		require.Contains(t, string(raw), "id-1")
		body := bytes.NewBuffer(bytes.Clone(result.Body()))
		if result.Streamed() && result.CopyRest(body, func() {}) != nil {
			return
		}
		expected, whole := wholeResponse(raw)
		require.True(t, whole, "an incomplete response looks whole")
		require.Equal(t, string(expected), body.String())
	})
}
