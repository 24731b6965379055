package rfc9112

import (
	"bufio"
	"bytes"
	"io"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	requestHead = regexp.MustCompile(`^` + token + ` [^\x00-\x20\x7f]+ HTTP/1\.[01]\r\n` + fieldLines + `\r\n`)
	anyHost     = regexp.MustCompile(`(?i)\r\nHost:`)
)

// A request without a length has no body, unlike a response.
func TestRequestWithoutLength(t *testing.T) {
	reader := bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET"))
	request, err := ReadRequest(reader)
	require.NoError(t, err)
	body, err := io.ReadAll(request.Body)
	require.NoError(t, err)
	require.Empty(t, body)
	require.Equal(t, len("GET"), reader.Buffered())
}

// FuzzRequest is FuzzResponse for requests. The reader ends where the request does, so that its
// body holds no other request.
func FuzzRequest(f *testing.F) {
	for _, line := range append(oddLines, "X: v") {
		f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" + line + "\r\n\r\nrest"))
	}
	for _, start := range []string{"GET  / HTTP/1.1", "GET /a b HTTP/1.1", "G\x00T / HTTP/1.1", "GET /\t HTTP/1.1", "PRI * HTTP/2.0", "GET / HTTP/1.1 ", "GET /", "GET /\xc3\xa4 HTTP/1.1", ""} {
		f.Add([]byte(start + "\r\nHost: h\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := bufio.NewReader(bytes.NewReader(raw))
		request, err := ReadRequest(reader)
		if err != nil {
			return
		}
		head := requestHead.Find(raw)
		require.NotNil(t, head, "%q violates the grammar", raw)
		requireUnambiguous(t, head)
		hosts := len(anyHost.FindAll(head, -1))
		require.LessOrEqual(t, hosts, 1)
		require.True(t, hosts == 1 || bytes.Contains(head, []byte(" HTTP/1.0\r\n")), "%q names no host", head)
		require.False(t, strings.ContainsAny(request.Host, " \t/@"), "%q", request.Host)
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		if anyEncoding.Match(head) {
			require.Contains(t, string(raw), "\r\n\r\n"+string(rest))
			return
		}
		require.Equal(t, string(raw), string(head)+string(body)+string(rest))
	})
}
