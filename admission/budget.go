package admission

import "time"

const (
	// defaultBudgetPercent is the number of retries and hedges allowed, in percent
	// of requests.
	defaultBudgetPercent = 10
	// maxTokens bounds the retries and hedges that can be saved up.
	maxTokens = 20
	// maxShedRatio is the share of shed attempts above which no retry or hedge is
	// made.
	maxShedRatio = 0.2
	// localShedWeight is the weight of one attempt in the proxy's own shed ratio.
	localShedWeight = 1.0 / 64
)

// budget is a token bucket that limits retries and hedges to a share of the requests.
type budget struct {
	perRequest     float64
	tokens         float64
	localShed      float64
	fleetShed      float64
	fleetShedUntil time.Time
}

func (b *budget) earn() { b.tokens = min(maxTokens, b.tokens+b.perRequest) }

func (b *budget) observe(shed bool) {
	sample := 0.0
	if shed {
		sample = 1
	}
	b.localShed += localShedWeight * (sample - b.localShed)
}

// shedRatio returns the shed ratio of the fleet while it is fresh, and otherwise the
// proxy's own.
func (b *budget) shedRatio(now time.Time) float64 {
	if now.Before(b.fleetShedUntil) {
		return b.fleetShed
	}
	return b.localShed
}

func (b *budget) spend(now time.Time) bool {
	if b.tokens < 1 || b.shedRatio(now) > maxShedRatio {
		return false
	}
	b.tokens--
	return true
}
