package detection

import (
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/outlier"
)

// Times of a scenario. No failure occurs before onset, so that the latency
// baselines have samples.
const (
	onset        = 150 * time.Second
	grayDuration = 120 * time.Second
	// hour is the length of a run without failures.
	hour = time.Hour
	// responseDeadline is the time after which a request without a response
	// counts as a timeout.
	responseDeadline = time.Second
)

// attempt is one request or probe to an endpoint.
type attempt struct {
	at       time.Duration // since the start of the run
	endpoint int
	proxy    int
	// caller identifies the caller by a number from 0 to 1.
	caller float64
}

func (a attempt) zone() int { return a.proxy % zoneCount }

// result is what the proxy observes. The kind OK still has to be checked for
// slowness.
type result struct {
	kind    outlier.Kind
	latency time.Duration
	// generation grows when the endpoint process is replaced.
	generation int64
}

// scenario changes results from onset on. Except for a failure of the whole
// service, only endpoint 0 is affected.
type scenario struct {
	name string
	// gray scenarios have an endpoint that should be ejected; in all others
	// every ejection is a false one.
	gray   bool
	length time.Duration
	apply  func(rng *rand.Rand, a attempt, r result) result
}

var scenarios = []scenario{
	{name: "wrong answers, 10%", gray: true, length: onset + grayDuration, apply: share(0.1, outlier.KindInvalid)},
	{name: "errors, all", gray: true, length: onset + grayDuration, apply: share(1, outlier.KindError)},
	{name: "errors, 30%", gray: true, length: onset + grayDuration, apply: share(0.3, outlier.KindError)},
	{name: "slow, 8 times", gray: true, length: onset + grayDuration, apply: slowBy(8)},
	{name: "errors for 1 in 10 callers", gray: true, length: onset + grayDuration, apply: someCallers},
	{name: "flapping, 20 s of 60% errors, 20 s well", gray: true, length: onset + grayDuration, apply: flapping},
	{name: "silent connections, 50%", gray: true, length: onset + grayDuration, apply: share(0.5, outlier.KindUnresponsive)},
	{name: "no answers", gray: true, length: onset + grayDuration, apply: share(1, outlier.KindTimeout)},
	{name: "cold start", length: onset + grayDuration, apply: coldStart},
	{name: "shed, 40%", length: onset + grayDuration, apply: share(0.4, outlier.KindShed)},
	{name: "overload of the whole service", length: onset + grayDuration, apply: overload},
	{name: "unreachable from one zone", length: onset + grayDuration, apply: isolateZone},
	{name: "unreachable from 4 proxies in 2 zones", length: onset + grayDuration, apply: isolateProxies},
	{name: "ordinary hour", length: hour, apply: func(_ *rand.Rand, _ attempt, r result) result { return r }},
}

// affected reports whether the attempt goes to the affected endpoint after the
// onset.
func (a attempt) affected() bool { return a.endpoint == 0 && a.at >= onset }

func share(p float64, k outlier.Kind) func(*rand.Rand, attempt, result) result {
	return func(rng *rand.Rand, a attempt, r result) result {
		if a.affected() && rng.Float64() < p {
			r.kind = k
		}
		return r
	}
}

func slowBy(factor float64) func(*rand.Rand, attempt, result) result {
	return func(_ *rand.Rand, a attempt, r result) result {
		if a.affected() {
			r.latency = time.Duration(float64(r.latency) * factor)
		}
		return r
	}
}

func someCallers(_ *rand.Rand, a attempt, r result) result {
	if a.affected() && a.caller < 0.1 {
		r.kind = outlier.KindError
	}
	return r
}

func flapping(rng *rand.Rand, a attempt, r result) result {
	phase := (a.at - onset) % (40 * time.Second)
	if a.affected() && phase < 20*time.Second && rng.Float64() < 0.6 {
		r.kind = outlier.KindError
	}
	return r
}

// coldStart replaces the endpoint process, which then responds 6 times as
// slowly for 8 s.
func coldStart(_ *rand.Rand, a attempt, r result) result {
	if !a.affected() {
		return r
	}
	r.generation++
	if a.at < onset+8*time.Second {
		r.latency *= 6
	}
	return r
}

// overload makes all endpoints fail and slow down within 2 s, for 60 s, each
// to a different degree.
func overload(rng *rand.Rand, a attempt, r result) result {
	since := a.at - onset
	if since < 0 || since > time.Minute {
		return r
	}
	level := min(1, since.Seconds()/2) * (0.7 + 0.1*float64(a.endpoint%7))
	r.latency = time.Duration(float64(r.latency) * (1 + 3*level))
	switch x := rng.Float64(); {
	case x < 0.25*level:
		r.kind = outlier.KindError
	case x < 0.35*level:
		r.kind = outlier.KindTimeout
	}
	return r
}

func isolateZone(_ *rand.Rand, a attempt, r result) result {
	if a.affected() && a.zone() == 1 {
		r.kind = outlier.KindTimeout
	}
	return r
}

func isolateProxies(_ *rand.Rand, a attempt, r result) result {
	if a.affected() && (a.proxy == 0 || a.proxy == 1 || a.proxy == 3 || a.proxy == 4) {
		r.kind = outlier.KindTimeout
	}
	return r
}
