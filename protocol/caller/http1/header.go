package http1

import (
	"net/http"
	"strings"
)

// connectionFields are hop-by-hop fields (RFC 9110, section 7.6.1) and framing fields,
// which each side writes itself.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// RemoveConnectionFields removes the fields that must not be forwarded, including those
// named by Connection.
func RemoveConnectionFields(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionFields {
		delete(h, name)
	}
}
