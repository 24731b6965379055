package once

import "net/textproto"

const (
	// MaxBodyBytes is the size in bytes of the largest body kept in a record.
	MaxBodyBytes = 4 << 10
	// maxHeaderBytes bounds the retained headers of a record, in bytes.
	maxHeaderBytes = 1 << 10
)

// retainedHeaders are the response headers that a replay needs in order to be
// understood. Cookies and connection headers are not replayed.
var retainedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag",
}

// Response is a backend's complete response as it is kept in a record.
type Response struct {
	Status  int               `json:"s" msgpack:"s"`
	Headers map[string]string `json:"h,omitempty" msgpack:"h,omitempty"`
	Body    []byte            `json:"b,omitempty" msgpack:"b,omitempty"`
	// Incomplete means that the body or a header was too large to be kept. Such a
	// response is not complete and must not be replayed as if it were.
	Incomplete bool `json:"o,omitempty" msgpack:"o,omitempty"`
}

// NewResponse returns the part of a response that is kept. A body over
// MaxBodyBytes or headers over 1 KiB are left out and Incomplete is set. Headers
// use the canonical form of net/http, and only their first value is kept.
func NewResponse(status int, headers map[string][]string, body []byte) Response {
	kept := Response{Status: status}
	size := 0
	for _, name := range retainedHeaders {
		values := headers[textproto.CanonicalMIMEHeaderKey(name)]
		if len(values) == 0 {
			continue
		}
		size += len(name) + len(values[0])
		if kept.Headers == nil {
			kept.Headers = make(map[string]string, len(retainedHeaders))
		}
		kept.Headers[name] = values[0]
	}
	if size > maxHeaderBytes || len(body) > MaxBodyBytes {
		return kept.withoutContent()
	}
	kept.Body = append([]byte(nil), body...)
	return kept
}

func (r Response) withoutContent() Response {
	return Response{Status: r.Status, Incomplete: true}
}
