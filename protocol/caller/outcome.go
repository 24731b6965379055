package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/once"
)

// outcomePath is where callers ask for the outcome of an earlier submission.
const outcomePath = "/carawayhold/outcome"

// outcomeTimeout bounds the search for an outcome.
const outcomeTimeout = 5 * time.Second

// serveOutcome answers GET /carawayhold/outcome?service=… with the recorded
// response, or with the outcome as JSON.
func (h *Handler) serveOutcome(w http.ResponseWriter, r *http.Request) {
	x := h.exchange(w, r)
	x.identify()
	refused := x.findOutcome()
	if refused != nil {
		x.extendWrite()
		refused.write(w)
	}
}

func (x *exchange) findOutcome() *refusal {
	table := x.handler.table.Load()
	if table == nil {
		r := notRun(http.StatusServiceUnavailable, "no configuration yet").retry(defaultRetryAfter)
		return unknown(r)
	}
	s, ok := table.services[x.request.URL.Query().Get("service")]
	if !ok {
		return unknown(notRun(http.StatusNotFound, "the parameter service must name a service"))
	}
	key := x.request.Header.Get(headerIdempotencyKey)
	if key == "" {
		return unknown(notRun(http.StatusBadRequest, "the request needs the Idempotency-Key header of the submission"))
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
	r := refuseVerdict(verdict, "")
	if verdict.Reason() == once.ReasonRecorded || verdict.Reason() == once.ReasonRunning {
		// The query itself succeeded.
		r.status = http.StatusOK
	}
	return r
}

func unknown(r *refusal) *refusal {
	r.outcome = OutcomeUnknown
	return r
}
