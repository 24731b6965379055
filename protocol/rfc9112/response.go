package rfc9112

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
)

// headRequest tells http.ReadResponse that the response has no body.
var headRequest = &http.Request{Method: http.MethodHead}

// ReadResponse reads the head of a response to a request with the method. Its body reads from the
// same reader, up to the end of the message and not further. Errors of the reader are returned
// unchanged; all others wrap [ErrMalformed] or [io.ErrUnexpectedEOF].
func ReadResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	b := pool.Get().(*buffers)
	defer b.release()
	f, err := b.read(reader, checkStatusLine)
	if err != nil {
		return nil, err
	}
	var parsed *http.Request
	if method == http.MethodHead {
		parsed = headRequest
	}
	response, err := http.ReadResponse(b.parser(), parsed)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	bodiless := response.StatusCode < http.StatusOK || response.StatusCode == http.StatusNoContent
	switch {
	case bodiless && (f.encodings > 0 || f.length != "" && f.length != "0"):
		return nil, eris.Wrapf(ErrMalformed, "a body in a response with status %d", response.StatusCode)
	case bodiless || method == http.MethodHead || response.StatusCode == http.StatusNotModified:
		response.Body = http.NoBody
	default:
		response.Body = newBody(reader, f, response.ContentLength)
	}
	return response, nil
}

// checkStatusLine returns an error unless the line is a status line, and reports whether it is one
// of HTTP/1.0. Many servers omit the blank before an empty reason.
func checkStatusLine(line []byte) (http10 bool, err error) {
	rest, http10, valid := cutVersion(line)
	if valid {
		rest, valid = bytes.CutPrefix(rest, []byte{' '})
	}
	const digits = 3
	if !valid || len(rest) < digits || rest[0] < '1' || rest[0] > '5' || !isDigit(rest[1]) || !isDigit(rest[2]) {
		return false, eris.Wrapf(ErrMalformed, "status line %.40q", line)
	}
	if reason := rest[digits:]; len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return false, eris.Wrapf(ErrMalformed, "status line %.40q", line)
	}
	return http10, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
