package detection

import (
	"time"

	"github.com/carawayhold/carawayhold/outlier"
)

const (
	// baselineErrors and baselineTime define the baseline: a proxy ejects after
	// five consecutive errors and tries again after 30 s.
	baselineErrors = 5
	baselineTime   = 30 * time.Second
)

// baseline ejects per proxy, without sharing, within the proxy's own floor. It
// knows wrong answers for what they are and does not count declared refusals,
// but has no measure of slowness.
type baseline struct {
	service service
	proxies [proxyCount][]baselineEndpoint
	counted []float64
	now     time.Time
}

type baselineEndpoint struct {
	consecutive int
	until       time.Time
}

func newBaseline(s service) *baseline {
	b := &baseline{service: s, counted: make([]float64, s.endpoints)}
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
	if e.consecutive < baselineErrors || b.ejected(a.proxy, a.endpoint) || b.atFloor(a.proxy) {
		return
	}
	e.consecutive = 0
	e.until = now.Add(baselineTime)
	b.counted[a.endpoint] += 1.0 / proxyCount
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

func (b *baseline) trial(attempt, result, time.Time) {}

func (b *baseline) ejections() []float64 { return b.counted }
