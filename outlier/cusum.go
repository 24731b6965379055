package outlier

import "time"

// reporterMemory is how long a reporter without reports counts as one.
const reporterMemory = 2 * time.Minute

// limits bound what a sequential test accepts.
type limits struct {
	// total bounds the statistic.
	total float64
	// reporter bounds the part that one reporter contributes.
	reporter float64
}

// cusum is the sequential test of one endpoint and kind. The statistic is the
// sum of the reporters' shares since it was last zero.
type cusum struct {
	halfLife time.Duration
	at       time.Time
	sum      float64
	shares   map[string]float64
	// gains are the unbounded ratios by report interval since the sum was last
	// zero.
	gains []gain
}

type gain struct {
	at    time.Time
	ratio float64
}

func newCUSUM(halfLife time.Duration, now time.Time) *cusum {
	return &cusum{halfLife: halfLife, at: now, shares: make(map[string]float64)}
}

// add takes the log-likelihood ratio of one report.
func (c *cusum) add(reporter string, ratio float64, l limits, now time.Time) {
	c.fade(now)
	c.addGain(ratio, now)
	if ratio > 0 {
		ratio = max(0, min(ratio, l.total-c.sum, l.reporter-c.shares[reporter]))
	}
	c.shares[reporter] += ratio
	c.sum += ratio
	if c.sum <= 0 {
		c.clear()
	}
}

func (c *cusum) addGain(ratio float64, now time.Time) {
	at := now.Truncate(ReportInterval)
	if n := len(c.gains); n > 0 && c.gains[n-1].at.Equal(at) {
		c.gains[n-1].ratio += ratio
		return
	}
	for len(c.gains) > 0 && at.Sub(c.gains[0].at) > stretchMemory {
		c.gains = c.gains[1:]
	}
	c.gains = append(c.gains, gain{at: at, ratio: ratio})
}

func (c *cusum) clear() {
	c.sum = 0
	c.gains = nil
	clear(c.shares)
}

// withoutWorst returns the gains without those of the stretch of the given
// length that contributes most.
func (c *cusum) withoutWorst(length time.Duration) float64 {
	total, stretch, worst, from := 0.0, 0.0, 0.0, 0
	for _, g := range c.gains {
		total += g.ratio
		stretch += g.ratio
		for g.at.Sub(c.gains[from].at) >= length {
			stretch -= c.gains[from].ratio
			from++
		}
		worst = max(worst, stretch)
	}
	return total - worst
}

func (c *cusum) value(now time.Time) float64 {
	c.fade(now)
	return c.sum
}

func (c *cusum) fade(now time.Time) {
	factor := fadeFactor(now.Sub(c.at), c.halfLife)
	c.at = now
	if factor == 1 {
		return
	}
	c.sum *= factor
	for r := range c.shares {
		c.shares[r] *= factor
	}
}
