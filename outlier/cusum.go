package outlier

import "time"

// reporterRetention is how long a proxy counts as a reporter after its last
// report.
const reporterRetention = 2 * time.Minute

// limits bound the statistic of a sequential test.
type limits struct {
	total float64
	// reporter bounds the contribution of one reporter.
	reporter float64
}

// cusum is the sequential test of one endpoint and kind. The statistic is the
// sum of the reporters' contributions since it was last zero.
type cusum struct {
	halfLife  time.Duration
	updatedAt time.Time
	sum       float64
	shares    map[string]float64
	// gains are the log-likelihood ratios per report interval, without the
	// limits, since the sum was last zero.
	gains []gain
}

type gain struct {
	at    time.Time
	ratio float64
}

func newCUSUM(halfLife time.Duration, now time.Time) *cusum {
	return &cusum{halfLife: halfLife, updatedAt: now, shares: make(map[string]float64)}
}

// add adds the log-likelihood ratio of one report.
func (c *cusum) add(reporter string, ratio float64, l limits, now time.Time) {
	c.decay(now)
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
	for len(c.gains) > 0 && at.Sub(c.gains[0].at) > gainRetention {
		c.gains = c.gains[1:]
	}
	c.gains = append(c.gains, gain{at: at, ratio: ratio})
}

func (c *cusum) clear() {
	c.sum = 0
	c.gains = nil
	clear(c.shares)
}

// sumWithoutWorstWindow returns the sum of the gains outside the time window of
// the given length that contributes most.
func (c *cusum) sumWithoutWorstWindow(length time.Duration) float64 {
	total, inWindow, worst, from := 0.0, 0.0, 0.0, 0
	for _, g := range c.gains {
		total += g.ratio
		inWindow += g.ratio
		for g.at.Sub(c.gains[from].at) >= length {
			inWindow -= c.gains[from].ratio
			from++
		}
		worst = max(worst, inWindow)
	}
	return total - worst
}

func (c *cusum) value(now time.Time) float64 {
	c.decay(now)
	return c.sum
}

func (c *cusum) decay(now time.Time) {
	factor := decayFactor(now.Sub(c.updatedAt), c.halfLife)
	c.updatedAt = now
	if factor == 1 {
		return
	}
	c.sum *= factor
	for r := range c.shares {
		c.shares[r] *= factor
	}
}
