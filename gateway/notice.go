package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// noticeGate is the gate of one attempt at an endpoint. It makes this member obey what
// endpoints have told it, whoever placed the attempt and when.
type noticeGate struct {
	exchange *exchange
	id       string       // of the endpoint
	start    int64        // of its process when the attempt was placed
	admitted atomic.Int64 // instant of the last admission, or 0
}

func newNoticeGate(x *exchange, id string) *noticeGate {
	start, _ := x.gateway.process(id)
	return &noticeGate{exchange: x, id: id, start: start}
}

var _ endpoint.Gate = (*noticeGate)(nil)

// Admit implements endpoint.Gate.
func (g *noticeGate) Admit() error {
	now := bootTime()
	if err := g.exchange.admitDuringStop(time.Now()); err != nil {
		return err
	}
	member := g.exchange.gateway
	start, leaves := member.process(g.id)
	switch {
	case leaves:
		return errLeaving
	case member.placer.resting(g.id, start):
		return errResting
	}
	member.countOutdated(KindEndpoints, g.exchange.id)
	g.admitted.Store(int64(now))
	return nil
}

// ObserveNotice implements endpoint.Gate.
func (g *noticeGate) ObserveNotice(n endpoint.Notice, err error) {
	x := g.exchange
	fields := []zap.Field{zap.String("request", x.id), zap.String("service", x.service), zap.String("endpoint", g.id)}
	if err != nil {
		x.gateway.logger.Warn("endpoint: invalid notice", append(fields, zap.String("error", err.Error()))...)
	}
	admitted := instant(g.admitted.Load())
	if n.Leaving {
		if x.gateway.knownToLeave(g.id, g.start, admitted) {
			x.gateway.counts.noticeViolated(x.service, noticeLeaving)
		}
		x.gateway.counts.notice(x.service, noticeLeaving)
		x.gateway.logger.Info("endpoint: says that it leaves", fields...)
		x.gateway.depart(g.id, g.start)
	}
	if !n.RestUntil.IsZero() {
		if x.gateway.placer.inRest(g.id, g.start, admitted) {
			x.gateway.counts.noticeViolated(x.service, noticeRest)
		}
		x.gateway.counts.notice(x.service, noticeRest)
		x.gateway.logger.Info("endpoint: asks for a rest", append(fields, zap.Duration("rest", time.Until(n.RestUntil)))...)
		x.gateway.rest(x.service, g.id, g.start, n.RestUntil)
	}
}
