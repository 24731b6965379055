package balance

import "time"

const (
	// minLimit is the lowest concurrency limit: one attempt per 32 service times.
	// With 32 proxies, the whole fleet then keeps one slot of the endpoint busy.
	minLimit = 1.0 / 32
	// decreaseFactor is applied to the limit on a declared shed. It is close to 1,
	// because a shed costs only a short round trip, and many sheds are tolerated in
	// exchange for busy slots: without a queue in the endpoints and without
	// coordination, keeping 80% of 4 slots busy means that nearly half of the
	// attempts are shed (Erlang's loss formula).
	decreaseFactor = 0.9
	// increaseStep is added to the limit for each attempt served while the limit
	// was fully used. In the simulation of 32 proxies without endpoint queues, 0.01
	// kept 75% of the slots busy and 0.02 kept 81%.
	increaseStep = 0.02
	// serviceWeight is the weight of a new service time in the moving average.
	serviceWeight = 0.1
)

// limiter is an adaptive concurrency limit. A limit below one delays the next attempt.
type limiter struct {
	value         float64
	maxValue      float64
	service       time.Duration // moving average of the time an attempt takes
	nextAttemptAt time.Time     // earliest time of the next attempt, for limits below one
}

func newLimiter(slots int) limiter {
	return limiter{value: float64(slots), maxValue: float64(slots)}
}

func (l *limiter) allows(now time.Time, inFlight int) bool {
	if now.Before(l.nextAttemptAt) {
		return false
	}
	if l.value < 1 {
		return inFlight == 0
	}
	return float64(inFlight+1) <= l.value
}

// served records an attempt that the endpoint processed for the time service.
func (l *limiter) served(now time.Time, service time.Duration, inUse bool) {
	if l.service == 0 {
		l.service = service
	} else {
		l.service += time.Duration(serviceWeight * float64(service-l.service))
	}
	if inUse {
		l.value = min(l.maxValue, l.value+increaseStep)
	}
	l.delayNextAttempt(now, service)
}

// shed records an attempt that the endpoint shed.
func (l *limiter) shed(now time.Time) {
	l.value = max(minLimit, l.value*decreaseFactor)
	l.delayNextAttempt(now, 0)
}

// delayNextAttempt sets the earliest time of the next attempt for a limit below one,
// so that the share of time with an attempt in flight equals the limit.
func (l *limiter) delayNextAttempt(now time.Time, spent time.Duration) {
	if l.value >= 1 {
		return
	}
	busy := max(spent, l.service)
	l.nextAttemptAt = now.Add(time.Duration(float64(busy) * (1/l.value - 1)))
}
