package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/caller/http1"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

const (
	// bufferedBytes bounds the size of a response that is buffered until it is complete;
	// a larger one is streamed.
	bufferedBytes = 1 << 20
	// responseReserve is the part of the deadline reserved for sending the response to the
	// caller.
	responseReserve = 10 * time.Millisecond
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
	// hedgeLatencyShare is the share of the target latency without a response after which
	// a repeatable request is hedged.
	hedgeLatencyShare = 0.7
	// minRetryAfter keeps callers from retrying before a slot can be free.
	minRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is the time that a proxy takes to get a configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// noPathRetryAfter is the time after which a caller may return to another proxy, or
	// this one may have found a relay.
	noPathRetryAfter = 200 * time.Millisecond
	// reasonStopping means that this proxy stops before the request could be completed.
	reasonStopping placement.Reason = "stopping"
	// reasonNoPath means that this proxy reaches the endpoints neither directly nor
	// through another one.
	reasonNoPath placement.Reason = "no_path_to_endpoints"
	// minSilence is the shortest time without a response that counts as evidence against
	// an endpoint.
	minSilence = time.Second
)

// exchange is the state of one request until its response.
type exchange struct {
	gateway  *Gateway
	received *http1.Request
	table    *table
	route    *Route
	id       string
	service  string
	deadline time.Time
	readAt   time.Time // when the request had been read
	request  *endpoint.Request

	sent        int         // attempts that an endpoint may have run
	attemptKind attemptKind // of the next attempt
	tried       []string    // endpoints whose attempts failed
	lastFailure *endpoint.Result
	lastOutcome placement.Outcome
}

// attempt is one attempt in progress.
type attempt struct {
	placed  placedAttempt
	result  *endpoint.Result
	outcome placement.Outcome
}

func (x *exchange) run(ctx context.Context) *http1.Response {
	if x.table == nil {
		return x.refuse(http.StatusServiceUnavailable, "no_configuration", notReadyRetryAfter)
	}
	if x.route == nil {
		return x.refuse(http.StatusNotFound, "no_route", 0)
	}
	x.service = x.route.pickService()
	x.readAt = time.Now()
	x.gateway.countOutdated(KindConfiguration, x.id)
	x.prepare()
	limited, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	defer context.AfterFunc(x.gateway.waitContext, cancel)()
	for {
		if x.admitDuringStop(time.Now()) != nil {
			return x.giveUp(ctx, placement.Decision{Verdict: placement.Refused, Reason: reasonStopping})
		}
		if x.gateway.paths.blocked() {
			return x.giveUp(ctx, placement.Decision{Verdict: placement.Refused, Reason: reasonNoPath, RetryAfter: noPathRetryAfter})
		}
		p := x.gateway.placer.place(limited, x.service, x.placementRequest())
		if p.decision.Verdict != placement.Granted {
			return x.giveUp(ctx, p.decision)
		}
		p.attemptKind = x.attemptKind
		x.logPlaced(p)
		a := x.send(ctx, p)
		if response := x.handleResult(ctx, a); response != nil {
			return response
		}
	}
}

// prepare derives the deadline and the request to the endpoint from the caller's request.
func (x *exchange) prepare() {
	arrival := x.received.Arrival
	names := x.gateway.names
	timeout := defaultDeadline
	if millis, err := strconv.ParseInt(x.received.Header.Get(names.Deadline), 10, 64); err == nil && millis > 0 {
		timeout = time.Duration(millis) * time.Millisecond
	}
	x.deadline = arrival.Add(timeout)
	if routeDeadline := arrival.Add(x.route.Timeout); x.route.Timeout > 0 && routeDeadline.Before(x.deadline) {
		x.deadline = routeDeadline
	}
	header := x.received.Header
	http1.RemoveConnectionFields(header)
	rules := x.gateway.rulesOnce
	if x.route.Repeatable {
		rules = x.gateway.rulesRepeatable
	}
	x.request = endpoint.NewRequest(rules, x.received.Method, x.received.Target, x.received.Host, x.id,
		x.deadline.Add(-responseReserve), header, x.received.Body)
}

func (x *exchange) placementRequest() placement.Request {
	return placement.Request{
		Repeatable: x.route.Repeatable, Retry: x.attemptKind == attemptRetry, Rerouted: x.attemptKind == attemptReroute, Priority: x.route.Priority,
		SoftDeadline: x.received.Arrival.Add(x.route.TargetLatency), Deadline: x.placeDeadline(), Avoid: x.tried,
	}
}

