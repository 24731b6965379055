package placement

import (
	"math"
	"time"
)

func decay(value float64, age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return value
	}
	return value * math.Exp(-float64(age)/float64(timeConstant))
}

// budgetBuckets is the number of buckets in the sliding window.
const budgetBuckets = 10

// Budget limits the retries of a service in a sliding window to a share of its requests
// and a fixed burst, so that callers cannot cause retry storms.
type Budget struct {
	ratio       float64
	burst       float64
	bucketWidth time.Duration
	start       time.Time
	requests    [budgetBuckets]int
	retries     [budgetBuckets]int
	newest      int64
}

// NewBudget returns a budget of ratio * requests + burst retries in any window.
func NewBudget(ratio, burst float64, window time.Duration, start time.Time) *Budget {
	return &Budget{ratio: ratio, burst: burst, bucketWidth: window / budgetBuckets, start: start}
}

func (b *Budget) advance(now time.Time) int {
	n := int64(now.Sub(b.start) / b.bucketWidth)
	for ; b.newest < n; b.newest++ {
		i := (b.newest + 1) % budgetBuckets
		b.requests[i], b.retries[i] = 0, 0
		if n-b.newest > 2*budgetBuckets {
			b.newest = n - 2*budgetBuckets
		}
	}
	return int(b.newest % budgetBuckets)
}

// SetBurst replaces the number of retries beyond the share of requests.
func (b *Budget) SetBurst(burst float64) { b.burst = burst }

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) { b.requests[b.advance(now)]++ }

// Allow reports whether the budget allows a retry, and charges it if so.
func (b *Budget) Allow(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// ResetWithoutBurst forgets all requests and counts the burst as spent, because the
// former owner of the budget may have spent it within the window.
func (b *Budget) ResetWithoutBurst(now time.Time) {
	i := b.advance(now)
	b.requests, b.retries = [budgetBuckets]int{}, [budgetBuckets]int{}
	b.retries[i] = int(math.Ceil(b.burst))
}

// Remaining returns the number of retries that the budget allows at now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	var requests, retries int
	for k := range budgetBuckets {
		requests += b.requests[k]
		retries += b.retries[k]
	}
	return b.ratio*float64(requests) + b.burst - float64(retries)
}
