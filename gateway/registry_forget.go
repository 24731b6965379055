package gateway

import "time"

// removedKept is the time for which the state of a removed endpoint is kept, so that late messages and
// the copy of a restored store do not bring it back: they are seconds old. A member that has not
// agreed with a hub for half of that compares all states, because the hub may have forgotten removals
// that the member has not heard of.
const removedKept = 10 * time.Minute

// removal is an endpoint that was removed, and when this member learned of it.
type removal struct {
	id string
	at instant
}

// noteRemoval records a removal, or that there is none any more.
func (r *registry) noteRemoval(e *Endpoint) {
	if !e.Deregistered {
		delete(r.removedAt, e.ID)
		return
	}
	if _, found := r.removedAt[e.ID]; found {
		return
	}
	at := bootTime()
	r.removedAt[e.ID] = at
	r.removals = append(r.removals, removal{id: e.ID, at: at})
}

// forget drops what was removed longer than kept ago: the names of processes are used once, and
// thousands restart each day.
func (r *registry) forget(now instant, kept time.Duration) {
	n := 0
	for ; n < len(r.removals) && now.since(r.removals[n].at) >= kept; n++ {
		gone := r.removals[n]
		if at, found := r.removedAt[gone.id]; !found || at != gone.at {
			continue // registered again since
		}
		delete(r.removedAt, gone.id)
		delete(r.entries, gone.id)
		delete(r.left, gone.id)
		delete(r.doubtful, gone.id)
		delete(r.missing, gone.id)
		delete(r.storedAt, gone.id)
	}
	if n > 0 {
		r.removals = append([]removal(nil), r.removals[n:]...)
	}
}
