package outlier

import (
	"math"
	"time"
)

// decayedCounts counts outcomes with exponential decay.
type decayedCounts struct {
	halfLife  time.Duration
	updatedAt time.Time
	kinds     [kindCount]float64
	evaluated float64
}

func (d *decayedCounts) decay(now time.Time) {
	factor := decayFactor(now.Sub(d.updatedAt), d.halfLife)
	d.updatedAt = now
	if factor == 1 {
		return
	}
	for k := range d.kinds {
		d.kinds[k] *= factor
	}
	d.evaluated *= factor
}

func (d *decayedCounts) add(c Counts) {
	for k := range d.kinds {
		d.kinds[k] += float64(c.Count(Kind(k)))
	}
	d.evaluated += c.evaluated()
}

func (d *decayedCounts) failures() float64 { return d.evaluated - d.kinds[KindOK] }

// decayFactor returns 1 if no time has elapsed or the clock went backwards.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
