package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// maxRetries bounds the retries of a request that are charged to the retry budget.
const maxRetries = 2

// sendRepeatable makes attempts until one has an acceptable result or no further retry
// is allowed.
func (x *exchange) sendRepeatable() *refusal {
	ctx := x.request.Context()
	permit, retryAfter := x.class.service.dispatcher.Admit(ctx, x.class.name, x.deadline)
	if permit == nil {
		return x.refuse(overloaded(retryAfter))
	}
	request := x.endpointRequest()
	wrote := false
	for retries := 0; ; {
		result, endpointName := x.tryEndpoint(ctx, permit, request)
		wrote = wrote || !result.NotRun()
		if acceptable(result) {
			return x.forward(request, result, endpointName)
		}
		if !result.NotRun() {
			retries++
		}
		if retries <= maxRetries && ctx.Err() == nil && permit.Retry(ctx, result.NotRun()) {
			result.Release()
			continue
		}
		if result.Err() == nil && result.Kind() != endpoint.KindShed {
			return x.forward(request, result, endpointName)
		}
		refused := attemptFailure(result, wrote).retry(permit.RetryAfter())
		result.Release()
		return x.refuse(refused)
	}
}

// acceptable reports whether a result needs no retry. A server error is retried at
// another endpoint, because a partially failed endpoint may have caused it.
func acceptable(result *endpoint.Result) bool {
	return result.Err() == nil && result.Kind() == endpoint.KindOK
}

// forward sends a response to the caller. A successful GET request is recorded as a
// template for probes.
func (x *exchange) forward(request *endpoint.Request, result *endpoint.Result, endpointName string) *refusal {
	defer result.Release()
	if x.request.Method == http.MethodGet && len(x.body) == 0 && acceptable(result) {
		x.class.service.dispatcher.Observe(x.class.name, request)
	}
	if x.respond(result, endpointName) != nil {
		// Abort the connection, so that the truncated response does not look complete.
		panic(http.ErrAbortHandler)
	}
	return nil
}

func overloaded(retryAfter time.Duration) *refusal {
	return notRun(http.StatusServiceUnavailable, "the service is overloaded").retry(retryAfter)
}

// attemptFailure returns the refusal for a result without a usable response.
func attemptFailure(result *endpoint.Result, wrote bool) *refusal {
	r := &refusal{status: http.StatusBadGateway, message: "the endpoint gave no usable response", outcome: OutcomeUnknown}
	switch {
	case !wrote:
		r.status, r.message, r.outcome = http.StatusServiceUnavailable, "no endpoint took the request", OutcomeNotRun
	case result.Kind() == endpoint.KindTimeout || result.TimedOut():
		r.status, r.message = http.StatusGatewayTimeout, "no response before the deadline"
	}
	return r
}

// tryEndpoint makes one attempt, and a hedged second one if the class allows it and the
// first is slow.
func (x *exchange) tryEndpoint(
	ctx context.Context, permit Permit, request *endpoint.Request,
) (*endpoint.Result, string) {
	at, hedged := permit.HedgeAt()
	if hedged && at.Before(x.deadline) {
		return x.tryHedged(ctx, permit, request, at)
	}
	result := permit.Client().Do(ctx, x.deadline, request)
	x.recordAttempt(permit, result)
	return result, permit.Endpoint()
}
