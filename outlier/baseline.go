package outlier

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// A latency above slowFactor times the baselineQuantile of the other
	// endpoints is slow.
	baselineQuantile = 0.95
	slowFactor       = 2
	// minBaselineSamples is the number of latencies from which an endpoint's own
	// percentile is used, or that of the other endpoints pooled.
	minBaselineSamples = 20
	// minBaselineEndpoints is the number of other endpoints from which the median
	// of their percentiles is used instead of the pooled percentile.
	minBaselineEndpoints = 3
	// minSlowLatency is the least latency that can count as slow. Below it,
	// timer and scheduling noise dominates.
	minSlowLatency = 5 * time.Millisecond
	// bucketsPerDoubling gives latency buckets of about 9% width.
	bucketsPerDoubling = 8
	bucketCount        = 24 * bucketsPerDoubling
	bucketBase         = 10 * time.Microsecond
	// baselineHalfLife is the interval at which the weight of all recorded
	// latencies is halved. It is long because a proxy may send an endpoint only
	// one request in 15 s.
	baselineHalfLife = 5 * time.Minute
)

// LatencyBaseline compares the latency of an endpoint with the service's other
// endpoints, per request class, as seen by one proxy. It is safe for concurrent
// use.
type LatencyBaseline struct {
	mu      sync.Mutex
	classes map[string]*classBaseline
}

type classBaseline struct {
	endpoints    map[string]*latencyHistogram
	thresholds   map[string]time.Duration
	thresholdsAt time.Time
	halvedAt     time.Time
}

type latencyHistogram struct {
	buckets [bucketCount]float64
	total   float64
}

// NewLatencyBaseline returns a baseline without latencies. No response is slow
// until enough of them have been observed.
func NewLatencyBaseline() *LatencyBaseline {
	return &LatencyBaseline{classes: make(map[string]*classBaseline)}
}

// Observe records the latency of a correct response and reports whether it is
// slow compared with the service's other endpoints.
func (b *LatencyBaseline) Observe(class, endpoint string, latency time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.classes[class]
	if c == nil {
		c = &classBaseline{endpoints: make(map[string]*latencyHistogram), halvedAt: now}
		b.classes[class] = c
	}
	c.refresh(now)
	threshold, ok := c.thresholds[endpoint]
	slow := ok && latency > threshold
	l := c.endpoints[endpoint]
	if l == nil {
		l = &latencyHistogram{}
		c.endpoints[endpoint] = l
	}
	l.add(latency)
	return slow
}

// Threshold returns the latency above which a response of the endpoint is slow,
// and false while the other endpoints have too few recorded latencies.
func (b *LatencyBaseline) Threshold(class, endpoint string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.classes[class]
	if c == nil {
		return 0, false
	}
	threshold, ok := c.thresholds[endpoint]
	return threshold, ok
}

// RetainOnly drops the latencies of all endpoints except the given ones.
func (b *LatencyBaseline) RetainOnly(endpoints []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.classes {
		for name := range c.endpoints {
			if !slices.Contains(endpoints, name) {
				delete(c.endpoints, name)
				delete(c.thresholds, name)
			}
		}
	}
}

// refresh computes the thresholds at most once per report interval, because
// sorting for each request would cost more than the request.
func (c *classBaseline) refresh(now time.Time) {
	if c.thresholds != nil && now.Sub(c.thresholdsAt) < ReportInterval {
		return
	}
	c.thresholdsAt = now
	if now.Sub(c.halvedAt) >= baselineHalfLife {
		c.halvedAt = now
		for _, l := range c.endpoints {
			l.halve()
		}
	}
	percentiles := make(map[string]time.Duration)
	for name, l := range c.endpoints {
		if l.total >= minBaselineSamples {
			percentiles[name] = l.quantile(baselineQuantile)
		}
	}
	c.thresholds = make(map[string]time.Duration, len(c.endpoints))
	for name := range c.endpoints {
		if p, ok := c.baseline(percentiles, name); ok {
			c.thresholds[name] = max(minSlowLatency, slowFactor*p)
		}
	}
}

// baseline returns the lower median of the other endpoints' percentiles, so that
// a second slow endpoint does not hide the first. While too few endpoints have
// enough latencies, it returns the percentile of their pooled latencies.
func (c *classBaseline) baseline(percentiles map[string]time.Duration, self string) (time.Duration, bool) {
	var others []time.Duration
	for name, p := range percentiles {
		if name != self {
			others = append(others, p)
		}
	}
	if len(others) >= minBaselineEndpoints {
		slices.Sort(others)
		return others[(len(others)-1)/2], true
	}
	var pooled latencyHistogram
	for name, l := range c.endpoints {
		if name != self {
			pooled.merge(l)
		}
	}
	if pooled.total < minBaselineSamples {
		return 0, false
	}
	return pooled.quantile(baselineQuantile), true
}

func (l *latencyHistogram) merge(o *latencyHistogram) {
	for i, n := range o.buckets {
		l.buckets[i] += n
	}
	l.total += o.total
}

func (l *latencyHistogram) add(d time.Duration) {
	l.buckets[bucketIndex(d)]++
	l.total++
}

func (l *latencyHistogram) halve() {
	l.total = 0
	for i := range l.buckets {
		l.buckets[i] /= 2
		l.total += l.buckets[i]
	}
}

func (l *latencyHistogram) quantile(q float64) time.Duration {
	rank := q * l.total
	seen := 0.0
	for i, n := range l.buckets {
		seen += n
		if seen >= rank && n > 0 {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

func bucketIndex(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(bucketBase)) * bucketsPerDoubling)
	return min(i, bucketCount-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Exp2(float64(i+1)/bucketsPerDoubling))
}
