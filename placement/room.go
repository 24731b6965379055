package placement

import "time"

// room is what endpoints can serve: slots of endpoints without a rate limit, and attempts
// of those with one.
type room struct {
	slots        int
	ratePerMille int // attempts per 1000 s
}

// perMille converts a rate per second. Integers keep sums of rates exact.
const perMille = 1000

func (r *room) add(other room, sign int) {
	r.slots += sign * other.slots
	r.ratePerMille += sign * other.ratePerMille
}

func (r room) empty() bool { return r.slots == 0 && r.ratePerMille == 0 }

// wait returns the time in which the room serves the attempts.
func (r room) wait(attempts int, serviceTime time.Duration) time.Duration {
	return time.Duration(float64(serviceTime) * float64(attempts) / r.slotEquivalents(serviceTime))
}

// slotEquivalents returns the number of slots without a rate limit that serve as much.
func (r room) slotEquivalents(serviceTime time.Duration) float64 {
	return float64(r.slots) + float64(r.ratePerMille)/perMille*serviceTime.Seconds()
}

// roomOf returns the room of an endpoint. A limit of which this view has no share yet
// counts with one share: shares move between views within seconds.
func (s *Scheduler) roomOf(t *target) room {
	if t.limit == nil {
		return room{slots: t.capacity}
	}
	share := max(t.limit.share, 1/float64(max(1, len(t.limit.holders))))
	rate := max(t.limit.perSecond, minRatePerSecond) * share
	rate = min(rate, float64(t.capacity)/s.meanServiceTime.Seconds())
	return room{ratePerMille: max(1, int(rate*perMille))}
}
