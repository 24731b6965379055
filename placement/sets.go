package placement

import (
	"cmp"
	"slices"
	"time"
)

// The sets that a seat may be in.
const (
	setAll     = iota
	setWell    // not suspected and not leaving
	setSuspect // suspected and not leaving
	setReady   // well, with a free slot
	setLocal   // the same, of one availability zone
	setCount
)

// seatSet is a set of seats that can be sampled. Adding and removing cost the same at
// any size.
type seatSet struct {
	kind int
	list []*seat
}

func (s *seatSet) put(t *seat, member bool) {
	i := t.place[s.kind] - 1
	switch {
	case member && i < 0:
		s.list = append(s.list, t)
		t.place[s.kind] = len(s.list)
	case !member && i >= 0:
		last := len(s.list) - 1
		moved := s.list[last]
		s.list[i] = moved
		moved.place[s.kind] = i + 1
		s.list[last] = nil
		s.list = s.list[:last]
		t.place[s.kind] = 0
	}
}

const (
	// lookPeriodEach is the time for each endpoint between two looks at all of them for
	// what changes without an event: beliefs and shares fade, endpoints get warm or idle.
	// A look takes some 0.1 µs an endpoint, so that the looks at any number of endpoints
	// take a five hundredth of a core.
	lookPeriodEach = 50 * time.Microsecond
	// longestLookPeriod is short beside the seconds in which these things change.
	longestLookPeriod = 50 * time.Millisecond
)

// refresh brings what fades with time up to date. It keeps the cost of a decision
// independent of the number of endpoints: all are looked at once in a period, and one
// when something happens to it.
func (s *Scheduler) refresh(now time.Time) {
	s.markOverdue(now)
	if now.Before(s.nextLook) {
		return
	}
	s.nextLook = now.Add(min(longestLookPeriod, lookPeriodEach*time.Duration(len(s.all.list))))
	s.unused, s.idle, s.tests = 0, s.idle[:0], s.tests[:0]
	for _, t := range s.all.list {
		if t.leaving {
			continue
		}
		s.look(now, t)
		if t.inFlight > 0 {
			continue
		}
		if now.Sub(t.lastUsed) > neglectedAfter {
			s.unused++
		}
		switch {
		case t.belief.value(now) >= suspected:
			if !now.Before(t.nextTrial) {
				s.tests = append(s.tests, t)
			}
		case t.lastUsed.IsZero() || now.Sub(t.lastUsed) >= stalePause:
			s.idle = append(s.idle, t)
		}
	}
	slices.SortFunc(s.tests, compareTests)
}

// compareTests orders suspected endpoints by how soon they should be tested: those whose
// last test was served first, because the next one may clear them.
func compareTests(a, b *seat) int {
	if a.recovers != b.recovers {
		if a.recovers {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.risk, b.risk)
}

// look brings one endpoint up to date.
func (s *Scheduler) look(now time.Time, t *seat) {
	s.forget(t)
	t.risk = failing(now, t)
	t.shedRisk = t.shed.now(now)
	t.capacity = t.room(now)
	used := !t.leaving && t.place[setAll] > 0
	well := used && t.risk < suspected
	ready := well && t.inFlight < t.capacity
	s.well.put(t, well)
	s.suspects.put(t, used && !well)
	s.ready.put(t, ready)
	s.local(t.endpoint.zone).put(t, ready)
	if used {
		s.slots += t.capacity
	}
	if well {
		s.wellSlots += t.capacity
	}
}

// forget takes the slots of an endpoint out of the sums.
func (s *Scheduler) forget(t *seat) {
	if t.place[setWell] > 0 {
		s.wellSlots -= t.capacity
	}
	if t.place[setWell] > 0 || t.place[setSuspect] > 0 {
		s.slots -= t.capacity
	}
}

// local returns the endpoints of a zone that are well and have a free slot.
func (s *Scheduler) local(zone string) *seatSet {
	set, found := s.zones[zone]
	if !found {
		set = &seatSet{kind: setLocal}
		s.zones[zone] = set
	}
	return set
}

// drop removes an endpoint that has left and has no work.
func (s *Scheduler) drop(t *seat) {
	delete(s.seats, t.endpoint.id)
	s.all.put(t, false)
}

// failing returns the probability that an attempt at the endpoint fails. Attempts
// that are overdue count before they end: an endpoint that hangs reports nothing.
func failing(now time.Time, t *seat) float64 {
	p := t.belief.value(now)
	switch {
	case t.overdue >= 2:
		return max(p, overdueFailing)
	case t.overdue == 1:
		return max(p, suspected)
	}
	return p
}