// send makes an attempt. A repeatable request is hedged at a second endpoint if the
// first is slow; the first complete response other than a server error wins. If there is
// none, a response is preferred to an error.
func (x *exchange) send(ctx context.Context, p placedAttempt) attempt {
	x.sent++
	if !x.mayRepeat(p.decision) {
		return x.sendTo(ctx, p)
	}
	results := make(chan attempt, 2)
	cancelFirst := x.start(ctx, p, results)
	timer := time.NewTimer(time.Until(x.hedgeAt()))
	defer timer.Stop()
	select {
	case a := <-results:
		return a
	case <-timer.C:
	}
	hedgeRequest := x.placementRequest()
	hedgeRequest.Retry, hedgeRequest.Rerouted = true, false
	hedgeRequest.Avoid = append(hedgeRequest.Avoid, p.decision.Endpoint.ID())
	limited, stop := context.WithDeadline(ctx, x.deadline)
	hedge := x.gateway.placer.place(limited, x.service, hedgeRequest)
	stop()
	if hedge.decision.Verdict != placement.Granted {
		x.log("request: not sent to a second endpoint, the first is silent", p.decision, string(hedge.decision.Reason))
		return <-results
	}
	x.sent++
	hedge.attemptKind = attemptHedge
	x.log("request: sent to a second endpoint, the first is silent", p.decision, placement.OutcomeTimeout.String())
	x.gateway.counts.hedges.Inc()
	cancelHedge := x.start(ctx, hedge, results)
	first := <-results
	if first.result.Kind() == endpoint.KindOK {
		if first.placed.attemptKind == attemptHedge {
			cancelFirst()
		} else {
			cancelHedge()
		}
		go releaseNext(results)
		return first
	}
	other := <-results
	if other.result.Kind() == endpoint.KindOK || other.result.Err() == nil && first.result.Err() != nil {
		first.result.Release()
		return other
	}
	other.result.Release()
	return first
}

// start makes an attempt in the background, whose result it sends to the channel, and returns
// a function that cancels it.
func (x *exchange) start(ctx context.Context, p placedAttempt, results chan<- attempt) context.CancelFunc {
	cancellable, cancel := context.WithCancel(ctx)
	go func() {
		a := x.sendTo(cancellable, p)
		a.whenDone(cancel)
		results <- a
	}()
	return cancel
}

// whenDone calls the function once the attempt needs its context no more: now, or when a
// response that is streamed has been read.
func (a attempt) whenDone(end func()) {
	if a.result.Streamed() {
		a.result.OnRelease(end)
		return
	}
	end()
}

// releaseNext waits for the losing attempt and releases it.
func releaseNext(results <-chan attempt) {
	a := <-results
	a.result.Release()
}

func (x *exchange) hedgeAt() time.Time {
	return time.Now().Add(time.Duration(hedgeLatencyShare * float64(x.route.TargetLatency)))
}

// sendTo sends the request to the granted endpoint and reports the outcome to the placer.
func (x *exchange) sendTo(ctx context.Context, p placedAttempt) attempt {
	e := p.decision.Endpoint
	client := x.gateway.client(e.Address(), x.table, x.service)
	cancellable, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(x.gateway.attemptContext, cancel)
	request := x.request.ForInstance(e.ID(), x.deadline.Add(-responseReserve)).WithGate(newNoticeGate(x, e.ID()))
	result := client.Do(cancellable, x.deadline, request)
	if errors.Is(result.Err(), endpoint.ErrWithheld) {
		x.gateway.repeatNotice(p, e.ID())
	}
	if result.Wrote() && result.Err() != nil && x.gateway.attemptContext.Err() != nil {
		x.gateway.counts.cutByStop(x.service)
	}
	o := outcome(result, time.Since(p.grantedAt))
	x.gateway.placer.end(p, x.evidence(p, result, o), x.rateLimit(result, e.ID()))
	x.gateway.counts.attempt(x.service, p.attemptKind, o.String(), p.grantedAt)
	a := attempt{placed: p, result: result, outcome: o}
	a.whenDone(func() { stop(); cancel() })
	return a
}

// evidence returns the outcome as evidence about the endpoint. A failure without a response
// is none if this proxy had lost its links to all endpoints.
func (x *exchange) evidence(p placedAttempt, r *endpoint.Result, o placement.Outcome) placement.Outcome {
	if r.Err() != nil && x.gateway.paths.cutSince(p.grantedAt) {
		return placement.OutcomeNone
	}
	return o
}

// outcome classifies the result of an attempt as evidence about the endpoint.
func outcome(r *endpoint.Result, elapsed time.Duration) placement.Outcome {
	switch r.Kind() {
	case endpoint.KindOK:
		return placement.OutcomeServed
	case endpoint.KindError:
		if r.Err() != nil {
			return placement.OutcomeBroken
		}
		if r.Status() == http.StatusGatewayTimeout {
			return placement.OutcomeExpired
		}
		return placement.OutcomeFailed
	case endpoint.KindInvalid:
		return placement.OutcomeBroken
	case endpoint.KindShed:
		return placement.OutcomeShed
	case endpoint.KindRefused:
		return placement.OutcomeUnreachable
	case endpoint.KindTimeout:
		return placement.OutcomeTimeout
	}
	if errors.Is(r.Err(), endpoint.ErrTimeout) && elapsed >= minSilence {
		return placement.OutcomeTimeout
	}
	return placement.OutcomeNone
}

