package placement

import "time"

// Stats describe a service as one view sees it.
type Stats struct {
	Endpoints int // that may get new work
	Draining  int // that only end the work that they have
	Suspected int
	Slots     int // attempts that the endpoints may have in flight now
	InFlight  int
	Waiting   int
	// RetriesLeft is what the retry budget allows now.
	RetriesLeft float64
}

// Stats returns those of now.
func (s *Scheduler) Stats(now time.Time) Stats {
	f := Stats{Waiting: len(s.waiting), RetriesLeft: s.budget.Remaining(now)}
	for _, t := range s.seats {
		f.InFlight += t.inFlight
		if t.leaving {
			f.Draining++
			continue
		}
		f.Endpoints++
		f.Slots += t.room(now)
		if failing(now, t) >= suspected {
			f.Suspected++
		}
	}
	return f
}
