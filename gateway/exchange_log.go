package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// attemptKind tells first attempts and the kinds of further ones apart in logs and metrics.
type attemptKind string

const (
	attemptFirst attemptKind = "no"
	// attemptRetry follows an attempt that was sent to an endpoint, at least in part, and
	// uses the retry budget.
	attemptRetry attemptKind = "again"
	// attemptReroute follows an attempt of which nothing was sent to an endpoint.
	attemptReroute attemptKind = "moved"
	// attemptHedge runs in parallel with an attempt without a response.
	attemptHedge attemptKind = "hedge"
)

// count updates the metrics at the end of the request.
func (x *exchange) count(outcome, reason string) {
	x.gateway.counts.request(x.route, x.service, outcome, reason, x.received.Arrival)
}

// minLoggedWait is the shortest wait for an endpoint that is logged; a placement request
// to a hub takes a few milliseconds.
const minLoggedWait = 50 * time.Millisecond

// logPlaced logs a placement after a wait, without the hub or at a suspected endpoint, and
// those of further attempts.
func (x *exchange) logPlaced(p placedAttempt) {
	waited := p.grantedAt.Sub(p.requestedAt)
	if waited < minLoggedWait && !p.withoutHub && p.attemptKind == attemptFirst && !p.decision.Suspected() {
		return
	}
	x.gateway.logger.Info("request: placed", zap.String("request", x.id), zap.String("service", x.service),
		zap.String("endpoint", p.decision.Endpoint.ID()), attemptToken(p.decision.Token),
		zap.Float64("failing", p.decision.FailureProbability), zap.Duration("waited", waited),
		zap.Bool("without_hub", p.withoutHub), zap.String("repeat", string(p.attemptKind)))
}

// log logs an event of an attempt.
func (x *exchange) log(message string, d placement.Decision, outcome string, more ...zap.Field) {
	fields := []zap.Field{
		zap.String("request", x.id), zap.String("service", x.service),
		zap.String("route", x.route.Name), zap.Uint64("version", x.table.version),
		zap.String("endpoint", d.Endpoint.ID()), zap.Float64("failing", d.FailureProbability),
		attemptToken(d.Token), zap.String("outcome", outcome), zap.Int("attempt", x.sent),
		zap.Duration("elapsed", time.Since(x.received.Arrival)),
	}
	x.gateway.logger.Info(message, append(fields, more...)...)
}

// logFailed logs a failed attempt with what the proxy concluded from: the connection, the
// status, and whether the request may have run.
func (x *exchange) logFailed(a attempt) {
	connection, reused := a.result.Connection()
	failure := ""
	if err := a.result.Err(); err != nil {
		failure = err.Error()
	}
	x.log("request: attempt failed", a.placed.decision, a.outcome.String(), zap.Int("status", a.result.Status()),
		zap.Bool("not_run", a.result.NotRun()), zap.String("connection", connection), zap.Bool("reused", reused), zap.String("error", failure))
}

// logServed logs the successful attempt of a request that may run once, so that the log of a
// proxy names every endpoint that it sent the request to.
func (x *exchange) logServed(a attempt) {
	if x.route.Repeatable {
		return
	}
	connection, reused := a.result.Connection()
	x.gateway.logger.Info("request: served", zap.String("request", x.id), zap.String("endpoint", a.placed.decision.Endpoint.ID()),
		attemptToken(a.placed.decision.Token), zap.Int("attempt", x.sent), zap.Int("status", a.result.Status()),
		zap.String("connection", connection), zap.Bool("reused", reused), zap.Duration("elapsed", time.Since(x.received.Arrival)))
}

// responseObserver counts and logs bytes of endpoints that are not the response to a request.
type responseObserver struct {
	counts *counts
	logger *zap.Logger
}

var _ endpoint.Observer = responseObserver{}

// ObserveUnsolicited implements endpoint.Observer.
func (o responseObserver) ObserveUnsolicited(address string, kind endpoint.Unsolicited) {
	o.counts.unsolicited(kind)
	o.logger.Warn("endpoint: unsolicited response", zap.String("endpoint_address", address), zap.String("kind", string(kind)))
}

// logEnd logs the end of the request. A status of 0 is left out: the proxy does not create
// the response.
func (x *exchange) logEnd(message string, status int, reason string) {
	fields := []zap.Field{
		zap.String("request", x.id), zap.String("reason", reason), zap.Int("attempts", x.sent), zap.Duration("elapsed", time.Since(x.received.Arrival)),
	}
	if status > 0 {
		fields = append(fields, zap.Int("status", status))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service),
			zap.Uint64("version", x.table.version), zap.Duration("left", time.Until(x.deadline)))
	} else {
		fields = append(fields, zap.String("host", x.received.Host), zap.String("target", x.received.Target))
	}
	x.gateway.logger.Info(message, fields...)
}
