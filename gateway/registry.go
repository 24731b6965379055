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
	// byService holds, by service, the names of the endpoints that may get new requests.
	byService map[string]map[string]struct{}
	// missing holds endpoints whose entries were missing after an outage of the store and
	// that may register again.
	missing map[string]missingEntry
	// doubtful holds endpoints that were removed and that a restored store names again.
	doubtful map[string]doubtfulEntry
	// storedAt holds the revisions in the store of registered endpoints whose states have higher ones.
	storedAt    map[string]Revision
	left        departures
	removals    []removal          // the oldest first, also of endpoints that registered again
	removedAt   map[string]instant // of removed endpoints
	digest      uint64
	maxRevision Revision // the highest revision of an entry
	sorted      sortedStates
	// readUpTo is the revision of the store up to which this member has read all changes.
	readUpTo Revision
}

// missingEntry is an entry that was missing at a revision and is kept until a deadline for
// registering again.
type missingEntry struct {
	revision Revision
	until    time.Time
}

// doubtfulEntry is an entry that the copy of a restored store may hold although it was removed
// since. It is believed if it is still there at a deadline, by which what the copy lacks was
// written again.
type doubtfulEntry struct {
	entry Endpoint
	until time.Time // zero until the time is first looked at
}

func newRegistry() *registry {
	return &registry{
		entries: map[string]Endpoint{}, byService: map[string]map[string]struct{}{}, missing: map[string]missingEntry{}, doubtful: map[string]doubtfulEntry{},
		storedAt: map[string]Revision{}, left: departures{}, removedAt: map[string]instant{},
	}
}

// merge stores a state that another member sent if it is newer than the current one, and reports
// whether others have to know. A registration that is not newer than what this member has read
// itself is gone, unless the endpoint may register again.
func (r *registry) merge(e Endpoint) bool {
	if e.Draining || e.Deregistered || e.Revision > r.readUpTo || e.Revision < r.entries[e.ID].Revision {
		return r.apply(e)
	}
	entry, found := r.missing[e.ID]
	if !found {
		return false
	}
	changed := r.apply(e)
	r.missing[e.ID] = entry
	return changed
}

