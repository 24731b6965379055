package http1

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is a request of a caller with its complete body.
type Request struct {
	Method  string
	Target  string // as received: path and query
	Host    string
	Header  http.Header
	Body    []byte
	Arrival time.Time

	closeAfter bool  // the connection closes after the response
	reserved   int64 // memory for the body in bytes, released when the request ends
}

// Response is the response to a request.
type Response struct {
	Status int
	// Header holds the fields to send. Content-Length, Connection and
	// Transfer-Encoding are set by the server.
	Header http.Header
	Body   []byte
	// Length is the Content-Length, or -1 if it is unknown. It may exceed the
	// length of Body if the rest is streamed or the method is HEAD.
	Length int64
	// WriteRest writes the part of the body that is not in Body. After an error the
	// connection is aborted, so that the response does not look complete.
	WriteRest func(w io.Writer) error
	// Close makes it the last response of the connection.
	Close bool
	// Release is called after the response has been written or dropped.
	Release func()
}

// appendHead appends the status line and header fields.
func (r *Response) appendHead(b []byte, last, chunked bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(r.Status)...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	switch {
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case r.Length >= 0 && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, r.Length, 10)
		b = append(b, "\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// chunkedWriter writes a body with chunked transfer encoding.
type chunkedWriter struct{ w io.Writer }

func (c chunkedWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	head := strconv.AppendInt(nil, int64(len(p)), 16)
	head = append(head, "\r\n"...)
	frame := make([]byte, 0, len(head)+len(p)+2)
	frame = append(append(append(frame, head...), p...), "\r\n"...)
	if _, err := c.w.Write(frame); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c chunkedWriter) close() error {
	_, err := io.WriteString(c.w, "0\r\n\r\n")
	return err
}
