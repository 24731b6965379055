package detection

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/outlier"
)

// Noise of healthy endpoints.
const (
	noiseError           = 0.002
	noiseTimeout         = 0.0005
	noiseTail            = 0.01 // share of responses that take noiseTailFactor times as long
	noiseTailFactor      = 5
	latencyMedian        = 20 * time.Millisecond
	latencySigma         = 0.5
	interruptionsPerHour = 4 // short interruptions per endpoint
	interruptionMean     = time.Second
	interruptionMax      = 3 * time.Second
	interruptionErrors   = 0.5
	pathOutagesPerHour   = 1 // per proxy, to one endpoint
	pathOutageLength     = 5 * time.Second
)

// interval is a period of a run in which one endpoint is impaired, as seen
// from one proxy or from all.
type interval struct {
	from, until time.Duration
	proxy       int // -1 for all
	slow        bool
}

// noise holds the impairments of a run by endpoint.
type noise struct {
	intervals [][]interval
}

func newNoise(rng *rand.Rand, endpoints int, length time.Duration) *noise {
	n := &noise{intervals: make([][]interval, endpoints)}
	for e := range endpoints {
		for _, from := range arrivals(rng, interruptionsPerHour, length) {
			d := min(interruptionMax, time.Duration(rng.ExpFloat64()*float64(interruptionMean)))
			n.intervals[e] = append(n.intervals[e], interval{from, from + d, -1, rng.IntN(2) == 0})
		}
	}
	for p := range proxyCount {
		for _, from := range arrivals(rng, pathOutagesPerHour, length) {
			e := rng.IntN(endpoints)
			n.intervals[e] = append(n.intervals[e], interval{from, from + pathOutageLength, p, false})
		}
	}
	return n
}

func arrivals(rng *rand.Rand, perHour float64, length time.Duration) []time.Duration {
	var at []time.Duration
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / perHour * float64(time.Hour))
		if t >= length {
			return at
		}
		at = append(at, t)
	}
}

// healthyResult returns the result of an attempt at an endpoint without a
// scripted failure.
func (n *noise) healthyResult(rng *rand.Rand, a attempt) result {
	r := result{kind: outlier.KindOK, generation: 1}
	r.latency = time.Duration(float64(latencyMedian) * math.Exp(latencySigma*rng.NormFloat64()))
	if rng.Float64() < noiseTail {
		r.latency *= noiseTailFactor
	}
	switch x := rng.Float64(); {
	case x < noiseError:
		r.kind = outlier.KindError
	case x < noiseError+noiseTimeout:
		r.kind = outlier.KindTimeout
	}
	for _, i := range n.intervals[a.endpoint] {
		if a.at >= i.from && a.at < i.until && (i.proxy < 0 || i.proxy == a.proxy) {
			r = i.apply(rng, r)
		}
	}
	return r
}

func (i interval) apply(rng *rand.Rand, r result) result {
	switch {
	case i.proxy >= 0:
		r.kind = outlier.KindTimeout
	case i.slow:
		r.latency *= 10
	case rng.Float64() < interruptionErrors:
		r.kind = outlier.KindError
	}
	return r
}
