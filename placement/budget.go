package placement

import (
	"math"
	"time"
)

func decay(value float64, age, memory time.Duration) float64 {
	if age <= 0 {
		return value
	}
	return value * math.Exp(-float64(age)/float64(memory))
}

// budgetBuckets is the number of parts of the budget window.
const budgetBuckets = 10

// Budget bounds the repeated attempts of a service in a sliding window. It
// answers retry storms: repeats are a share of the requests and a fixed burst,
// whatever the callers do.
type Budget struct {
	ratio  float64
	burst  float64
	width  time.Duration
	start  time.Time
	first  [budgetBuckets]int
	repeat [budgetBuckets]int
	newest int64
}

// NewBudget returns a budget of ratio x requests + burst repeats in any window.
func NewBudget(ratio, burst float64, window time.Duration, start time.Time) *Budget {
	return &Budget{ratio: ratio, burst: burst, width: window / budgetBuckets, start: start}
}

func (b *Budget) advance(now time.Time) int {
	n := int64(now.Sub(b.start) / b.width)
	for ; b.newest < n; b.newest++ {
		i := (b.newest + 1) % budgetBuckets
		b.first[i], b.repeat[i] = 0, 0
		if n-b.newest > 2*budgetBuckets {
			b.newest = n - 2*budgetBuckets
		}
	}
	return int(b.newest % budgetBuckets)
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) { b.first[b.advance(now)]++ }

// Allow charges a repeat and reports whether the budget allows it.
func (b *Budget) Allow(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.repeat[b.advance(now)]++
	return true
}

// Restart forgets all requests and takes the burst as spent: whoever had the budget
// before may have spent it within the window.
func (b *Budget) Restart(now time.Time) {
	i := b.advance(now)
	b.first, b.repeat = [budgetBuckets]int{}, [budgetBuckets]int{}
	b.repeat[i] = int(math.Ceil(b.burst))
}

// Remaining returns the number of repeats that the budget allows now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	var first, repeat int
	for k := range budgetBuckets {
		first += b.first[k]
		repeat += b.repeat[k]
	}
	return b.ratio*float64(first) + b.burst - float64(repeat)
}
