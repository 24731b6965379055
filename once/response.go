package once

import "net/textproto"

const (
	// MaxBodyBytes is the maximum size in bytes of a response body in a record.
	MaxBodyBytes = 4 << 10
	// maxHeaderBytes is the maximum total size in bytes of the retained headers
	// of a response.
	maxHeaderBytes = 1 << 10
)

// retainedHeaders are the response headers that a client needs to interpret a
// replayed response. Cookies and connection headers are not replayed.
var retainedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag",
}

// Response is a backend's response as stored in a record for replay.
type Response struct {
	Status  int               `json:"s" msgpack:"s"`
	Headers map[string]string `json:"h,omitempty" msgpack:"h,omitempty"`
	Body    []byte            `json:"b,omitempty" msgpack:"b,omitempty"`
	// Incomplete means that the body or the headers were too large, so that only
	// the status is stored. The response must not be replayed as a complete one.
	Incomplete bool `json:"o,omitempty" msgpack:"o,omitempty"`
}

// NewResponse returns the part of a response that is stored. If the body
// exceeds MaxBodyBytes or the retained headers exceed 1 KiB, only the status is
// kept and Incomplete is set. The keys of headers must be in canonical form, as
// in net/http; only the first value of each is kept.
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
