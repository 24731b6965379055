package http1

import (
	"net/http"

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
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
	for name := range rfc9112.ConnectionFields(h) {
		delete(h, name)
	}
	for _, name := range connectionFields {
		delete(h, name)
	}
}
