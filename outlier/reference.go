package outlier

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// referenceQuantile and slowFactor define slow: above slowFactor times the
	// 95th percentile of the other endpoints.
	referenceQuantile = 0.95
	slowFactor        = 2
	// referenceSamples is the least number of latencies of an endpoint whose own
	// percentile is used, or of the others together while each has fewer.
	referenceSamples = 20
	// referenceEndpoints is the least number of other endpoints for a median.
	referenceEndpoints = 3
	// slowMinimum is the least latency that can count as slow; below it, timer
	// and scheduling noise decides.
	slowMinimum = 5 * time.Millisecond
	// bucketsPerDoubling gives latency buckets of about 9% width.
	bucketsPerDoubling = 8
	bucketCount        = 24 * bucketsPerDoubling
	bucketBase         = 10 * time.Microsecond
	// referenceHalfLife is the interval after which older latencies count half. A
	// proxy may see one request of an endpoint in 15 s.
	referenceHalfLife = 5 * time.Minute
)

// LatencyBaseline judges latencies of one service in one proxy against the other
// endpoints of the service, per request class. It is safe for concurrent use.
type LatencyBaseline struct {
	mu      sync.Mutex
	classes map[string]*classReference
}

type classReference struct {
	endpoints map[string]*latencies
	limits    map[string]time.Duration
	limitsAt  time.Time
	fadedAt   time.Time
}

type latencies struct {
	buckets [bucketCount]float64
	total   float64
}

// NewLatencyBaseline returns a baseline without latencies: nothing is slow yet.
func NewLatencyBaseline() *LatencyBaseline {
	return &LatencyBaseline{classes: make(map[string]*classReference)}
}

// Observe records the latency of a correct response and reports whether it is slow
// against the service's other endpoints.
func (r *LatencyBaseline) Observe(class, endpoint string, latency time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[class]
	if c == nil {
		c = &classReference{endpoints: make(map[string]*latencies), fadedAt: now}
		r.classes[class] = c
	}
	c.refresh(now)
	limit, ok := c.limits[endpoint]
	slow := ok && latency > limit
	l := c.endpoints[endpoint]
	if l == nil {
		l = &latencies{}
		c.endpoints[endpoint] = l
	}
	l.add(latency)
	return slow
}

// Threshold returns the latency above which a response of the endpoint is slow, and
// false while the other endpoints have too few latencies.
func (r *LatencyBaseline) Threshold(class, endpoint string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[class]
	if c == nil {
		return 0, false
	}
	limit, ok := c.limits[endpoint]
	return limit, ok
}

// RetainOnly forgets all endpoints but the given.
func (r *LatencyBaseline) RetainOnly(endpoints []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		for name := range c.endpoints {
			if !slices.Contains(endpoints, name) {
				delete(c.endpoints, name)
				delete(c.limits, name)
			}
		}
	}
}

// refresh computes the limits once per report interval, because a sort per
// request would cost more than the request.
func (c *classReference) refresh(now time.Time) {
	if c.limits != nil && now.Sub(c.limitsAt) < ReportInterval {
		return
	}
	c.limitsAt = now
	if now.Sub(c.fadedAt) >= referenceHalfLife {
		c.fadedAt = now
		for _, l := range c.endpoints {
			l.halve()
		}
	}
	percentiles := make(map[string]time.Duration)
	for name, l := range c.endpoints {
		if l.total >= referenceSamples {
			percentiles[name] = l.quantile(referenceQuantile)
		}
	}
	c.limits = make(map[string]time.Duration, len(c.endpoints))
	for name := range c.endpoints {
		if p, ok := c.reference(percentiles, name); ok {
			c.limits[name] = max(slowMinimum, slowFactor*p)
		}
	}
}

// reference is the lower median of the other endpoints' percentiles, so that a
// second slow endpoint does not hide the first. While too few endpoints have enough
// latencies, it is the percentile of all of them together.
func (c *classReference) reference(percentiles map[string]time.Duration, self string) (time.Duration, bool) {
	var others []time.Duration
	for name, p := range percentiles {
		if name != self {
			others = append(others, p)
		}
	}
	if len(others) >= referenceEndpoints {
		slices.Sort(others)
		return others[(len(others)-1)/2], true
	}
	var pooled latencies
	for name, l := range c.endpoints {
		if name != self {
			pooled.merge(l)
		}
	}
	if pooled.total < referenceSamples {
		return 0, false
	}
	return pooled.quantile(referenceQuantile), true
}

func (l *latencies) merge(o *latencies) {
	for i, n := range o.buckets {
		l.buckets[i] += n
	}
	l.total += o.total
}

func (l *latencies) add(d time.Duration) {
	l.buckets[bucketOf(d)]++
	l.total++
}

func (l *latencies) halve() {
	l.total = 0
	for i := range l.buckets {
		l.buckets[i] /= 2
		l.total += l.buckets[i]
	}
}

func (l *latencies) quantile(q float64) time.Duration {
	rank := q * l.total
	seen := 0.0
	for i, n := range l.buckets {
		seen += n
		if seen >= rank && n > 0 {
			return bucketTop(i)
		}
	}
	return bucketTop(bucketCount - 1)
}

func bucketOf(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(bucketBase)) * bucketsPerDoubling)
	return min(i, bucketCount-1)
}

func bucketTop(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Exp2(float64(i+1)/bucketsPerDoubling))
}
