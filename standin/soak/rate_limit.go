package main

import (
	"fmt"
	"strconv"
	"time"
)

// The requirement of the platform on rate limits: in any limitWindow, an endpoint gets at
// most limitFactor times what its limit allows plus limitSlack, counting the requests of
// machines that got a response with the limit at least limitDelay before, from
// stableWindow after the first declaration on.
const (
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitDelay   = 500 * time.Millisecond
	stableWindow = 3 * time.Second
	// responseTime bounds the time from the arrival of a request at an endpoint to the
	// receipt of its response by the proxy without faults.
	responseTime = processingTime + 20*time.Millisecond
)

// interval is a span of time; its end is zero while it lasts.
type interval struct{ from, to time.Time }

// beginExcuse begins a restart or freeze of the proxy, which excuses it from the rule on
// rate limits.
func (p *proxy) beginExcuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excused = append(p.excused, interval{from: time.Now()})
}

// endExcuse ends the disturbances of the proxy that last.
func (p *proxy) endExcuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.excused {
		if p.excused[i].to.IsZero() {
			p.excused[i].to = time.Now().Add(stableWindow)
		}
	}
}

// runsAt reports whether the proxy is neither stopping, stopped nor frozen.
func (p *proxy) runsAt(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.excused {
		if at.After(e.from) && (e.to.IsZero() || at.Before(e.to.Add(-stableWindow))) {
			return false
		}
	}
	return true
}

func (p *proxy) excusedAt(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.excused {
		if at.After(e.from) && (e.to.IsZero() || at.Before(e.to)) {
			return true
		}
	}
	return false
}

// varyRateLimits lets endpoints declare rate limits, change some of them, and end them
// before the end of the load.
func (s *scenario) varyRateLimits(until time.Time) {
	limits := []float64{0.5, 1, 2.5, 8}
	time.Sleep(time.Duration(s.randomIndex(1500)) * time.Millisecond)
	var limited []*relayedEndpoint
	for range 1 + s.randomIndex(3) {
		e := s.randomEndpoint()
		e.endpoint.SetRateLimit(limits[s.randomIndex(len(limits))])
		limited = append(limited, e)
	}
	time.Sleep(time.Until(until) / 2)
	if s.randomBool() {
		limited[0].endpoint.SetRateLimit(limits[s.randomIndex(len(limits))])
	}
	time.Sleep(time.Until(until) - time.Second)
	for _, e := range limited {
		e.endpoint.EndRateLimit()
	}
}

// checkRateLimits compares the requests that endpoints received with the limits that they
// declared.
func (s *scenario) checkRateLimits() {
	for _, e := range s.endpoints {
		for _, p := range e.endpoint.RateLimitPeriods() {
			s.result.limits++
			told := map[int]time.Time{}
			var counted []time.Time
			for _, r := range p.Requests {
				sender, found := s.senderOf(r.ID)
				if !found {
					continue
				}
				at, known := told[sender]
				if !known {
					told[sender] = r.At.Add(responseTime)
				}
				if known && !r.At.Before(at.Add(limitDelay)) && !s.proxies[sender].excusedAt(r.At) {
					counted = append(counted, r.At)
				}
			}
			allowed := limitFactor*p.PerSecond*limitWindow.Seconds() + limitSlack
			first := 0
			for i, at := range counted {
				for at.Sub(counted[first]) >= limitWindow {
					first++
				}
				if got := i - first + 1; float64(got) > allowed && at.Sub(p.From) >= stableWindow {
					s.recordViolation(fmt.Sprintf("%s: limit of %g a second since %s, %d requests in 4 s until %s, allowed %g",
						e.endpoint.ID(), p.PerSecond, p.From.Format(time.StampMilli), got, at.Format(time.StampMilli), allowed))
					break
				}
			}
		}
	}
}

// senderOf returns the proxy that forwarded a request of runCaller.
func (s *scenario) senderOf(id string) (int, bool) {
	number, err := strconv.ParseUint(id[4:8], 16, 16)
	if err != nil || int(number) >= callersPerProxy*len(s.proxies) {
		return 0, false
	}
	return int(number) / callersPerProxy, true
}
