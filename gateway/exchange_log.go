package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
)

// repeat is why an attempt follows another one, in logs and metrics.
type repeat string

const (
	repeatNone repeat = "no"
	// repeatAgain draws on the retry budget.
	repeatAgain repeat = "again"
	// repeatMoved follows an attempt that reached no endpoint.
	repeatMoved repeat = "moved"
	// repeatHedge runs beside an attempt that is silent.
	repeatHedge repeat = "hedge"
)

// count counts the end of the request.
func (x *exchange) count(outcome, reason string) {
	x.gateway.counts.request(x.route, x.service, outcome, reason, x.received.Arrival)
}

// waitLogged is the wait for an endpoint from which a line says so; an ask of a hub
// takes a few milliseconds.
const waitLogged = 50 * time.Millisecond

// logPlaced writes a line for a placement that was not the ordinary one: after a wait,
// without the hub, at a suspected endpoint, or again.
func (x *exchange) logPlaced(p placed) {
	waited := p.started.Sub(p.asked)
	if waited < waitLogged && !p.alone && p.repeat == repeatNone && !p.decision.Suspected() {
		return
	}
	x.gateway.logger.Info("request: placed", zap.String("request", x.id), zap.String("service", x.service),
		zap.String("endpoint", p.decision.Endpoint.ID()), attemptToken(p.decision.Token),
		zap.Float64("failing", p.decision.FailureProbability), zap.Duration("waited", waited),
		zap.Bool("without_hub", p.alone), zap.String("repeat", string(p.repeat)))
}

// log writes a line about an attempt.
func (x *exchange) log(message string, d placement.Decision, outcome string) {
	x.gateway.logger.Info(message, zap.String("request", x.id), zap.String("service", x.service),
		zap.String("route", x.route.Name), zap.Uint64("version", x.table.version),
		zap.String("endpoint", d.Endpoint.ID()), zap.Float64("failing", d.FailureProbability),
		attemptToken(d.Token), zap.String("outcome", outcome), zap.Int("attempt", x.sent),
		zap.Duration("elapsed", time.Since(x.received.Arrival)))
}

// logEnd writes a line about the end of the request. The status is 0 if it is not
// answered here.
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
