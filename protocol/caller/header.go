package caller

import (
	"net/http"
	"strings"
)

// Header names of section 9 of the design page.
const (
	headerRequestID      = "X-Request-Id"
	headerTeam           = "X-Team"
	headerDeadline       = "X-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	// headerFirst is set to "true" by callers who declare that they have never
	// submitted the key before and that nothing in between resends requests.
	headerFirst      = "Carawayhold-First"
	headerOutcome    = "Carawayhold-Outcome"
	headerReplayed   = "Carawayhold-Replayed"
	headerEndpoint   = "Carawayhold-Endpoint"
	headerRetryAfter = "Retry-After"
)

// hopByHop lists the fields that apply to one connection only (RFC 9110,
// section 7.6.1), and the framing fields that each side writes itself.
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopByHop removes the fields that must not be passed on, including
// those that the Connection field names.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
