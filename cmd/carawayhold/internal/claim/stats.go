package claim

import "sync/atomic"

type counters struct {
	reads       atomic.Uint64
	updates     atomic.Uint64
	conflicts   atomic.Uint64
	lostAnswers atomic.Uint64
	superseded  atomic.Uint64
}

// Stats counts what the coordinator did since it was made.
type Stats struct {
	Reads       uint64
	Updates     uint64
	Conflicts   uint64
	LostAnswers uint64
	// Superseded counts outcomes whose record was gone.
	Superseded uint64
	Violations uint64
}

// Stats returns the counters.
func (c *Coordinator) Stats() Stats {
	return Stats{
		Reads:       c.stats.reads.Load(),
		Updates:     c.stats.updates.Load(),
		Conflicts:   c.stats.conflicts.Load(),
		LostAnswers: c.stats.lostAnswers.Load(),
		Superseded:  c.stats.superseded.Load(),
		Violations:  c.invariants.Violations(),
	}
}
