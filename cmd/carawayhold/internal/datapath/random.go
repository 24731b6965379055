package datapath

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// randomOfTwo chooses the endpoint with less work in flight of two random ones.
type randomOfTwo struct {
	mu       sync.Mutex
	random   *rand.Rand
	names    []string
	inFlight map[string]int
}

func newRandomOfTwo(seed uint64) *randomOfTwo {
	return &randomOfTwo{random: rand.New(rand.NewPCG(seed, seed)), inFlight: map[string]int{}}
}

func (b *randomOfTwo) setEndpoints(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.names = names
}

// Pick chooses an endpoint that is not among tried and counts it as in use.
func (b *randomOfTwo) Pick(_ time.Time, tried []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.names
	if len(tried) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(b.names), func(n string) bool { return slices.Contains(tried, n) })
	}
	if len(candidates) == 0 {
		return "", false
	}
	name := candidates[b.random.IntN(len(candidates))]
	if other := candidates[b.random.IntN(len(candidates))]; b.inFlight[other] < b.inFlight[name] {
		name = other
	}
	b.inFlight[name]++
	return name, true
}

// Done ends the use of an endpoint.
func (b *randomOfTwo) Done(name string, _ time.Time, _ *endpoint.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[name]--
	if b.inFlight[name] == 0 {
		delete(b.inFlight, name)
	}
}
