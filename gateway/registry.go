package gateway

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// registry holds the newest known state of each endpoint. States are ordered by
// the store's revision, so that no order of messages brings a leaving endpoint
// back. It is not safe for concurrent use.
type registry struct {
	entries map[string]Endpoint
	// absent holds endpoints whose entries were missing after an outage of the store.
	absent map[string]absence
	digest uint64
	newest uint64 // the highest revision of an entry
}

// absence is an entry that was missing at a revision and may come back until a time.
type absence struct {
	revision uint64
	until    time.Time
}

func newRegistry() *registry {
	return &registry{entries: map[string]Endpoint{}, absent: map[string]absence{}}
}

// merge takes a state and reports whether it is newer than the held one. The revision
// of a removal may be that of the registration that followed it.
func (r *registry) merge(e Endpoint) bool {
	held, found := r.entries[e.ID]
	if found && (e.Revision < held.Revision || e.Revision == held.Revision && (e.Deregistered || !held.Deregistered)) {
		return false
	}
	if found {
		r.digest ^= fingerprint(held)
	}
	r.entries[e.ID] = e
	r.newest = max(r.newest, e.Revision)
	r.digest ^= fingerprint(e)
	delete(r.absent, e.ID)
	return true
}

func fingerprint(e Endpoint) uint64 {
	if e.Deregistered {
		return 0
	}
	return xxh3.HashString(e.ID + "@" + strconv.FormatUint(e.Revision, 10))
}

// replace takes a whole list of the store at a revision and returns the changes.
// Endpoints that are missing are gone, or may come back until lapseEnd if it is
// in the future.
func (r *registry) replace(list []Endpoint, revision uint64, now, lapseEnd time.Time) []Endpoint {
	var changed []Endpoint
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if r.merge(e) {
			changed = append(changed, e)
		}
	}
	for id, held := range r.entries {
		if listed[id] || held.Deregistered || held.Revision > revision {
			continue
		}
		changed = append(changed, r.miss(held, revision, now, lapseEnd)...)
	}
	return changed
}

// removed takes the news that the entry of an endpoint was removed.
func (r *registry) removed(id string, revision uint64, now, lapseEnd time.Time) []Endpoint {
	held, found := r.entries[id]
	if !found || held.Deregistered || held.Revision >= revision {
		return nil
	}
	return r.miss(held, revision, now, lapseEnd)
}

// miss removes an endpoint whose entry is missing and returns it, or nothing if it may
// come back.
func (r *registry) miss(held Endpoint, revision uint64, now, lapseEnd time.Time) []Endpoint {
	if !held.Draining && now.Before(lapseEnd) {
		r.absent[held.ID] = absence{revision: revision, until: lapseEnd}
		return nil
	}
	return []Endpoint{r.remove(held, revision)}
}

func (r *registry) remove(held Endpoint, revision uint64) Endpoint {
	held.Deregistered = true
	held.Revision = max(revision, held.Revision+1)
	r.merge(held)
	return held
}

// expire removes the endpoints that did not come back and returns them.
func (r *registry) expire(now time.Time) []Endpoint {
	var changed []Endpoint
	for id, a := range r.absent {
		if now.Before(a.until) {
			continue
		}
		delete(r.absent, id)
		if held := r.entries[id]; !held.Deregistered {
			changed = append(changed, r.remove(held, a.revision))
		}
	}
	return changed
}

// usable returns the endpoints of a service that may get new work.
func (r *registry) usable(service string) []Endpoint {
	var list []Endpoint
	for _, e := range r.entries {
		if e.Service == service && !e.Deregistered && !e.Draining {
			list = append(list, e)
		}
	}
	return list
}

// after returns the states since a revision, those of endpoints that are gone
// included.
func (r *registry) after(revision uint64) []Endpoint {
	var list []Endpoint
	for _, e := range r.entries {
		if e.Revision > revision {
			list = append(list, e)
		}
	}
	return list
}
