package gateway

import (
	"net/http"
	"strings"
)

// connectionFields concern one connection only.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// removeConnectionFields removes the fields that are not forwarded, those named
// by Connection included.
func removeConnectionFields(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionFields {
		delete(h, name)
	}
}
