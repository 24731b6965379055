package placement

import "time"

// Stats describe a service as one view sees it.
type Stats struct {
	Endpoints int // that may get new requests
	Draining  int // that only finish their requests in flight
	Suspected int
	Limited   int // that declare a rate limit
	// HeldByLimits is the number of requests so far that got no slot at once although a
	// rate limit left one unused.
	HeldByLimits int
	Slots        int // attempts that the endpoints may have in flight at this time
	InFlight     int
	Waiting      int
	// RetriesLeft is the number of retries that the retry budget allows at this time.
	RetriesLeft float64
}

// Stats counts the endpoints, attempts and waiting requests at now.
func (s *Scheduler) Stats(now time.Time) Stats {
	stats := Stats{HeldByLimits: s.heldByLimits, Waiting: len(s.waiting), RetriesLeft: s.budget.Remaining(now)}
	for _, t := range s.targets {
		stats.InFlight += t.inFlight
		if t.draining {
			stats.Draining++
			continue
		}
		stats.Endpoints++
		stats.Slots += t.currentCapacity(now)
		if failureProbability(now, t) >= suspicionThreshold {
			stats.Suspected++
		}
		if t.limit != nil {
			stats.Limited++
		}
	}
	return stats
}
