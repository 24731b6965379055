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
	since    []time.Time // the starts of the attempts in flight
	// shed is the recent share of attempts that the endpoint refused, 0 to 1.
	shed     float64
	shedAt   time.Time
	joined   time.Time
	lastUsed time.Time // zero until its first attempt
	leaving  bool
	// nextTrial is the time from which a suspected endpoint may be tested again.
	nextTrial time.Time
}

const (
	// shedMemory is the time constant with which refusals are forgotten.
	shedMemory = 2 * time.Second
	// shedStep is the weight of the newest attempt in the shed share.
	shedStep = 0.3
)

func (s *seat) shedShare(now time.Time) float64 {
	return decay(s.shed, now.Sub(s.shedAt), shedMemory)
}

func (s *seat) observeShed(now time.Time, shed bool) {
	share := s.shedShare(now) * (1 - shedStep)
	if shed {
		share += shedStep
	}
	s.shed, s.shedAt = share, now
}

// capacity returns the attempts that the endpoint may have in flight. One that
// refuses work has fewer free slots than it declares.
func (s *seat) capacity(now time.Time) int {
	free := float64(s.endpoint.slots) * (1 - s.shedShare(now))
	if now.Before(s.endpoint.warmAt) {
		free *= warmingShare
	}
	return max(1, int(free+0.5))
}

// warmingShare is the part of its slots that an endpoint gets while it is slow
// after its start.
const warmingShare = 0.5
