package detection

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/outlier"
)

// Noise of healthy endpoints. These are assumptions, not measurements.
const (
	noiseError      = 0.002
	noiseTimeout    = 0.0005
	noiseTail       = 0.01 // share of responses that take tailFactor times as long
	tailFactor      = 5
	latencyMedian   = 20 * time.Millisecond
	latencySigma    = 0.5
	hiccupsPerHour  = 4 // short interruptions per endpoint
	hiccupMean      = time.Second
	hiccupLongest   = 3 * time.Second
	hiccupErrors    = 0.5
	pathCutsPerHour = 1 // per proxy, to one endpoint
	pathCutLength   = 5 * time.Second
)

// interval is a stretch of a run during which one endpoint, seen from one proxy
// or from all, has trouble.
type interval struct {
	from, until time.Duration
	proxy       int // -1 for all
	slow        bool
}

// noise holds the interruptions of a run by endpoint.
type noise struct {
	intervals [][]interval
}

func newNoise(rng *rand.Rand, endpoints int, length time.Duration) *noise {
	n := &noise{intervals: make([][]interval, endpoints)}
	for e := range endpoints {
		for _, from := range arrivals(rng, hiccupsPerHour, length) {
			d := min(hiccupLongest, time.Duration(rng.ExpFloat64()*float64(hiccupMean)))
			n.intervals[e] = append(n.intervals[e], interval{from, from + d, -1, rng.IntN(2) == 0})
		}
	}
	for p := range proxyCount {
		for _, from := range arrivals(rng, pathCutsPerHour, length) {
			e := rng.IntN(endpoints)
			n.intervals[e] = append(n.intervals[e], interval{from, from + pathCutLength, p, false})
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

// result is the outcome at a healthy endpoint.
func (n *noise) result(rng *rand.Rand, a attempt) result {
	r := result{kind: outlier.KindOK, generation: 1}
	r.latency = time.Duration(float64(latencyMedian) * math.Exp(latencySigma*rng.NormFloat64()))
	if rng.Float64() < noiseTail {
		r.latency *= tailFactor
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
	case rng.Float64() < hiccupErrors:
		r.kind = outlier.KindError
	}
	return r
}
