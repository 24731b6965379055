package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// lateWait is how long after the caller's deadline the response to work that
// must not repeat is still awaited, so that its outcome can be recorded.
const lateWait = 20 * time.Second

func (x *exchange) submission() *Submission {
	return &Submission{
		service:       x.class.service.config,
		authorization: x.request.Header.Get("Authorization"),
		team:          x.request.Header.Get(headerTeam),
		key:           x.key,
		method:        x.request.Method,
		target:        x.target,
		body:          x.body,
		first:         x.first(),
	}
}

// sendOnce has the request run at most once. The claim comes before admission:
// only a claim shows that no earlier submission of the key has run, without
// which a refusal could not state not-run. The caller may leave at any time;
// work that may have run is followed to its end.
func (x *exchange) sendOnce() *refusal {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.request.Context()), x.deadline)
	defer cancel()
	claim, verdict := x.handler.coordinator.Claim(ctx, x.submission())
	if claim == nil {
		return x.conclude(verdict)
	}
	permit, retryAfter := x.class.service.dispatcher.Admit(x.request.Context(), x.class.name, x.deadline)
	if permit == nil {
		verdict = claim.NotSent(once.ReasonOverloaded)
		return x.refuse(refuseVerdict(verdict, "the service is overloaded").retry(retryAfter))
	}
	request := x.outbound()
	for {
		if claim.BeginSend() != nil {
			permit.Done(nil)
			return x.refuse(refuseVerdict(claim.NotSent(once.ReasonDeadline), "").retry(permit.RetryAfter()))
		}
		result := x.runOnce(claim, permit, request)
		if result == nil {
			verdict = claim.Unknown()
			return x.refuse(refuseVerdict(verdict, "no response before the deadline").retry(permit.RetryAfter()))
		}
		if !result.NotRun() {
			return x.settle(claim, result, permit.Endpoint())
		}
		result.Release()
		if claim.MarkNotSent() == nil && permit.Retry(x.request.Context(), true) {
			continue
		}
		verdict = claim.NotSent(once.ReasonNotSent)
		return x.refuse(refuseVerdict(verdict, "no endpoint took the request").retry(permit.RetryAfter()))
	}
}

// runOnce makes one attempt. It returns nil when the deadline passes first; a
// late result is then still recorded.
func (x *exchange) runOnce(claim Claim, permit Permit, request *endpoint.Request) *endpoint.Result {
	results := make(chan *endpoint.Result, 1)
	giveUp := x.deadline.Add(lateWait)
	x.handler.late.Go(func() {
		result := permit.Client().Do(context.Background(), giveUp, request)
		x.finish(permit, result)
		results <- result
	})
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	}
	x.handler.late.Go(func() {
		result := <-results
		defer result.Release()
		if !result.NotRun() && result.Err() == nil {
			claim.Answered(recorded(result))
		}
	})
	return nil
}

// settle ends a claim whose request may have run, and answers the caller.
func (x *exchange) settle(claim Claim, result *endpoint.Result, name string) *refusal {
	defer result.Release()
	if result.Err() != nil {
		refused := refuseVerdict(claim.Unknown(), "the endpoint gave no usable response").retry(defaultRetryAfter)
		if !result.TimedOut() {
			refused.status = http.StatusBadGateway
		}
		return x.refuse(refused)
	}
	if !result.Streamed() {
		claim.Answered(recorded(result))
		_ = x.respond(result, name)
		return nil
	}
	if err := x.respond(result, name); err != nil {
		claim.Unknown()
		panic(http.ErrAbortHandler)
	}
	claim.Answered(recorded(result))
	return nil
}

// recorded returns the part of a response that is kept for later submissions.
func recorded(result *endpoint.Result) once.Response {
	if result.Streamed() {
		// Only a part of the body was held.
		return once.Response{Status: result.Status(), Incomplete: true}
	}
	return once.NewResponse(result.Status(), result.Header(), result.Body())
}

// conclude answers a submission that was decided without sending.
func (x *exchange) conclude(verdict once.Verdict) *refusal {
	if verdict.Outcome() == once.OutcomeAnswered {
		x.class.counts.count(OutcomeAnswered, x.arrival)
		return x.replay(verdict.Response())
	}
	return x.refuse(refuseVerdict(verdict, ""))
}

// replay sends a recorded response.
func (x *exchange) replay(response *once.Response) *refusal {
	h := x.writer.Header()
	h.Set(headerReplayed, "true")
	if response == nil || response.Incomplete {
		return &refusal{
			status:  http.StatusConflict,
			message: "the request was answered, and the response is too large to be repeated",
			outcome: OutcomeAnswered,
		}
	}
	for name, value := range response.Headers {
		h.Set(name, value)
	}
	h.Set(headerOutcome, string(OutcomeAnswered))
	x.extendWrite()
	writeBody(x.writer, response.Status, response.Body)
	return nil
}

// verdictReplies holds the status and message for each reason, and whether a
// repetition may succeed.
var verdictReplies = map[once.Reason]struct {
	status  int
	message string
	retry   bool
}{
	once.ReasonNoKey:               {http.StatusBadRequest, "the request needs an Idempotency-Key header", false},
	once.ReasonBadKey:              {http.StatusBadRequest, "the Idempotency-Key must be a UUIDv7 of about now", false},
	once.ReasonTooOld:              {http.StatusConflict, "the Idempotency-Key is older than the retention", false},
	once.ReasonMismatch:            {http.StatusUnprocessableEntity, "the Idempotency-Key was used for another request", false},
	once.ReasonRecorded:            {http.StatusConflict, "the outcome of an earlier submission is recorded", true},
	once.ReasonRunning:             {http.StatusConflict, "an earlier submission is still running", true},
	once.ReasonClaimantUnreachable: {http.StatusServiceUnavailable, "the proxy of an earlier submission cannot be asked", true},
	once.ReasonUnavailable:         {http.StatusServiceUnavailable, "the record of the key cannot be reached", true},
	once.ReasonOverloaded:          {http.StatusServiceUnavailable, "too many requests wait for the record", true},
	once.ReasonFull:                {http.StatusServiceUnavailable, "there is no room for the record of the key", true},
	once.ReasonDeadline:            {http.StatusGatewayTimeout, "the deadline passed", true},
	once.ReasonNotSent:             {http.StatusServiceUnavailable, "no endpoint took the request", true},
	once.ReasonAbsent:              {http.StatusNotFound, "there is no record of the key", true},
}

// refuseVerdict turns a verdict other than answered into a refusal. An empty
// message stands for the one of the verdict's reason.
func refuseVerdict(verdict once.Verdict, message string) *refusal {
	reply, ok := verdictReplies[verdict.Reason()]
	if !ok {
		reply.status, reply.message = http.StatusInternalServerError, "the submission was refused"
	}
	if message != "" {
		reply.message = message
	}
	r := &refusal{status: reply.status, message: reply.message, outcome: Outcome(verdict.Outcome())}
	if reply.retry {
		r.retryAfter = defaultRetryAfter
	}
	return r
}
