package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
)

// endpointLog logs when an endpoint of a service becomes suspected or recovers, and when
// its rate limit changes.
type endpointLog struct {
	service string
	logger  *zap.Logger
}

// SuspicionChanged implements placement.Observer.
func (l *endpointLog) SuspicionChanged(t placement.SuspicionChange) {
	message := "endpoint: back"
	if t.Suspected {
		message = "endpoint: suspected"
	}
	cause := t.Evidence.Outcome.String()
	switch {
	case t.Evidence.Remote:
		cause = "hub"
	case t.Evidence.Outcome == placement.OutcomeNone:
		cause = "evidence_old"
	}
	l.logger.Info(message, zap.String("service", l.service), zap.String("endpoint", t.Endpoint),
		zap.String("cause", cause), attemptToken(t.Evidence.Token),
		zap.Float64("failing", t.FailureProbability), zap.Int("in_flight", t.InFlight))
}

// RateLimitChanged implements placement.Observer.
func (l *endpointLog) RateLimitChanged(c placement.RateLimitChange) {
	message := "endpoint: rate limit ended"
	if c.Limited {
		message = "endpoint: rate limit declared"
	}
	l.logger.Info(message, zap.String("service", l.service), zap.String("endpoint", c.Endpoint),
		attemptToken(c.Token), zap.Float64("per_second", c.PerSecond), zap.Int("granted", c.Granted),
		zap.Duration("since", time.Since(c.Since)))
}

// serviceStats are the statistics of this member's view of a service. The view covers the
// whole fleet if the member owns the service.
type serviceStats struct {
	placement.Stats
	// totalRetriesLeft is the remaining retry budget, including that for placements without the
	// hub.
	totalRetriesLeft float64
	placedHere       float64 // 1 if this member owns the service, else 0
}

func (p *placer) serviceStats(name string) serviceStats {
	owned := p.fleet.owns(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	s := p.services[name]
	f := serviceStats{Stats: s.scheduler.Stats(now), totalRetriesLeft: s.localBudget.Remaining(now)}
	if owned {
		f.placedHere = 1
		f.totalRetriesLeft += f.RetriesLeft
	}
	return f
}