// handleResult returns the response to the caller, or nil to make another attempt.
func (x *exchange) handleResult(ctx context.Context, a attempt) *http1.Response {
	r := a.result
	if r.Kind() == endpoint.KindOK {
		x.logServed(a)
		return x.succeed(r)
	}
	if ctx.Err() != nil {
		r.Release()
		return x.callerLeft()
	}
	x.tried = append(x.tried, a.placed.decision.Endpoint.ID())
	x.logFailed(a)
	x.keepFailure(r)
	x.lastOutcome = a.outcome
	if r.NotRun() {
		x.attemptKind = attemptReroute
		if r.Wrote() {
			x.attemptKind = attemptRetry
		}
		x.sent--
		if a.placed.decision.Surplus() {
			return x.giveUp(ctx, placement.Decision{
				Verdict: placement.Refused, Reason: placement.ReasonNoTime, RetryAfter: a.placed.decision.RetryAfter,
			})
		}
		if time.Now().Before(x.deadline) && len(x.tried) <= maxReroutes {
			return nil
		}
		return x.giveUp(ctx, placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoTime})
	}
	x.attemptKind = attemptRetry
	if x.mayRepeat(a.placed.decision) && time.Now().Before(x.deadline) {
		return nil
	}
	return x.failed()
}

// mayRepeat reports whether an attempt may be followed by another that counts as a repeat.
func (x *exchange) mayRepeat(d placement.Decision) bool {
	return x.route.Repeatable && !d.Surplus() && x.sent < x.route.MaxAttempts
}

// maxReroutes bounds the number of endpoints that one request is rerouted from.
const maxReroutes = 4

// keepFailure keeps the latest failure response of an endpoint, which is forwarded if
// all attempts fail.
func (x *exchange) keepFailure(r *endpoint.Result) {
	if r.Err() != nil || r.NotRun() {
		r.Release()
		return
	}
	if x.lastFailure != nil {
		x.lastFailure.Release()
	}
	x.lastFailure = r
}

// giveUp returns the response to a request that gets no endpoint, or no further one.
func (x *exchange) giveUp(ctx context.Context, d placement.Decision) *http1.Response {
	if ctx.Err() != nil {
		return x.callerLeft()
	}
	reason := d.Reason
	if reason == placement.ReasonNone {
		reason = placement.ReasonNoTime
	}
	if x.lastFailure != nil || x.sent > 0 {
		x.logEnd("request: not sent again", 0, string(reason))
		return x.failed()
	}
	return x.refuse(http.StatusServiceUnavailable, string(reason), max(minRetryAfter, d.RetryAfter))
}

// failed returns the response to a request whose attempts failed and that an endpoint may
// have run.
func (x *exchange) failed() *http1.Response {
	if x.lastFailure != nil {
		last := x.lastFailure
		x.lastFailure = nil
		x.count("endpoint_failure", x.lastOutcome.String())
		return x.response(last)
	}
	status := http.StatusBadGateway
	if x.lastOutcome == placement.OutcomeTimeout || !time.Now().Before(x.deadline) {
		status = http.StatusGatewayTimeout
	}
	x.logEnd("request: failed", status, x.lastOutcome.String())
	x.count("failed", x.lastOutcome.String())
	return x.emptyResponse(status)
}

func (x *exchange) callerLeft() *http1.Response {
	x.releaseFailure()
	x.logEnd("request: caller left", 0, "")
	x.count("caller_left", "")
	return x.emptyResponse(http.StatusGatewayTimeout)
}

func (x *exchange) releaseFailure() {
	if x.lastFailure != nil {
		x.lastFailure.Release()
		x.lastFailure = nil
	}
}

// refuse returns the response to a request that no endpoint has run.
func (x *exchange) refuse(status int, reason string, after time.Duration) *http1.Response {
	x.logEnd("request: refused", status, reason)
	x.count("refused", reason)
	response := x.emptyResponse(status)
	if after > 0 {
		response.Header["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	return response
}

func (x *exchange) emptyResponse(status int) *http1.Response {
	h := http.Header{}
	if x.id != "" {
		h[x.gateway.names.RequestID] = []string{x.id}
	}
	return &http1.Response{Status: status, Header: h, Length: 0}
}

func (x *exchange) succeed(r *endpoint.Result) *http1.Response {
	x.releaseFailure()
	x.count("served", "")
	return x.response(r)
}

// response forwards the response of an endpoint.
func (x *exchange) response(r *endpoint.Result) *http1.Response {
	h := r.Header()
	http1.RemoveConnectionFields(h)
	response := &http1.Response{
		Status: r.Status(), Header: h, Body: r.Body(), Length: r.BodyLength(x.received.Method), Release: r.Release,
	}
	if r.Streamed() {
		response.WriteRest = func(w io.Writer) error { return r.CopyRest(w, func() {}) }
	}
	return response
}
