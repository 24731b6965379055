package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// lateResponseTimeout is how long after the caller's deadline an attempt of a
// non-repeatable request continues, so that its outcome can be recorded.
const lateResponseTimeout = 20 * time.Second

func (x *exchange) submission() *Submission {
	return &Submission{
		service:       x.class.service.config,
		authorization: x.request.Header.Get("Authorization"),
		team:          x.request.Header.Get(headerTeam),
		key:           x.key,
		method:        x.request.Method,
		target:        x.target,
		body:          x.body,
		first:         x.firstSubmission(),
	}
}

// sendAtMostOnce has the request run at most once. The claim precedes admission,
// because only a claim proves that no earlier submission of the key has run, which a
// refusal with the outcome not-run requires. An attempt continues when the caller
// disconnects, so that its outcome is recorded.
func (x *exchange) sendAtMostOnce() *refusal {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.request.Context()), x.deadline)
	defer cancel()
	claim, verdict := x.handler.coordinator.Claim(ctx, x.submission())
	if claim == nil {
		return x.answerVerdict(verdict)
	}
	permit, retryAfter := x.class.service.dispatcher.Admit(x.request.Context(), x.class.name, x.deadline)
	if permit == nil {
		verdict = claim.NotSent(once.ReasonOverloaded)
		return x.refuse(verdictRefusal(verdict, "the service is overloaded").retry(retryAfter))
	}
	request := x.endpointRequest()
	for {
		if claim.BeginSend() != nil {
			permit.Done(nil)
			return x.refuse(verdictRefusal(claim.NotSent(once.ReasonDeadline), "").retry(permit.RetryAfter()))
		}
		result := x.attemptOnce(claim, permit, request)
		if result == nil {
			verdict = claim.Unknown()
			return x.refuse(verdictRefusal(verdict, "no response before the deadline").retry(permit.RetryAfter()))
		}
		if !result.NotRun() {
			return x.finishClaim(claim, result, permit.Endpoint())
		}
		result.Release()
		if claim.MarkNotSent() == nil && permit.Retry(x.request.Context(), true) {
			continue
		}
		verdict = claim.NotSent(once.ReasonNotSent)
		return x.refuse(verdictRefusal(verdict, "no endpoint took the request").retry(permit.RetryAfter()))
	}
}

// attemptOnce makes one attempt. If the deadline passes first, it returns nil, and a
// late result is still recorded.
func (x *exchange) attemptOnce(claim Claim, permit Permit, request *endpoint.Request) *endpoint.Result {
	results := make(chan *endpoint.Result, 1)
	lateDeadline := x.deadline.Add(lateResponseTimeout)
	x.handler.lateAttempts.Go(func() {
		result := permit.Client().Do(context.Background(), lateDeadline, request)
		x.recordAttempt(permit, result)
		results <- result
	})
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	}
	x.handler.lateAttempts.Go(func() {
		result := <-results
		defer result.Release()
		if !result.NotRun() && result.Err() == nil {
			claim.Answered(recordedResponse(result))
		}
	})
	return nil
}

// finishClaim ends the claim of a request that may have run and answers the caller.
func (x *exchange) finishClaim(claim Claim, result *endpoint.Result, endpointName string) *refusal {
	defer result.Release()
	if result.Err() != nil {
		refused := verdictRefusal(claim.Unknown(), "the endpoint gave no usable response").retry(defaultRetryAfter)
		if !result.TimedOut() {
			refused.status = http.StatusBadGateway
		}
		return x.refuse(refused)
	}
	if !result.Streamed() {
		claim.Answered(recordedResponse(result))
		_ = x.respond(result, endpointName)
		return nil
	}
	if err := x.respond(result, endpointName); err != nil {
		claim.Unknown()
		panic(http.ErrAbortHandler)
	}
	claim.Answered(recordedResponse(result))
	return nil
}

// recordedResponse returns what is recorded of a response for later submissions.
func recordedResponse(result *endpoint.Result) once.Response {
	if result.Streamed() {
		// Only a part of the body was buffered.
		return once.Response{Status: result.Status(), Incomplete: true}
	}
	return once.NewResponse(result.Status(), result.Header(), result.Body())
}

// answerVerdict answers a submission that was decided without sending the request.
func (x *exchange) answerVerdict(verdict once.Verdict) *refusal {
	if verdict.Outcome() == once.OutcomeAnswered {
		x.class.metrics.record(OutcomeAnswered, x.arrival)
		return x.replay(verdict.Response())
	}
	return x.refuse(verdictRefusal(verdict, ""))
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
	x.extendWriteDeadline()
	writeBody(x.writer, response.Status, response.Body)
	return nil
}

// verdictReplies maps reasons to response status and message, and states whether a
// retry may succeed.
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

// verdictRefusal converts a verdict other than answered to a refusal. An empty message
// selects the default message of the reason.
func verdictRefusal(verdict once.Verdict, message string) *refusal {
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
