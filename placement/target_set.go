package placement

import (
	"cmp"
	"slices"
	"time"
)

// The kinds of sets that a target may be in.
const (
	setAll           = iota
	setHealthy       // not suspected and not draining
	setSuspected     // suspected and not draining
	setAvailable     // healthy, with a free slot
	setZoneAvailable // the same, of one availability zone
	setRegaining     // suspected, with a free slot and a last probe that was served
	setCount
)

// targetSet is a set of targets that allows sampling. Targets are added and removed in
// constant time.
type targetSet struct {
	kind int
	list []*target
}

func (s *targetSet) setMember(t *target, member bool) {
	i := t.position[s.kind] - 1
	switch {
	case member && i < 0:
		s.list = append(s.list, t)
		t.position[s.kind] = len(s.list)
	case !member && i >= 0:
		last := len(s.list) - 1
		moved := s.list[last]
		s.list[i] = moved
		moved.position[s.kind] = i + 1
		s.list[last] = nil
		s.list = s.list[:last]
		t.position[s.kind] = 0
	}
}

const (
	// refreshIntervalPerEndpoint is the time per endpoint between two refreshes of all
	// endpoints. A refresh applies changes that no event causes: estimates and shares
	// decay, warm-ups end, endpoints become idle. It takes some 0.1 µs per endpoint, so
	// that refreshes use a five hundredth of a core at any number of endpoints.
	refreshIntervalPerEndpoint = 50 * time.Microsecond
	// maxRefreshInterval is short compared to the seconds in which these changes
	// happen.
	maxRefreshInterval = 50 * time.Millisecond
)

// refresh applies changes that come with time to all endpoints, at most once per
// interval. Events update only their own endpoint, so that the cost of a decision does
// not depend on the number of endpoints.
func (s *Scheduler) refresh(now time.Time) {
	s.markOverdue(now)
	if now.Before(s.nextRefresh) {
		return
	}
	s.nextRefresh = now.Add(min(maxRefreshInterval, refreshIntervalPerEndpoint*time.Duration(len(s.all.list))))
	if !now.Before(s.nextShareUpdate) {
		s.nextShareUpdate = now.Add(maxRefreshInterval)
		s.updateShares(now)
	}
	s.endRests(now)
	s.unused, s.idle, s.probeCandidates = 0, s.idle[:0], s.probeCandidates[:0]
	for _, t := range s.all.list {
		if t.draining {
			continue
		}
		s.updateTarget(now, t)
		if t.inFlight > 0 || !t.open(now) {
			continue
		}
		if now.Sub(t.lastUsed) > unusedAfter {
			s.unused++
		}
		switch {
		case t.estimate.value(now) >= suspicionThreshold:
			if !now.Before(t.nextProbe) {
				s.probeCandidates = append(s.probeCandidates, t)
			}
		case t.lastUsed.IsZero() || now.Sub(t.lastUsed) >= idleAfter:
			s.idle = append(s.idle, t)
		}
	}
	slices.SortFunc(s.probeCandidates, compareProbeCandidates)
}

// compareProbeCandidates orders suspected endpoints by how soon they should be probed.
// Those whose last probe was served come first, because the next probe may clear them.
func compareProbeCandidates(a, b *target) int {
	if a.lastProbeServed != b.lastProbeServed {
		if a.lastProbeServed {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.risk, b.risk)
}

// updateTarget recomputes the derived fields, set memberships and sums of one endpoint.
func (s *Scheduler) updateTarget(now time.Time, t *target) {
	s.subtractRoom(t)
	t.risk = failureProbability(now, t)
	t.shedRisk = t.shed.current(now)
	t.capacity = t.currentCapacity(now)
	active := !t.draining && t.position[setAll] > 0
	healthy := active && t.risk < suspicionThreshold
	available := healthy && t.inFlight < t.capacity && t.open(now)
	s.healthy.setMember(t, healthy)
	s.suspects.setMember(t, active && !healthy)
	s.regaining.setMember(t, active && !healthy && t.lastProbeServed && t.inFlight < t.capacity && t.open(now))
	s.available.setMember(t, available)
	s.availableInZone(t.endpoint.zone).setMember(t, available)
	t.counted = s.roomOf(t)
	if active {
		s.totalRoom.add(t.counted, 1)
	}
	if healthy {
		s.healthyRoom.add(t.counted, 1)
	}
}

// subtractRoom removes the room of an endpoint from the sums.
func (s *Scheduler) subtractRoom(t *target) {
	if t.position[setHealthy] > 0 {
		s.healthyRoom.add(t.counted, -1)
	}
	if t.position[setHealthy] > 0 || t.position[setSuspected] > 0 {
		s.totalRoom.add(t.counted, -1)
	}
}

// availableInZone returns the healthy endpoints of a zone that have a free slot.
func (s *Scheduler) availableInZone(zone string) *targetSet {
	set, found := s.availableByZone[zone]
	if !found {
		set = &targetSet{kind: setZoneAvailable}
		s.availableByZone[zone] = set
	}
	return set
}

// removeTarget removes a drained endpoint without attempts in flight.
func (s *Scheduler) removeTarget(t *target) {
	delete(s.targets, t.endpoint.id)
	delete(s.limited, t)
	delete(s.resting, t)
	s.all.setMember(t, false)
}

// failureProbability returns the probability that an attempt at the endpoint fails.
// Overdue attempts count before they end, because an endpoint that hangs reports no
// outcomes.
func failureProbability(now time.Time, t *target) float64 {
	p := t.estimate.value(now)
	switch {
	case t.overdue >= 2:
		return max(p, overdueFailureProbability)
	case t.overdue == 1:
		return max(p, suspicionThreshold)
	}
	return p
}
