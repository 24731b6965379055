package gateway

import (
	"strconv"
	"strings"
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
	left        departures
	digest      uint64
	maxRevision Revision // the highest revision of an entry
}

// missingEntry is an entry that was missing at a revision and is kept until a deadline for
// registering again.
type missingEntry struct {
	revision Revision
	until    time.Time
}

func newRegistry() *registry {
	return &registry{entries: map[string]Endpoint{}, missing: map[string]missingEntry{}, left: departures{}}
}

// merge stores a state if it is newer than the current one, and reports whether others have
// to know. A process that reported draining stays so, even if a restored store names an
// earlier state.
func (r *registry) merge(e Endpoint) bool {
	if e.leaves() && e.StartMillis != 0 {
		r.left.add(e.ID, e.StartMillis)
	}
	current, found := r.entries[e.ID]
	if !found {
		r.store(e)
		return true
	}
	sameProcess := current.sameProcess(&e)
	if sameProcess && removedBeforeRestore(&current, &e) {
		e.Draining, e.Deregistered = true, true
	}
	switch {
	case r.supersedes(&e, &current):
		e.Draining = e.Draining || sameProcess && current.Draining && !current.Deregistered && !e.Deregistered
	case sameProcess && e.Draining && !current.Draining && !current.Deregistered:
		// A process that leaves does so at any revision.
		e = current
		e.Draining = true
	default:
		return false
	}
	if sameProcess && e.Sequence == 0 {
		e.Sequence = current.Sequence
	}
	r.store(e)
	// After a restore of the store all entries have new revisions.
	return e.Revision.Era() == current.Revision.Era() || !e.sameUse(&current)
}

// supersedes reports whether e is newer than the current state. Two states have the same
// revision if one was derived: a removal, which may have that of the registration that
// followed it and loses, or the state of a process that left before a restore of the store,
// which has that of the outdated entry and wins.
func (r *registry) supersedes(e, current *Endpoint) bool {
	if e.Revision != current.Revision {
		return e.Revision > current.Revision
	}
	if current.sameProcess(e) && e.Draining != current.Draining {
		return e.Draining
	}
	return current.Deregistered && !e.Deregistered
}

// removedBeforeRestore reports whether e is the entry of a removed process that a restored store
// still has from its backup. Unless both sequence numbers are known, nothing proves that the process
// has written a new state.
func removedBeforeRestore(removed, e *Endpoint) bool {
	return removed.Deregistered && e.Revision.Era() > removed.Revision.Era() &&
		(removed.Sequence == 0 || e.Sequence <= removed.Sequence)
}

// mergeStored merges a state that was read from the store.
func (r *registry) mergeStored(e Endpoint) bool {
	current, found := r.entries[e.ID]
	if !found || !current.sameProcess(&e) {
		return r.merge(e)
	}
	if e.Revision == current.Revision && current.Sequence == 0 {
		current.Sequence = e.Sequence
		r.entries[e.ID] = current
	}
	return r.merge(e)
}

func (r *registry) store(e Endpoint) {
	e.Draining = e.Draining || r.left.has(e.ID, e.StartMillis)
	r.digest ^= fingerprint(r.entries[e.ID]) ^ fingerprint(e)
	r.entries[e.ID] = e
	r.maxRevision = max(r.maxRevision, e.Revision)
	delete(r.missing, e.ID)
}

// fingerprint identifies what requests are placed by, and not the revision: after a restore
// of the store members hold the same states at different revisions.
func fingerprint(e Endpoint) uint64 {
	if e.Deregistered || e.ID == "" {
		return 0
	}
	return xxh3.HashString(strings.Join([]string{
		e.ID, e.Service, e.Address, e.Zone, strconv.Itoa(e.Slots), strconv.FormatInt(e.StartMillis, 10), strconv.FormatBool(e.Draining),
	}, " "))
}

// applyList applies a complete list of the store at a revision and returns the changes.
// Endpoints that are not listed are removed, or kept until reregisterDeadline if that is in
// the future.
func (r *registry) applyList(list []Endpoint, revision Revision, now, reregisterDeadline time.Time) []Endpoint {
	var changed []Endpoint
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		if r.namesEarlierProcess(&e) {
			continue
		}
		listed[e.ID] = true
		if r.mergeStored(e) {
			changed = append(changed, r.entries[e.ID])
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

// namesEarlierProcess reports whether a restored store lists a process that another one has
// replaced since the backup, whose entry is missing.
func (r *registry) namesEarlierProcess(e *Endpoint) bool {
	current, found := r.entries[e.ID]
	return found && e.Revision.Era() > current.Revision.Era() && e.StartMillis != 0 && e.StartMillis < current.StartMillis
}

// applyRemoval applies the removal of the entry of an endpoint and returns the changes.
func (r *registry) applyRemoval(id string, revision Revision, now, reregisterDeadline time.Time) []Endpoint {
	current, found := r.entries[id]
	if !found || current.Deregistered || current.Revision >= revision {
		return nil
	}
	return r.handleMissing(current, revision, now, reregisterDeadline)
}

// handleMissing removes an endpoint whose entry is missing and returns it, or nil if the
// endpoint may register again. Draining endpoints are removed at once.
func (r *registry) handleMissing(current Endpoint, revision Revision, now, reregisterDeadline time.Time) []Endpoint {
	if !current.Draining && now.Before(reregisterDeadline) {
		r.missing[current.ID] = missingEntry{revision: revision, until: reregisterDeadline}
		return nil
	}
	return []Endpoint{r.remove(current, revision)}
}

func (r *registry) remove(current Endpoint, revision Revision) Endpoint {
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
// removed endpoints, and those of endpoints that leave: what they say in responses has no
// revision.
func (r *registry) changedAfter(revision Revision) []Endpoint {
	var list []Endpoint
	for _, e := range r.entries {
		if e.Revision > revision || e.leaves() {
			list = append(list, e)
		}
	}
	return list
}
