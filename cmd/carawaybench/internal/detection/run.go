package detection

import (
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/outlier"
)

// tick is the time resolution of a run.
const tick = 100 * time.Millisecond

// decider decides for every proxy how much traffic each endpoint receives.
type decider interface {
	// weight returns the traffic that a proxy gives to an endpoint, relative
	// to an equal share.
	weight(proxy, endpoint int) float64
	// observe handles the result of a request when it arrives.
	observe(a attempt, r result, now time.Time)
	// step runs everything that is due, and returns the probes to send.
	step(now time.Time) []attempt
	// observeProbe handles the result of a probe.
	observeProbe(a attempt, r result, now time.Time)
	// ejections returns the number of ejections so far by endpoint. One in a
	// single proxy counts as a fraction of the fleet.
	ejections() []float64
	// ejected reports whether a proxy treats the endpoint as ejected.
	ejected(proxy, endpoint int) bool
}

// outcome is the result of one run.
type outcome struct {
	// detection holds for every proxy the time from onset until it ejected the
	// gray endpoint, or grayDuration if it never did.
	detection []time.Duration
	// exposure is the number of requests that the gray endpoint received after
	// the onset, in seconds of an equal share.
	exposure float64
	// falseEjections counts ejections of healthy endpoints. One in a single
	// proxy counts as a fraction of the fleet.
	falseEjections float64
	// healthyHours is the simulated time summed over the healthy endpoints.
	healthyHours float64
}

type pendingResult struct {
	attempt attempt
	result  result
	due     time.Duration
	probe   bool
}

// run is one seeded simulation of a service under a scenario.
type run struct {
	service  service
	scenario scenario
	decider  decider
	traffic  *rand.Rand
	faults   *rand.Rand
	noise    *noise
	pending  []pendingResult
	epoch    time.Time
	sent     float64
}

func newRun(s service, sc scenario, d decider, seed uint64) *run {
	faults := rand.New(rand.NewPCG(seed, 1))
	return &run{
		service: s, scenario: sc, decider: d,
		traffic: rand.New(rand.NewPCG(seed, 0)),
		faults:  faults,
		noise:   newNoise(faults, s.endpoints, sc.length),
		epoch:   runEpoch,
	}
}

var runEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (r *run) measure() outcome {
	var o outcome
	detected := make([]time.Duration, proxyCount)
	for at := time.Duration(0); at < r.scenario.length; at += tick {
		now := r.epoch.Add(at)
		r.complete(at, now)
		for _, a := range r.decider.step(now) {
			a.at, a.caller = at, r.traffic.Float64()
			r.send(a, true)
		}
		r.requests(at)
		if r.scenario.gray && at >= onset {
			for p := range detected {
				if detected[p] == 0 && r.decider.ejected(p, 0) {
					detected[p] = at - onset
				}
			}
		}
	}
	first := 0
	if r.scenario.gray {
		first = 1
		for _, d := range detected {
			if d == 0 {
				d = grayDuration
			}
			o.detection = append(o.detection, d)
		}
		o.exposure = r.sent / (r.service.rate / float64(r.service.endpoints))
	}
	for _, n := range r.decider.ejections()[first:] {
		o.falseEjections += n
	}
	o.healthyHours = float64(r.service.endpoints-first) * r.scenario.length.Hours()
	return o
}

// requests sends the requests that arrive in one tick, each through a random
// proxy.
func (r *run) requests(at time.Duration) {
	mean := r.service.rate * tick.Seconds()
	for left := r.traffic.ExpFloat64(); left < mean; left += r.traffic.ExpFloat64() {
		a := attempt{at: at, proxy: r.traffic.IntN(proxyCount), caller: r.traffic.Float64()}
		a.endpoint = r.choose(a.proxy)
		if a.endpoint == 0 && at >= onset {
			r.sent++
		}
		r.send(a, false)
	}
}

func (r *run) choose(proxy int) int {
	weights := make([]float64, r.service.endpoints)
	total := 0.0
	for e := range weights {
		weights[e] = r.decider.weight(proxy, e)
		total += weights[e]
	}
	x := r.traffic.Float64() * total
	for e, w := range weights {
		if x -= w; x < 0 {
			return e
		}
	}
	return len(weights) - 1
}

func (r *run) send(a attempt, probe bool) {
	res := r.scenario.apply(r.faults, a, r.noise.healthyResult(r.faults, a))
	if res.kind == outlier.KindOK && res.latency >= responseDeadline {
		res.kind = outlier.KindTimeout
	}
	if res.kind == outlier.KindTimeout || res.kind == outlier.KindUnresponsive {
		res.latency = responseDeadline
	}
	r.pending = append(r.pending, pendingResult{attempt: a, result: res, due: a.at + res.latency, probe: probe})
}

func (r *run) complete(at time.Duration, now time.Time) {
	kept := r.pending[:0]
	for _, p := range r.pending {
		switch {
		case p.due > at:
			kept = append(kept, p)
		case p.probe:
			r.decider.observeProbe(p.attempt, p.result, now)
		default:
			r.decider.observe(p.attempt, p.result, now)
		}
	}
	r.pending = kept
}
