package detection

import (
	"time"

	"github.com/carawayhold/carawayhold/outlier"
)

const (
	// baselineMaxErrors and baselineEjectionTime define the baseline: each
	// proxy ejects an endpoint after five consecutive errors, for 30 s.
	baselineMaxErrors    = 5
	baselineEjectionTime = 30 * time.Second
)

// baseline ejects endpoints in each proxy independently, within the proxy's
// own floor. It recognizes invalid responses and doesn't count shed requests
// as errors, but cannot detect slowness.
type baseline struct {
	service        service
	proxies        [proxyCount][]baselineEndpoint
	ejectionCounts []float64
	now            time.Time
}

type baselineEndpoint struct {
	consecutive int
	until       time.Time
}

func newBaseline(s service) *baseline {
	b := &baseline{service: s, ejectionCounts: make([]float64, s.endpoints)}
	for p := range b.proxies {
		b.proxies[p] = make([]baselineEndpoint, s.endpoints)
	}
	return b
}

func (b *baseline) weight(proxy, endpoint int) float64 {
	if b.ejected(proxy, endpoint) {
		return 0
	}
	return 1
}

func (b *baseline) ejected(proxy, endpoint int) bool {
	return b.now.Before(b.proxies[proxy][endpoint].until)
}

func (b *baseline) observe(a attempt, r result, now time.Time) {
	e := &b.proxies[a.proxy][a.endpoint]
	switch r.kind {
	case outlier.KindOK:
		e.consecutive = 0
	case outlier.KindShed:
	default:
		e.consecutive++
	}
	if e.consecutive < baselineMaxErrors || b.ejected(a.proxy, a.endpoint) || b.atFloor(a.proxy) {
		return
	}
	e.consecutive = 0
	e.until = now.Add(baselineEjectionTime)
	b.ejectionCounts[a.endpoint] += 1.0 / proxyCount
}

func (b *baseline) atFloor(proxy int) bool {
	left := 0
	for e := range b.proxies[proxy] {
		if !b.ejected(proxy, e) {
			left++
		}
	}
	return left <= b.service.floor
}

func (b *baseline) step(now time.Time) []attempt {
	b.now = now
	return nil
}

func (b *baseline) observeProbe(attempt, result, time.Time) {}

func (b *baseline) ejections() []float64 { return b.ejectionCounts }
