package endpoint

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	streamBufferBytes = 32 << 10
	// maxStreamBytes bounds the part of a response that is not buffered, because a
	// faulty endpoint may send without end.
	maxStreamBytes = 64 << 20
)

// stream is the rest of a response that is too large to be buffered.
type stream struct {
	client   *Client
	conn     *connection
	response *http.Response
	deadline time.Time
	stop     func() bool
	complete bool
}

func newStream(c *Client, conn *connection, response *http.Response, deadline time.Time) *stream {
	return &stream{client: c, conn: conn, response: response, deadline: deadline, stop: func() bool { return true }}
}

// copyTo copies the rest of the response to w. The kind is KindNone unless there is
// evidence against the endpoint.
func (s *stream) copyTo(w io.Writer, before func()) (Kind, error) {
	buffer := make([]byte, streamBufferBytes)
	for copied := 0; ; {
		if copied > maxStreamBytes {
			return KindInvalid, eris.Wrapf(ErrMalformed, "streamed more than %d bytes", maxStreamBytes)
		}
		_ = s.conn.net.SetReadDeadline(earlier(s.deadline, time.Now().Add(s.client.streamTimeout)))
		n, err := s.response.Body.Read(buffer)
		copied += n
		if n > 0 {
			before()
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return KindNone, eris.Wrap(ErrCancelled, "caller stopped reading")
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finish()
		}
		if err != nil {
			return streamKind(err), eris.Wrapf(ErrIncomplete, "%v", err)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *stream) finish() (Kind, error) {
	if err := checkNoTrailingLarge(s.conn); err != nil {
		return KindInvalid, err
	}
	s.complete = true
	return KindNone, nil
}

func streamKind(err error) Kind {
	if isTimeout(err) {
		return KindTimeout
	}
	return KindInvalid
}

// release returns the connection for reuse only if the response was read completely.
func (s *stream) release() {
	reusable := s.stop() && s.complete && !s.response.Close
	s.client.release(s.conn, reusable)
}
