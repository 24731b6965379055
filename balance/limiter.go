package balance

import "time"

const (
	// minLimit is the lowest concurrency limit: one attempt per 32 service times.
	// With 32 proxies the whole fleet then keeps one slot of the endpoint busy.
	minLimit = 1.0 / 32
	// decrease is the factor applied to the limit on a declared shed. A shed
	// costs one short round trip, so many are tolerated in exchange for busy
	// slots: without a queue in the endpoints and without coordination, keeping
	// 80% of 4 slots busy means that nearly half of the attempts are shed
	// (Erlang's loss formula).
	decrease = 0.9
	// increase is added to the limit for each attempt served while the limit
	// was in use. In the simulation of 32 proxies without endpoint queues, 0.01
	// kept 75% of the slots busy and 0.02 81%.
	increase = 0.02
	// serviceWeight is the weight of a new service time in the moving average.
	serviceWeight = 0.1
)

// limiter is an adaptive concurrency limit. Below one it spaces attempts in time.
type limiter struct {
	value   float64
	most    float64
	service time.Duration // moving average of the time an attempt takes
	openAt  time.Time     // no attempt before; used for limits below one
}

func newLimiter(slots int) limiter {
	return limiter{value: float64(slots), most: float64(slots)}
}

func (l *limiter) allows(now time.Time, inFlight int) bool {
	if now.Before(l.openAt) {
		return false
	}
	if l.value < 1 {
		return inFlight == 0
	}
	return float64(inFlight+1) <= l.value
}

// served counts an attempt that the endpoint worked on for service.
func (l *limiter) served(now time.Time, service time.Duration, inUse bool) {
	if l.service == 0 {
		l.service = service
	} else {
		l.service += time.Duration(serviceWeight * float64(service-l.service))
	}
	if inUse {
		l.value = min(l.most, l.value+increase)
	}
	l.space(now, service)
}

// shed counts an attempt that the endpoint refused.
func (l *limiter) shed(now time.Time) {
	l.value = max(minLimit, l.value*decrease)
	l.space(now, 0)
}

// space sets the earliest time of the next attempt, so that the share of time in
// which an attempt is in flight equals a limit below one.
func (l *limiter) space(now time.Time, spent time.Duration) {
	if l.value >= 1 {
		return
	}
	busy := max(spent, l.service)
	l.openAt = now.Add(time.Duration(float64(busy) * (1/l.value - 1)))
}
