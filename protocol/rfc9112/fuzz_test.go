package rfc9112

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// The grammar of RFC 9112, sections 2 to 5, written from its text: tokens, and text without control
// bytes except the tab.
const (
	token      = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
	text       = `[^\x00-\x08\x0a-\x1f\x7f]*`
	fieldLines = "(?:" + token + ":" + text + `\r\n)*`
)

var (
	responseHead = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9](?: ` + text + `)?\r\n` + fieldLines + `\r\n`)
	lengthLine   = regexp.MustCompile(`(?i)\r\nContent-Length:[ \t]*([0-9]+)[ \t]*\r`)
	anyLength    = regexp.MustCompile(`(?i)\r\nContent-Length:`)
	anyEncoding  = regexp.MustCompile(`(?i)\r\nTransfer-Encoding:`)
)

// requireUnambiguous requires that the head, as the grammar reads it, has at most one field that
// determines where the message ends.
func requireUnambiguous(t *testing.T, head []byte) {
	t.Helper()
	lengths := len(anyLength.FindAll(head, -1))
	require.LessOrEqual(t, lengths+len(anyEncoding.FindAll(head, -1)), 1, "%q", head)
	require.Len(t, lengthLine.FindAll(head, -1), lengths, "%q", head)
}

// oddLines are seeds: one line for each form that a lenient parser accepts.
var oddLines = []string{
	"X-Odd : v", "X Odd: v", " X-Odd: v", "\tX: v", ": v", "X-Odd", " ", "X-\x00: v", "X-\r: v", "\nX: v", "X: v\nY: w", "X: a\x00", "X: a\rb", "X: v\r\n w",
	"Content-Length : 1", "Content-Length: 1\r\nContent-Length: 1", "Content-Length: 1, 1", "Content-Length: +1", "Content-Length:", "Transfer-Encoding : chunked",
	"Transfer-Encoding: chunked\r\nContent-Length: 1", "Transfer-Encoding: gzip", "Host: a b", "Host: a\r\nHost: b",
}

// FuzzResponse requires that what is taken for a response follows the grammar, and that its body
// is the one that the parser of net/http finds.
func FuzzResponse(f *testing.F) {
	for _, line := range append(oddLines, "X: v") {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nb"))
		f.Add([]byte("HTTP/1.0 204 No Content\r\nContent-Length: 0\r\n" + line + "\r\n\r\n"))
		f.Add([]byte("HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" + line + "\r\n\r\nrest"))
	}
	for _, start := range []string{"HTTP/1.1 000 X", "HTTP/1.1 999 X", "HTTP/1.1 +20 X", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200OK", "ICY 200 OK", ""} {
		f.Add([]byte(start + "\r\nContent-Length: 1\r\n\r\nb"))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		response, err := ReadResponse(bufio.NewReader(bytes.NewReader(raw)), http.MethodGet)
		if err != nil {
			return
		}
		head := responseHead.Find(raw)
		require.NotNil(t, head, "%q violates the grammar", raw)
		requireUnambiguous(t, head)
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		lenient, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		require.NoError(t, err)
		require.Equal(t, lenient.StatusCode, response.StatusCode)
		require.Equal(t, lenient.Header, response.Header)
		expected, err := io.ReadAll(lenient.Body)
		require.NoError(t, err)
		require.Equal(t, string(expected), string(body))
	})
}
