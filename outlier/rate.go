package outlier

import (
	"math"
	"time"
)

// decayed counts outcomes with an exponential memory.
type decayed struct {
	halfLife time.Duration
	at       time.Time
	kinds    [kindCount]float64
	judged   float64
}

func (d *decayed) fade(now time.Time) {
	factor := fadeFactor(now.Sub(d.at), d.halfLife)
	d.at = now
	if factor == 1 {
		return
	}
	for k := range d.kinds {
		d.kinds[k] *= factor
	}
	d.judged *= factor
}

func (d *decayed) add(c Counts) {
	for k := range d.kinds {
		d.kinds[k] += float64(c.Count(Kind(k)))
	}
	d.judged += c.judged()
}

func (d *decayed) failures() float64 { return d.judged - d.kinds[KindOK] }

// fadeFactor is 1 for no time, and also if time went backwards.
func fadeFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
