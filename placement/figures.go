package placement

import "time"

// Figures describe a service as one view sees it.
type Figures struct {
	Endpoints int // that may get new work
	Leaving   int // that only end the work that they have
	Suspected int
	Slots     int // attempts that the endpoints may have in flight now
	InFlight  int
	Waiting   int
	// RepeatsLeft is what the retry budget allows now.
	RepeatsLeft float64
}

// Figures returns those of now.
func (s *Scheduler) Figures(now time.Time) Figures {
	f := Figures{Waiting: len(s.waiting), RepeatsLeft: s.budget.Left(now)}
	for _, t := range s.seats {
		f.InFlight += t.inFlight
		if t.leaving {
			f.Leaving++
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
