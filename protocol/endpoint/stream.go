package endpoint

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const streamBufferBytes = 32 << 10

// stream is the rest of a response that is too large to be held.
type stream struct {
	client   *Client
	conn     *connection
	response *http.Response
	stop     func() bool
	complete bool
}

func newStream(c *Client, conn *connection, response *http.Response) *stream {
	return &stream{client: c, conn: conn, response: response, stop: func() bool { return true }}
}

// copyTo copies the rest of the response to w. The kind is KindNone unless the
// copying gave evidence against the endpoint.
func (s *stream) copyTo(w io.Writer, before func()) (Kind, error) {
	buffer := make([]byte, streamBufferBytes)
	for {
		_ = s.conn.net.SetReadDeadline(time.Now().Add(s.client.streamTimeout))
		n, err := s.response.Body.Read(buffer)
		if n > 0 {
			before()
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return KindNone, eris.Wrap(ErrCancelled, "caller stopped reading")
			}
		}
		if errors.Is(err, io.EOF) {
			return s.end()
		}
		if err != nil {
			return streamKind(err), eris.Wrapf(ErrIncomplete, "%v", err)
		}
	}
}

func (s *stream) end() (Kind, error) {
	if err := checkLargeEnd(s.conn); err != nil {
		return KindWrong, err
	}
	s.complete = true
	return KindNone, nil
}

func streamKind(err error) Kind {
	if isTimeout(err) {
		return KindTimeout
	}
	return KindWrong
}

// release keeps the connection only if the response was read to its end.
func (s *stream) release() {
	reusable := s.stop() && s.complete && !s.response.Close
	s.client.release(s.conn, reusable)
}
