package admission

import "time"

const (
	// defaultBudgetPercent is the number of retries and hedges in percent of
	// requests.
	defaultBudgetPercent = 10
	// budgetCap bounds the retries that can be saved up.
	budgetCap = 20
	// shedThreshold is the share of shed attempts above which no retry is made.
	shedThreshold = 0.2
	// ownShedWeight is the weight of one attempt in the proxy's own shed ratio.
	ownShedWeight = 1.0 / 64
)

// budget limits retries and hedges to a share of the requests.
type budget struct {
	perRequest float64
	tokens     float64
	ownShed    float64
	fleetShed  float64
	fleetUntil time.Time
}

func (b *budget) earn() { b.tokens = min(budgetCap, b.tokens+b.perRequest) }

func (b *budget) observe(shed bool) {
	sample := 0.0
	if shed {
		sample = 1
	}
	b.ownShed += ownShedWeight * (sample - b.ownShed)
}

// shedRatio is the fleet's figure while it is fresh, and the proxy's own after.
func (b *budget) shedRatio(now time.Time) float64 {
	if now.Before(b.fleetUntil) {
		return b.fleetShed
	}
	return b.ownShed
}

func (b *budget) spend(now time.Time) bool {
	if b.tokens < 1 || b.shedRatio(now) > shedThreshold {
		return false
	}
	b.tokens--
	return true
}
