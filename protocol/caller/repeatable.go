package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// maxRetries bounds the attempts that are charged to the retry budget.
const maxRetries = 2

// sendRepeatable tries endpoints until there is a response for the caller.
func (x *exchange) sendRepeatable() *refusal {
	ctx := x.request.Context()
	permit, retryAfter := x.class.service.dispatcher.Admit(ctx, x.class.name, x.deadline)
	if permit == nil {
		return x.refuse(overloaded(retryAfter))
	}
	request := x.outbound()
	wrote := false
	for retries := 0; ; {
		result, name := x.tryEndpoint(ctx, permit, request)
		wrote = wrote || !result.NotRun()
		if good(result) {
			return x.passOn(request, result, name)
		}
		if !result.NotRun() {
			retries++
		}
		if retries <= maxRetries && ctx.Err() == nil && permit.Retry(ctx, result.NotRun()) {
			result.Release()
			continue
		}
		if result.Err() == nil && result.Kind() != endpoint.KindShed {
			return x.passOn(request, result, name)
		}
		refused := failure(result, wrote).retry(permit.RetryAfter())
		result.Release()
		return x.refuse(refused)
	}
}

// good reports whether a result needs no other attempt. A server error is
// tried elsewhere, because an endpoint with a gray failure may produce it.
func good(result *endpoint.Result) bool {
	return result.Err() == nil && result.Kind() == endpoint.KindOK
}

// passOn sends a response and notes the request as a model for trials.
func (x *exchange) passOn(request *endpoint.Request, result *endpoint.Result, name string) *refusal {
	defer result.Release()
	if x.request.Method == http.MethodGet && len(x.body) == 0 && good(result) {
		x.class.service.dispatcher.Observe(x.class.name, request)
	}
	if x.respond(result, name) != nil {
		// The caller must not take the part that it received for the whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}

func overloaded(retryAfter time.Duration) *refusal {
	return notRun(http.StatusServiceUnavailable, "the service is overloaded").retry(retryAfter)
}

// failure describes a result without a usable response.
func failure(result *endpoint.Result, wrote bool) *refusal {
	r := &refusal{status: http.StatusBadGateway, message: "the endpoint gave no usable response", outcome: OutcomeUnknown}
	switch {
	case !wrote:
		r.status, r.message, r.outcome = http.StatusServiceUnavailable, "no endpoint took the request", OutcomeNotRun
	case result.Kind() == endpoint.KindTimeout || result.TimedOut():
		r.status, r.message = http.StatusGatewayTimeout, "no response before the deadline"
	}
	return r
}

// tryEndpoint makes one attempt, with a second one beside it if the class
// allows and the first takes long.
func (x *exchange) tryEndpoint(
	ctx context.Context, permit Permit, request *endpoint.Request,
) (*endpoint.Result, string) {
	at, hedged := permit.HedgeAt()
	if hedged && at.Before(x.deadline) {
		return x.tryHedged(ctx, permit, request, at)
	}
	result := permit.Client().Do(ctx, x.deadline, request)
	x.finish(permit, result)
	return result, permit.Endpoint()
}
