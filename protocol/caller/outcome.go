package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/once"
)

// outcomePath is the path for querying the outcome of an earlier submission.
const outcomePath = "/carawayhold/outcome"

// outcomeTimeout bounds the lookup of an outcome.
const outcomeTimeout = 5 * time.Second

// serveOutcome answers GET /carawayhold/outcome?service=NAME with the recorded response,
// or with the outcome as JSON.
func (h *Handler) serveOutcome(w http.ResponseWriter, r *http.Request) {
	x := h.exchange(w, r)
	x.setRequestID()
	refused := x.findOutcome()
	if refused != nil {
		x.extendWriteDeadline()
		refused.write(w)
	}
}

func (x *exchange) findOutcome() *refusal {
	table := x.handler.table.Load()
	if table == nil {
		r := notRun(http.StatusServiceUnavailable, "no configuration yet").retry(defaultRetryAfter)
		return withUnknownOutcome(r)
	}
	s, ok := table.services[x.request.URL.Query().Get("service")]
	if !ok {
		return withUnknownOutcome(notRun(http.StatusNotFound, "the parameter service must name a service"))
	}
	key := x.request.Header.Get(headerIdempotencyKey)
	if key == "" {
		return withUnknownOutcome(notRun(http.StatusBadRequest, "the request needs the Idempotency-Key header of the submission"))
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), outcomeTimeout)
	defer cancel()
	verdict := x.handler.coordinator.Outcome(ctx, &Submission{
		service:       s.config,
		authorization: x.request.Header.Get("Authorization"),
		team:          x.request.Header.Get(headerTeam),
		key:           key,
	})
	if verdict.Outcome() == once.OutcomeAnswered {
		return x.replay(verdict.Response())
	}
	r := verdictRefusal(verdict, "")
	if verdict.Reason() == once.ReasonRecorded || verdict.Reason() == once.ReasonRunning {
		// The query itself succeeded.
		r.status = http.StatusOK
	}
	return r
}

func withUnknownOutcome(r *refusal) *refusal {
	r.outcome = OutcomeUnknown
	return r
}