// apply stores a state if it is newer than the current one, and reports whether others have to
// know. A process that reported draining stays so, and one whose entry was removed stays away,
// even if a restored store names an earlier state.
func (r *registry) apply(e Endpoint) bool {
	if e.leaves() && e.StartMillis != 0 {
		r.left.add(e.ID, e.StartMillis)
	}
	current, found := r.entries[e.ID]
	if !found {
		r.store(e)
		return true
	}
	if namesEarlierProcess(&e, &current) {
		return false
	}
	sameProcess, named := current.sameProcess(&e), e
	if sameProcess && r.mayBeOfCopy(&current, &e) {
		e.Draining, e.Deregistered = true, true
	}
	if e.Deregistered && e.Revision == current.Revision {
		named = current
	}
	defer func() { r.doubt(named) }()
	switch {
	case r.supersedes(&e, &current):
		e.Draining = e.Draining || sameProcess && current.Draining && !current.Deregistered && !e.Deregistered
	case !current.Deregistered && (sameProcess && r.mayBeOfCopy(&e, &current) || namesEarlierProcess(&current, &e)):
		named, e = current, current
		e.Draining, e.Deregistered = true, true
	case sameProcess && e.leaves() && !current.Draining && !current.Deregistered:
		// A process that leaves does so at any revision.
		e = current
		e.Draining = true
	default:
		return false
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

// mayBeOfCopy reports whether e, of a process whose entry was removed, may be an entry of the copy
// that the store was restored from. What was written after the removal has a higher number, in the
// copy and since.
func (r *registry) mayBeOfCopy(removed, e *Endpoint) bool {
	if !removed.Deregistered || e.Revision.Era() <= removed.Revision.Era() {
		return false
	}
	removedUpTo := removed.Revision.Number()
	if r.readUpTo.Era() < e.Revision.Era() {
		removedUpTo = max(removedUpTo, r.readUpTo.Number())
	}
	return e.Revision.Number() <= removedUpTo
}

// doubt notes a state that names an endpoint registered which counts as removed at the same
// revision.
func (r *registry) doubt(e Endpoint) {
	current := r.entries[e.ID]
	if e.Deregistered || !current.Deregistered || e.Revision != current.Revision {
		return
	}
	if _, found := r.doubtful[e.ID]; !found {
		r.doubtful[e.ID] = doubtfulEntry{entry: e}
	}
}

// due reports whether the time of a doubtful entry to be removed again has passed. It begins when
// it is first asked for.
func (r *registry) due(id string, now time.Time) bool {
	d := r.doubtful[id]
	if d.until.IsZero() {
		d.until = now.Add(reregisterGrace)
		r.doubtful[id] = d
	}
	return !now.Before(d.until)
}

// believeDoubtful makes the endpoints usable whose entries were not removed again in time, and
// returns them. This member has read the store up to a revision, by which others follow.
func (r *registry) believeDoubtful(now time.Time, upTo Revision) []Endpoint {
	var changed []Endpoint
	for id, d := range r.doubtful {
		if r.due(id, now) && d.entry.Revision < upTo {
			at := d.entry.Revision
			d.entry.Revision = upTo
			r.store(d.entry)
			r.storedAt[id] = at
			changed = append(changed, r.entries[id])
		}
	}
	return changed
}

// adopt corrects what the merging of states cannot, and returns the changes. list holds all states
// of a member that has read the store up to a revision, and last at a time.
func (r *registry) adopt(list []Endpoint, upTo Revision, readAt time.Time) []Endpoint {
	var changed []Endpoint
	registered := make(map[string]bool, len(list))
	for _, e := range list {
		if e.Deregistered {
			continue
		}
		registered[e.ID] = true
		if d, found := r.doubtful[e.ID]; found && d.entry.Revision == e.Revision && r.due(e.ID, readAt) {
			r.store(e)
			changed = append(changed, r.entries[e.ID])
		}
	}
	for id, current := range r.entries {
		if !registered[id] && !current.Deregistered && current.Revision <= upTo {
			changed = append(changed, r.remove(current, upTo))
		}
	}
	return changed
}

func (r *registry) store(e Endpoint) {
	e.Draining = e.Draining || r.left.has(e.ID, e.StartMillis)
	former := r.entries[e.ID]
	r.digest ^= fingerprint(former) ^ fingerprint(e)
	r.index(&former, &e)
	r.entries[e.ID] = e
	r.noteRemoval(&e)
	r.maxRevision = max(r.maxRevision, e.Revision)
	if !e.Deregistered {
		delete(r.missing, e.ID)
	}
	delete(r.doubtful, e.ID)
	delete(r.storedAt, e.ID)
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
		if current := r.entries[e.ID]; namesEarlierProcess(&e, &current) {
			continue
		}
		listed[e.ID] = true
		if r.apply(e) {
			changed = append(changed, r.entries[e.ID])
		}
		if current := r.entries[e.ID]; current.Revision > e.Revision && !current.Deregistered {
			r.storedAt[e.ID] = e.Revision
		}
	}
	for id, current := range r.entries {
		if listed[id] || current.Revision > revision {
			continue
		}
		if _, doubtful := r.doubtful[id]; current.Deregistered && !doubtful {
			continue
		}
		changed = append(changed, r.handleMissing(current, revision, now, reregisterDeadline)...)
	}
	r.readUpTo = revision
	return changed
}

// namesEarlierProcess reports whether e, of the copy that the store was restored from, is of a
// process that the current one has replaced since.
func namesEarlierProcess(e, current *Endpoint) bool {
	return !e.Deregistered && e.StartMillis != 0 && e.StartMillis < current.StartMillis &&
		(e.Revision.Era() > current.Revision.Era() || e.Revision <= current.Revision)
}

// applyRemoval applies the removal of the entry of an endpoint and returns the changes.
func (r *registry) applyRemoval(id string, revision Revision, now, reregisterDeadline time.Time) []Endpoint {
	current, found := r.entries[id]
	at, derived := r.storedAt[id]
	if !derived {
		at = current.Revision
	}
	if !found || at >= revision {
		return nil
	}
	if _, doubtful := r.doubtful[id]; current.Deregistered && !doubtful {
		return nil
	}
	return r.handleMissing(current, revision, now, reregisterDeadline)
}

// handleMissing removes an endpoint whose entry is missing and returns it, or nil if the
// endpoint may register again. Draining endpoints are removed at once.
func (r *registry) handleMissing(current Endpoint, revision Revision, now, reregisterDeadline time.Time) []Endpoint {
	if !current.Draining && !current.Deregistered && now.Before(reregisterDeadline) {
		r.missing[current.ID] = missingEntry{revision: revision, until: reregisterDeadline}
		return nil
	}
	return []Endpoint{r.remove(current, revision)}
}

func (r *registry) remove(current Endpoint, revision Revision) Endpoint {
	current.Deregistered = true
	current.Revision = max(revision, current.Revision+1)
	r.apply(current)
	return current
}

// expireMissing removes the endpoints that did not register again in time and returns them. One
// that another member has removed meanwhile is removed at the revision at which it was missing,
// which others have to know.
func (r *registry) expireMissing(now time.Time) []Endpoint {
	var changed []Endpoint
	for id, entry := range r.missing {
		if now.Before(entry.until) {
			continue
		}
		delete(r.missing, id)
		if current := r.entries[id]; !current.Deregistered || current.Revision < entry.revision {
			changed = append(changed, r.remove(current, entry.revision))
		}
	}
	return changed
}

// index keeps byService when a state replaces a former one, or none.
func (r *registry) index(former, e *Endpoint) {
	if former.ID != "" && (former.Service != e.Service || !e.usable()) {
		delete(r.byService[former.Service], former.ID)
		if len(r.byService[former.Service]) == 0 {
			delete(r.byService, former.Service)
		}
	}
	if !e.usable() {
		return
	}
	names, found := r.byService[e.Service]
	if !found {
		names = map[string]struct{}{}
		r.byService[e.Service] = names
	}
	names[e.ID] = struct{}{}
}

// usable reports whether the endpoint may get new requests.
func (e *Endpoint) usable() bool { return !e.Deregistered && !e.Draining }

// usable returns the endpoints of a service that may get new requests.
func (r *registry) usable(service string) []Endpoint {
	names := r.byService[service]
	list := make([]Endpoint, 0, len(names))
	for id := range names {
		list = append(list, r.entries[id])
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
