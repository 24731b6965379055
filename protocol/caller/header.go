package caller

import (
	"net/http"

	"github.com/carawayhold/carawayhold/protocol/caller/http1"
)

// Header fields between callers, the proxy and endpoints.
const (
	headerRequestID      = "X-Request-Id"
	headerTeam           = "X-Team"
	headerDeadline       = "X-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	// headerFirstSubmission is set to "true" by callers that have not submitted the key before
	// and know that no intermediary resends requests.
	headerFirstSubmission = "Carawayhold-First"
	headerOutcome         = "Carawayhold-Outcome"
	headerReplayed        = "Carawayhold-Replayed"
	headerEndpoint        = "Carawayhold-Endpoint"
	headerRetryAfter      = "Retry-After"
)

// removeHopByHop removes the fields that must not be forwarded. This includes Expect,
// because the body is read before the request is sent.
func removeHopByHop(h http.Header) {
	http1.RemoveConnectionFields(h)
	delete(h, "Expect")
}
