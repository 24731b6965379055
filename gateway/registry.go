package gateway

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// registry holds the latest known state of each endpoint. States are ordered by the
// revision of the store, so that messages out of order never make a draining endpoint
// usable again. It is not safe for concurrent use.
type registry struct {
	entries map[string]Endpoint
	// missing holds endpoints whose entries were missing after an outage of the store and
	// that may register again.
	missing     map[string]missingEntry
	digest      uint64
	maxRevision uint64 // the highest revision of an entry
}

// missingEntry is an entry that was missing at a revision and is kept until a deadline for
// registering again.
type missingEntry struct {
	revision uint64
	until    time.Time
}

func newRegistry() *registry {
	return &registry{entries: map[string]Endpoint{}, missing: map[string]missingEntry{}}
}

// merge stores a state if it is newer than the current one, and reports whether it is. A
// removal may have the same revision as the registration that followed it; the
// registration wins.
func (r *registry) merge(e Endpoint) bool {
	current, found := r.entries[e.ID]
	if found && (e.Revision < current.Revision || e.Revision == current.Revision && (e.Deregistered || !current.Deregistered)) {
		return false
	}
	if found {
		r.digest ^= fingerprint(current)
	}
	r.entries[e.ID] = e
	r.maxRevision = max(r.maxRevision, e.Revision)
	r.digest ^= fingerprint(e)
	delete(r.missing, e.ID)
	return true
}

func fingerprint(e Endpoint) uint64 {
	if e.Deregistered {
		return 0
	}
	return xxh3.HashString(e.ID + "@" + strconv.FormatUint(e.Revision, 10))
}

// applyList applies a complete list of the store at a revision and returns the changes.
// Endpoints that are not listed are removed, or kept until reregisterDeadline if that is in
// the future.
func (r *registry) applyList(list []Endpoint, revision uint64, now, reregisterDeadline time.Time) []Endpoint {
	var changed []Endpoint
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if r.merge(e) {
			changed = append(changed, e)
		}
	}
	for id, current := range r.entries {
		if listed[id] || current.Deregistered || current.Revision > revision {
			continue
		}
		changed = append(changed, r.handleMissing(current, revision, now, reregisterDeadline)...)
	}
	return changed
}

// applyRemoval applies the removal of the entry of an endpoint and returns the changes.
func (r *registry) applyRemoval(id string, revision uint64, now, reregisterDeadline time.Time) []Endpoint {
	current, found := r.entries[id]
	if !found || current.Deregistered || current.Revision >= revision {
		return nil
	}
	return r.handleMissing(current, revision, now, reregisterDeadline)
}

// handleMissing removes an endpoint whose entry is missing and returns it, or nil if the
// endpoint may register again. Draining endpoints are removed at once.
func (r *registry) handleMissing(current Endpoint, revision uint64, now, reregisterDeadline time.Time) []Endpoint {
	if !current.Draining && now.Before(reregisterDeadline) {
		r.missing[current.ID] = missingEntry{revision: revision, until: reregisterDeadline}
		return nil
	}
	return []Endpoint{r.remove(current, revision)}
}

func (r *registry) remove(current Endpoint, revision uint64) Endpoint {
	current.Deregistered = true
	current.Revision = max(revision, current.Revision+1)
	r.merge(current)
	return current
}

// expireMissing removes the endpoints that did not register again in time and returns them.
func (r *registry) expireMissing(now time.Time) []Endpoint {
	var changed []Endpoint
	for id, entry := range r.missing {
		if now.Before(entry.until) {
			continue
		}
		delete(r.missing, id)
		if current := r.entries[id]; !current.Deregistered {
			changed = append(changed, r.remove(current, entry.revision))
		}
	}
	return changed
}

// usable returns the endpoints of a service that may get new requests.
func (r *registry) usable(service string) []Endpoint {
	var list []Endpoint
	for _, e := range r.entries {
		if e.Service == service && !e.Deregistered && !e.Draining {
			list = append(list, e)
		}
	}
	return list
}

// changedAfter returns the states that are newer than a revision, including those of
// removed endpoints.
func (r *registry) changedAfter(revision uint64) []Endpoint {
	var list []Endpoint
	for _, e := range r.entries {
		if e.Revision > revision {
			list = append(list, e)
		}
	}
	return list
}
