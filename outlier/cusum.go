package outlier

import "time"

// reporterMemory is how long a reporter without reports counts as one.
const reporterMemory = 2 * time.Minute

// limits bound what a sequential test accepts.
type limits struct {
	// step bounds the growth within one report interval.
	step float64
	// total bounds the statistic, so that recovery takes bounded time.
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
	// window is the report interval in which grown was counted.
	window time.Time
	grown  float64
}

func newCUSUM(halfLife time.Duration, now time.Time) *cusum {
	return &cusum{halfLife: halfLife, at: now, shares: make(map[string]float64)}
}

func (c *cusum) add(reporter string, ratio float64, l limits, now time.Time) {
	c.fade(now)
	if ratio > 0 {
		ratio = c.bounded(reporter, ratio, l, now)
	}
	c.shares[reporter] += ratio
	c.sum += ratio
	if c.sum <= 0 {
		c.sum = 0
		clear(c.shares)
	}
}

func (c *cusum) bounded(reporter string, ratio float64, l limits, now time.Time) float64 {
	if w := now.Truncate(ReportInterval); !w.Equal(c.window) {
		c.window = w
		c.grown = 0
	}
	ratio = min(ratio, l.step-c.grown, l.total-c.sum, l.reporter-c.shares[reporter])
	ratio = max(ratio, 0)
	c.grown += ratio
	return ratio
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
