package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells the caller whether the request was run.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// refusal is an error response of the proxy itself.
type refusal struct {
	status     int
	message    string
	outcome    Outcome
	retryAfter time.Duration // zero if a retry cannot succeed
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error   string  `json:"error"`
	Outcome Outcome `json:"outcome"`
}

// notRun returns a refusal of a request that was not sent.
func notRun(status int, message string) *refusal {
	return &refusal{status: status, message: message, outcome: OutcomeNotRun}
}

// retry sets the time after which the request may be sent again.
func (r *refusal) retry(after time.Duration) *refusal {
	r.retryAfter = max(after, defaultRetryAfter)
	return r
}

func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(r.outcome))
	if r.retryAfter > 0 {
		// Rounded up, because a caller that retries earlier would be refused again.
		seconds := (r.retryAfter + time.Second - 1) / time.Second
		h.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	body, _ := json.Marshal(refusalBody{Error: r.message, Outcome: r.outcome})
	writeBody(w, r.status, body)
}

// writeBody sends a complete response of known length.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
