package caller

import (
	"net/http"

	"github.com/carawayhold/carawayhold/protocol/caller/http1"
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

// removeHopByHop removes the fields that must not be passed on. Expect is among them,
// because the body is read before the request is sent.
func removeHopByHop(h http.Header) {
	http1.RemoveConnectionFields(h)
	delete(h, "Expect")
}
