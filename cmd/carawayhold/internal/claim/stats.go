package claim

import "sync/atomic"

type counters struct {
	reads         atomic.Uint64
	updates       atomic.Uint64
	conflicts     atomic.Uint64
	unknownWrites atomic.Uint64
	superseded    atomic.Uint64
}

// Stats holds counters since the creation of the coordinator.
type Stats struct {
	Reads     uint64
	Updates   uint64
	Conflicts uint64
	// UnknownWrites counts updates that failed without showing whether the
	// platform applied them.
	UnknownWrites uint64
	// Superseded counts outcomes that were not recorded because the record of
	// their claim no longer existed.
	Superseded uint64
	Violations uint64
}

// Stats returns the current values. They are read one after another, so that
// they may differ by operations in progress.
func (c *Coordinator) Stats() Stats {
	return Stats{
		Reads:         c.stats.reads.Load(),
		Updates:       c.stats.updates.Load(),
		Conflicts:     c.stats.conflicts.Load(),
		UnknownWrites: c.stats.unknownWrites.Load(),
		Superseded:    c.stats.superseded.Load(),
		Violations:    c.invariants.Violations(),
	}
}
