package placement

import "time"

// Endpoint is a registered endpoint of a service.
type Endpoint struct {
	id        string
	address   string
	zone      string
	slots     int
	warmUpEnd time.Time
	start     int64
}

// NewEndpoint returns an endpoint with at least one slot. It is slow until warmUpEnd.
func NewEndpoint(id, address, zone string, slots int, warmUpEnd time.Time) Endpoint {
	return Endpoint{id: id, address: address, zone: zone, slots: max(1, slots), warmUpEnd: warmUpEnd}
}

// WithStart returns a copy with the start of the process, which tells it from an earlier one
// with the same ID.
func (e Endpoint) WithStart(start int64) Endpoint {
	e.start = start
	return e
}

// ID returns the name of the process.
func (e Endpoint) ID() string { return e.id }

// Address returns the IP address and port.
func (e Endpoint) Address() string { return e.address }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.zone }

// target is an endpoint and the state that one view keeps about it.
type target struct {
	endpoint Endpoint
	estimate failureEstimate
	inFlight int
	overdue  int // attempts in flight that take much longer than usual
	hangs    bool
	// shed is the recent share of attempts that the endpoint rejected, 0 to 1. fullShed
	// is the share that it rejected while all its slots were in use.
	shed     decayingShare
	fullShed decayingShare
	joinedAt time.Time
	lastUsed time.Time // zero until its first attempt
	draining bool
	limit    *rateLimit // nil without a declared limit
	// rests are the times until which proxies must not use the endpoint; see Scheduler.Rest.
	rests map[string]time.Time
	// unlimitedAt is the time at which the last limit ended.
	unlimitedAt time.Time
	// nextProbe is the time from which a suspected endpoint may be probed again.
	nextProbe       time.Time
	lastProbeServed bool // the last probe of the suspected endpoint was served

	// The following fields are set by updateTarget.
	risk     float64 // probability that an attempt fails
	shedRisk float64
	capacity int
	position [setCount]int // index in each set plus one, or 0
	counted  room          // added to the sums of the scheduler
}

const (
	// shedTimeConstant is the time constant with which rejections decay.
	shedTimeConstant = 2 * time.Second
	// shedWeightOfNewest is the weight of the newest attempt in the share.
	shedWeightOfNewest = 0.3
)

// decayingShare is a recent share of attempts. It decays exponentially.
type decayingShare struct {
	value float64
	at    time.Time
}

func (s *decayingShare) current(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return decay(s.value, now.Sub(s.at), shedTimeConstant)
}

func (s *decayingShare) observe(now time.Time, counts bool) {
	value := s.current(now) * (1 - shedWeightOfNewest)
	if counts {
		value += shedWeightOfNewest
	}
	s.value, s.at = value, now
}

// observeShed records whether an attempt was rejected. Rejections while the endpoint
// has free slots do not reduce its capacity: it still serves a part of its requests,
// and that part would be lost.
func (t *target) observeShed(now time.Time, shed, slotsInUse bool) {
	t.shed.observe(now, shed)
	t.fullShed.observe(now, shed && slotsInUse)
}

// currentCapacity returns the number of attempts that the endpoint may have in flight.
// An endpoint that rejects requests while its slots are in use has fewer slots than it
// declares.
func (t *target) currentCapacity(now time.Time) int {
	free := float64(t.endpoint.slots) * (1 - t.fullShed.current(now))
	if now.Before(t.endpoint.warmUpEnd) {
		free *= warmingCapacityShare
	}
	return max(1, int(free+0.5))
}

// warmingCapacityShare is the share of its slots that an endpoint gets during its
// warm-up.
const warmingCapacityShare = 0.5
