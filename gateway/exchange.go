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
	// heldBytes bounds the part of a response that is held until it is complete.
	heldBytes = 1 << 20
	// returnTime is the part of the caller's time that is kept for the way back.
	returnTime = 10 * time.Millisecond
	// defaultDeadline applies to requests that state none.
	defaultDeadline = 30 * time.Second
	// hedgeAimShare of the aim without a response lets a request that can be sent
	// again be tried at a second endpoint.
	hedgeAimShare = 0.7
	// leastRetryAfter keeps callers from returning before a slot can be free.
	leastRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is the time in which a proxy gets a configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// silentAfter is the least time without a response that is evidence.
	silentAfter = time.Second
)

// exchange is one request on its way to a response.
type exchange struct {
	gateway  *Gateway
	received *http1.Request
	table    *table
	route    *Route
	id       string
	service  string
	deadline time.Time
	request  *endpoint.Request

	sent    int      // attempts that an endpoint received
	repeat  repeat   // why the next attempt follows another one
	tried   []string // endpoints not to use again
	last    *endpoint.Result
	failure placement.Outcome
}

// attempt is one attempt in progress.
type attempt struct {
	placed  placed
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
	x.service = x.route.pick()
	x.prepare()
	limited, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	defer context.AfterFunc(x.gateway.waits, cancel)()
	for {
		p := x.gateway.placer.place(limited, x.service, x.ask())
		if p.decision.Verdict != placement.Granted {
			return x.giveUp(ctx, p.decision)
		}
		p.repeat = x.repeat
		x.logPlaced(p)
		a := x.send(ctx, p)
		if response := x.settle(ctx, a); response != nil {
			return response
		}
	}
}

// prepare reads the caller's fields.
func (x *exchange) prepare() {
	arrival := x.received.Arrival
	names := x.gateway.names
	left := defaultDeadline
	if millis, err := strconv.ParseInt(x.received.Header.Get(names.Deadline), 10, 64); err == nil && millis > 0 {
		left = time.Duration(millis) * time.Millisecond
	}
	x.deadline = arrival.Add(left)
	if at := arrival.Add(x.route.Timeout); x.route.Timeout > 0 && at.Before(x.deadline) {
		x.deadline = at
	}
	header := x.received.Header
	http1.RemoveConnectionFields(header)
	rules := x.gateway.rulesOnce
	if x.route.Repeatable {
		rules = x.gateway.rulesRepeatable
	}
	x.request = endpoint.NewRequest(rules, x.received.Method, x.received.Target, x.received.Host, x.id,
		x.deadline.Add(-returnTime), header, x.received.Body)
}

func (x *exchange) ask() placement.Request {
	return placement.Request{
		Repeatable: x.route.Repeatable, Retry: x.repeat == repeatAgain, Rerouted: x.repeat == repeatMoved, Priority: x.route.Priority,
		SoftDeadline: x.received.Arrival.Add(x.route.TargetLatency), Deadline: x.placeDeadline(), Avoid: x.tried,
	}
}

// placeDeadline is the deadline of the request, or the end of a planned stop.
func (x *exchange) placeDeadline() time.Time {
	if end := x.gateway.waitsEnd.Load(); end != nil && end.Before(x.deadline) {
		return *end
	}
	return x.deadline
}

