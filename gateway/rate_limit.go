package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// limitedEndMessage reports the end of an attempt whose response states something else
// about the rate limit of its endpoint than impliedRateLimit.
type limitedEndMessage struct {
	End       endMessage
	Statement placement.LimitStatement
	PerSecond float64
}

// impliedRateLimit returns what the end of an attempt states about the rate limit without
// a limitedEndMessage.
func impliedRateLimit(o placement.Outcome) placement.RateLimit {
	if o == placement.OutcomeServed {
		return placement.RateLimit{Statement: placement.LimitAbsent}
	}
	return placement.RateLimit{}
}

// rateLimitsMessage lists the rate limits that the sender knows of, for the new owner of a
// service.
type rateLimitsMessage struct {
	Service string
	Limits  []knownRateLimit
}

// knownRateLimit is the wire form of a placement.KnownLimit.
type knownRateLimit struct {
	ID        string
	PerSecond float64
	AgeMillis int64 // of the latest declaration
}

// maxReportedLimits bounds the limits in one message.
const maxReportedLimits = 1024

// rateLimit returns what the response of an endpoint states about its rate limit.
func (x *exchange) rateLimit(r *endpoint.Result, id string) placement.RateLimit {
	perSecond, declared, err := r.RateLimit()
	switch {
	case err != nil:
		x.gateway.logger.Warn("endpoint: invalid rate limit", zap.String("service", x.service), zap.String("endpoint", id),
			zap.String("error", err.Error()))
	case declared:
		return placement.RateLimit{Statement: placement.LimitDeclared, PerSecond: perSecond}
	case r.Kind() == endpoint.KindOK:
		return placement.RateLimit{Statement: placement.LimitAbsent}
	}
	return placement.RateLimit{}
}

// hasRateLimit reports whether this member knows of a rate limit of the endpoint.
func (p *placer) hasRateLimit(service, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).scheduler.HasRateLimit(id)
}

// handleEndLimited receives another member's report of the end of an attempt.
func (p *placer) handleEndLimited(from string, payload []byte) {
	var m limitedEndMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode the end of an attempt", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	p.recordEnd(&m.End, placement.RateLimit{Statement: m.Statement, PerSecond: m.PerSecond})
}

// sendRateLimits tells the new owner of a service the rate limits that this member knows
// of.
func (p *placer) sendRateLimits(to, service string, now time.Time, limits []placement.KnownLimit) {
	if len(limits) == 0 {
		return
	}
	m := &rateLimitsMessage{Service: service}
	for _, l := range limits[:min(len(limits), maxReportedLimits)] {
		m.Limits = append(m.Limits, knownRateLimit{ID: l.ID, PerSecond: l.PerSecond, AgeMillis: now.Sub(l.DeclaredAt).Milliseconds()})
	}
	p.send(to, peer.TopicPlaceLimits, m)
}

// handleRateLimits records the rate limits that another member knows of.
func (p *placer) handleRateLimits(from string, payload []byte) {
	var m rateLimitsMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode rate limits", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	now := time.Now()
	limits := make([]placement.KnownLimit, 0, len(m.Limits))
	for _, l := range m.Limits {
		limits = append(limits, placement.KnownLimit{
			ID: l.ID, PerSecond: l.PerSecond, DeclaredAt: now.Add(-time.Duration(l.AgeMillis) * time.Millisecond),
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(m.Service).scheduler.ApplyKnownLimits(now, limits)
}
