package rfc9112

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A body ends where the message does, and what follows stays in the reader.
func TestBodies(t *testing.T) {
	cases := map[string]struct {
		method, raw, body, rest string
		err                     error
	}{
		"length":              {raw: "200 OK\r\nContent-Length: 4\r\n\r\nbodyrest", body: "body", rest: "rest"},
		"length, truncated":   {raw: "200 OK\r\nContent-Length: 5\r\n\r\nbody", body: "body", err: io.ErrUnexpectedEOF},
		"chunks":              {raw: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1;x\r\ny\r\n0\r\n\r\nrest", body: "body", rest: "rest"},
		"trailer section":     {raw: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\nC: d\r\n\r\nrest", body: "body", rest: "rest"},
		"invalid trailer":     {raw: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA : b\r\n\r\n", body: "body", err: ErrMalformed},
		"large trailer":       {raw: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + strings.Repeat("A: b\r\n", maxTrailerBytes/6+1) + "\r\n", body: "body", err: ErrMalformed},
		"no last chunk":       {raw: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", body: "body", err: io.ErrUnexpectedEOF},
		"no end of a trailer": {raw: "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", body: "body", err: io.ErrUnexpectedEOF},
		"to the close":        {raw: "200 OK\r\n\r\nbody", body: "body"},
		"HEAD":                {method: http.MethodHead, raw: "200 OK\r\nContent-Length: 4\r\n\r\nrest", rest: "rest"},
		"no content":          {raw: "204 No Content\r\nContent-Length: 0\r\n\r\nrest", rest: "rest"},
		"not modified":        {raw: "304 Not Modified\r\nContent-Length: 4\r\n\r\nrest", rest: "rest"},
		"interim":             {raw: "103 Early Hints\r\n\r\nrest", rest: "rest"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			method := c.method
			if method == "" {
				method = http.MethodGet
			}
			reader := bufio.NewReaderSize(strings.NewReader("HTTP/1.1 "+c.raw), 16)
			response, err := ReadResponse(reader, method)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.body, string(body))
			if c.err == nil {
				rest, _ := io.ReadAll(reader)
				require.Equal(t, c.rest, string(rest))
			}
		})
	}
}

// errorReader returns an error after the bytes.
type errorReader struct {
	io.Reader
	err error
}

func (r errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = r.err
	}
	return n, err
}

// Callers tell a timeout and their own limits from what the peer sent.
func TestErrorsOfReaderAreUnchanged(t *testing.T) {
	for _, raw := range []string{"", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b"} {
		for _, failure := range []error{os.ErrDeadlineExceeded, io.ErrShortBuffer} {
			_, err := ReadResponse(bufio.NewReader(errorReader{strings.NewReader(raw), failure}), http.MethodGet)
			require.Equal(t, failure, err)
		}
		_, err := ReadResponse(bufio.NewReader(strings.NewReader(raw)), http.MethodGet)
		if raw == "" || strings.HasSuffix(raw, "\r\n") {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		} else {
			require.ErrorIs(t, err, ErrMalformed)
		}
	}
}

const head = "HTTP/1.1 200 OK\r\nServer: x\r\nDate: Mon, 07 Dec 2026 05:00:00 GMT\r\nX-Id: 9c41d07be2a35f68\r\nContent-Length: 4\r\n\r\nbody"

func BenchmarkReadResponse(b *testing.B) {
	for name, read := range map[string]func(*bufio.Reader) error{
		"grammar":  func(r *bufio.Reader) error { _, err := ReadResponse(r, http.MethodGet); return err },
		"net/http": func(r *bufio.Reader) error { _, err := http.ReadResponse(r, nil); return err },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			source := strings.NewReader("")
			reader := bufio.NewReader(source)
			for b.Loop() {
				source.Reset(head)
				reader.Reset(source)
				if err := read(reader); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