// send makes an attempt. A request that can be sent again gets a second endpoint
// if the first is silent; the first whole response counts.
func (x *exchange) send(ctx context.Context, p placed) attempt {
	x.sent++
	if !x.route.Repeatable || x.sent >= x.route.Attempts {
		return x.call(ctx, p)
	}
	results := make(chan attempt, 2)
	both, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { results <- x.call(both, p) }()
	timer := time.NewTimer(time.Until(x.hedgeAt()))
	defer timer.Stop()
	select {
	case a := <-results:
		return a
	case <-timer.C:
	}
	ask := x.ask()
	ask.Retry, ask.Rerouted = true, false
	ask.Avoid = append(ask.Avoid, p.decision.Endpoint.ID())
	limited, stop := context.WithDeadline(ctx, x.deadline)
	second := x.gateway.placer.place(limited, x.service, ask)
	stop()
	if second.decision.Verdict != placement.Granted {
		x.log("request: not sent to a second endpoint, the first is silent", p.decision, string(second.decision.Reason))
		return <-results
	}
	x.sent++
	second.repeat = repeatHedge
	x.log("request: sent to a second endpoint, the first is silent", p.decision, placement.OutcomeTimeout.String())
	x.gateway.counts.hedges.Inc()
	go func() { results <- x.call(both, second) }()
	first := <-results
	if first.result.Kind() == endpoint.KindOK {
		go drop(results)
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

// drop releases the attempt that lost.
func drop(results <-chan attempt) {
	a := <-results
	a.result.Release()
}

func (x *exchange) hedgeAt() time.Time {
	return time.Now().Add(time.Duration(hedgeAimShare * float64(x.route.TargetLatency)))
}

// call sends the request to the endpoint and reports the outcome.
func (x *exchange) call(ctx context.Context, p placed) attempt {
	e := p.decision.Endpoint
	client := x.gateway.client(e.Address(), x.table, x.service)
	result := client.Do(ctx, x.deadline, x.request.ForInstance(e.ID(), x.deadline.Add(-returnTime)))
	o := outcome(result, time.Since(p.started))
	x.gateway.placer.end(p, o)
	x.gateway.counts.attempt(x.service, p.repeat, o.String(), p.started)
	return attempt{placed: p, result: result, outcome: o}
}

// outcome states what the result of an attempt says about the endpoint.
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
	if errors.Is(r.Err(), endpoint.ErrTimeout) && elapsed >= silentAfter {
		return placement.OutcomeTimeout
	}
	return placement.OutcomeNone
}

// settle returns the response to an attempt, or nil if another one may be made.
func (x *exchange) settle(ctx context.Context, a attempt) *http1.Response {
	r := a.result
	if r.Kind() == endpoint.KindOK {
		return x.respond(r)
	}
	if ctx.Err() != nil {
		r.Release()
		return x.abandoned()
	}
	x.tried = append(x.tried, a.placed.decision.Endpoint.ID())
	x.log("request: attempt failed", a.placed.decision, a.outcome.String())
	x.keep(r)
	x.failure = a.outcome
	if r.NotRun() {
		x.repeat = repeatMoved
		if r.Wrote() {
			x.repeat = repeatAgain
		}
		x.sent--
		if time.Now().Before(x.deadline) && len(x.tried) <= maxMoves {
			return nil
		}
		return x.giveUp(ctx, placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoTime})
	}
	x.repeat = repeatAgain
	if x.route.Repeatable && x.sent < x.route.Attempts && time.Now().Before(x.deadline) {
		return nil
	}
	return x.fail()
}

// maxMoves bounds the endpoints that one request tries in vain.
const maxMoves = 4

// keep holds the newest failure that an endpoint answered, which is passed on
// if there is no better response.
func (x *exchange) keep(r *endpoint.Result) {
	if r.Err() != nil || r.NotRun() {
		r.Release()
		return
	}
	if x.last != nil {
		x.last.Release()
	}
	x.last = r
}

// giveUp answers a request that gets no endpoint.
func (x *exchange) giveUp(ctx context.Context, d placement.Decision) *http1.Response {
	if ctx.Err() != nil {
		return x.abandoned()
	}
	reason := d.Reason
	if reason == placement.ReasonNone {
		reason = placement.ReasonNoTime
	}
	if x.last != nil || x.sent > 0 {
		x.logEnd("request: not sent again", 0, string(reason))
		return x.fail()
	}
	return x.refuse(http.StatusServiceUnavailable, string(reason), max(leastRetryAfter, d.RetryAfter))
}

// fail answers a request that an endpoint may have run.
func (x *exchange) fail() *http1.Response {
	if x.last != nil {
		last := x.last
		x.last = nil
		x.count("endpoint_failure", x.failure.String())
		return x.response(last)
	}
	status := http.StatusBadGateway
	if x.failure == placement.OutcomeTimeout || !time.Now().Before(x.deadline) {
		status = http.StatusGatewayTimeout
	}
	x.logEnd("request: failed", status, x.failure.String())
	x.count("failed", x.failure.String())
	return x.own(status)
}

func (x *exchange) abandoned() *http1.Response {
	x.releaseLast()
	x.logEnd("request: caller left", 0, "")
	x.count("caller_left", "")
	return x.own(http.StatusGatewayTimeout)
}

func (x *exchange) releaseLast() {
	if x.last != nil {
		x.last.Release()
		x.last = nil
	}
}

// refuse answers a request that has not run.
func (x *exchange) refuse(status int, reason string, after time.Duration) *http1.Response {
	x.logEnd("request: refused", status, reason)
	x.count("refused", reason)
	response := x.own(status)
	if after > 0 {
		response.Header["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	return response
}

func (x *exchange) own(status int) *http1.Response {
	h := http.Header{}
	if x.id != "" {
		h[x.gateway.names.RequestID] = []string{x.id}
	}
	return &http1.Response{Status: status, Header: h, Length: 0}
}

func (x *exchange) respond(r *endpoint.Result) *http1.Response {
	x.releaseLast()
	x.count("served", "")
	return x.response(r)
}

// response passes the response of an endpoint on.
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
