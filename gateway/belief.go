package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
)

// beliefLog writes a line for each endpoint of a service that becomes suspected or
// is no longer.
type beliefLog struct {
	service string
	logger  *zap.Logger
}

// Changed implements placement.Observer.
func (b *beliefLog) Changed(t placement.SuspicionChange) {
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
	b.logger.Info(message, zap.String("service", b.service), zap.String("endpoint", t.Endpoint),
		zap.String("cause", cause), attemptToken(t.Evidence.Token),
		zap.Float64("failing", t.FailureProbability), zap.Int("in_flight", t.InFlight))
}

// serviceFigures are those of this member's view, which is the fleet's if the member
// places the requests of the service.
type serviceFigures struct {
	placement.Stats
	// repeatsLeft includes those that this member may make without the hub.
	repeatsLeft float64
	placedHere  float64 // 1 if this member places the requests of the service
}

func (p *placer) figures(name string) serviceFigures {
	owned := p.fleet.owns(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	s := p.services[name]
	f := serviceFigures{Stats: s.scheduler.Stats(now), repeatsLeft: s.alone.Remaining(now)}
	if owned {
		f.placedHere = 1
		f.repeatsLeft += f.RetriesLeft
	}
	return f
}
