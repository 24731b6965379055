package placement

import "time"

// Endpoint is a registered endpoint of a service.
type Endpoint struct {
	id      string
	address string
	zone    string
	slots   int
	warmAt  time.Time
}

// NewEndpoint returns an endpoint with that many slots that is slow until warmAt.
func NewEndpoint(id, address, zone string, slots int, warmAt time.Time) Endpoint {
	return Endpoint{id: id, address: address, zone: zone, slots: max(1, slots), warmAt: warmAt}
}

// ID returns the name of the process.
func (e Endpoint) ID() string { return e.id }

// Address returns the IP address and port.
func (e Endpoint) Address() string { return e.address }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.zone }

// seat is an endpoint with what this view knows of it.
type seat struct {
	endpoint Endpoint
	belief   belief
	inFlight int
	overdue  int // attempts in flight that take much longer than usual
	// shed is the recent share of attempts that the endpoint refused, 0 to 1, and full
	// the share that it refused while all its slots were in use.
	shed     share
	full     share
	joined   time.Time
	lastUsed time.Time // zero until its first attempt
	leaving  bool
	// nextTrial is the time from which a suspected endpoint may be tested again.
	nextTrial time.Time
	recovers  bool // the last test of the suspected endpoint was served

	// The following are as of the last look.
	risk     float64 // probability that an attempt fails
	shedRisk float64
	capacity int
	place    [setCount]int // position in each set plus one, or 0
}

const (
	// shedMemory is the time constant with which refusals are forgotten.
	shedMemory = 2 * time.Second
	// shedStep is the weight of the newest attempt in the shed share.
	shedStep = 0.3
)

// share is a recent share of attempts.
type share struct {
	value float64
	at    time.Time
}

func (s *share) now(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return decay(s.value, now.Sub(s.at), shedMemory)
}

func (s *share) observe(now time.Time, counts bool) {
	value := s.now(now) * (1 - shedStep)
	if counts {
		value += shedStep
	}
	s.value, s.at = value, now
}

// observeShed takes whether an attempt was refused. An endpoint that refuses work
// although it has free slots is not full: it serves a part of its arrivals, and each
// place kept from it would be lost.
func (t *seat) observeShed(now time.Time, shed, slotsInUse bool) {
	t.shed.observe(now, shed)
	t.full.observe(now, shed && slotsInUse)
}

// room returns the attempts that the endpoint may have in flight. One that refuses work
// while its slots are in use has fewer than it declares.
func (t *seat) room(now time.Time) int {
	free := float64(t.endpoint.slots) * (1 - t.full.now(now))
	if now.Before(t.endpoint.warmAt) {
		free *= warmingShare
	}
	return max(1, int(free+0.5))
}

// warmingShare is the part of its slots that an endpoint gets while it is slow
// after its start.
const warmingShare = 0.5
