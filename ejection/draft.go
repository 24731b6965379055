package ejection

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// historyRetention is how long an ended ejection raises the evidence required to
// readmit the endpoint after its next ejection.
const historyRetention = time.Hour

// Errors of a draft, to be tested with errors.Is. A method that returns one
// leaves the draft unchanged. ErrListed, ErrNotListed, ErrUnknownEndpoint and
// ErrHeldTooShort are returned unwrapped: they are frequent, and recording a
// stack trace costs more than the check itself.
var (
	// ErrFloor means that the ejection would leave fewer endpoints than the floor.
	ErrFloor = eris.New("ejection: capacity floor reached")
	// ErrStaleConfiguration means that the ledger was written under a newer
	// revision of the service's document than the proposing proxy has.
	ErrStaleConfiguration = eris.New("ejection: configuration older than the ledger")
	// ErrListed means that the endpoint already has an entry, or had one that
	// this draft removed.
	ErrListed = eris.New("ejection: endpoint already listed")
	// ErrNotListed means that the endpoint has no entry in the required state.
	ErrNotListed = eris.New("ejection: endpoint not listed in required state")
	// ErrUnknownEndpoint means that the endpoint is not configured.
	ErrUnknownEndpoint = eris.New("ejection: endpoint not configured")
	// ErrHeldTooShort means that the proxy has not held the returning entry for
	// RemoveHold, so that copies with the endpoint ejected may still be valid.
	ErrHeldTooShort = eris.New("ejection: returning entry not held long enough")
	// ErrFloorViolated means that the floor invariant does not hold. It indicates
	// a bug, and the ledger must not be written.
	ErrFloorViolated = eris.New("ejection: floor invariant violated")
)

// Candidate is an endpoint proposed for ejection.
type Candidate struct {
	Endpoint string
	Kind     string
	// Evidence is the strength of the evidence as a log-likelihood ratio. When
	// the floor is restored, the endpoint with the weakest is readmitted first.
	Evidence float64
}

// Action is the kind of a change of the ledger.
type Action string

// The actions that are recorded in the audit trail.
const (
	ActionEject Action = "eject"
	// ActionReturn moves an entry to returning because the endpoint recovered.
	ActionReturn Action = "return"
	// ActionRestore moves an entry to returning to restore the floor.
	ActionRestore Action = "restore"
	// ActionRemove deletes a returning entry.
	ActionRemove Action = "remove"
)

// Change is one change that a draft made, for the audit trail.
type Change struct {
	Action Action `json:"action"`
	// Entry is the entry after the change, or before it for a removal.
	Entry Entry `json:"entry"`
}

// Draft applies changes to a ledger that was read. The result must be written by
// a conditional update of the version that was read. It is not safe for
// concurrent use.
type Draft struct {
	ledger    Ledger
	pool      Pool
	proposer  string
	operation string
	now       time.Time
	changes   []Change
	finished  bool
}

// NewDraft starts a draft of a change to base. The proposer is the incarnation
// of the calling proxy. The operation id must be unique to this write attempt,
// because Write.Outcome identifies the write by it.
func NewDraft(base Ledger, pool Pool, proposer, operation string, now time.Time) *Draft {
	return &Draft{ledger: base.clone(), pool: pool, proposer: proposer, operation: operation, now: now}
}

// Propose ejects an endpoint that has no entry, or whose entry is returning since
// an earlier write. The errors are ErrStaleConfiguration, ErrUnknownEndpoint,
// ErrListed and ErrFloor.
func (d *Draft) Propose(c Candidate) error {
	if d.staleConfiguration() {
		return eris.Wrapf(ErrStaleConfiguration, "revision %d, ledger has %d",
			d.pool.revision, d.ledger.ConfigRevision)
	}
	if !d.pool.endpoints[c.Endpoint] {
		return ErrUnknownEndpoint
	}
	i := d.ledger.index(c.Endpoint)
	if i >= 0 && !d.ejectableAgain(d.ledger.Entries[i]) || d.removedInDraft(c.Endpoint) {
		return ErrListed
	}
	left := d.pool.remaining(func(e string) bool { return e == c.Endpoint || d.ledger.index(e) >= 0 })
	if left < d.pool.floor {
		return eris.Wrapf(ErrFloor, "%s would leave %d, floor is %d", c.Endpoint, left, d.pool.floor)
	}
	e := Entry{
		Endpoint: c.Endpoint, State: StateEjected, Kind: c.Kind, Evidence: c.Evidence,
		Proposer: d.proposer, Operation: d.operation,
	}
	if i >= 0 {
		d.recordEjection(c.Endpoint)
		d.ledger.Entries[i] = e
	} else {
		d.ledger.Entries = append(d.ledger.Entries, e)
	}
	d.changes = append(d.changes, Change{Action: ActionEject, Entry: e})
	return nil
}

// ejectableAgain reports whether an entry has been returning since an earlier
// write. The endpoint still counts as unavailable, so ejecting it again takes no
// further capacity and a flapping endpoint need not stay in use until its entry
// may be removed.
func (d *Draft) ejectableAgain(e Entry) bool {
	return e.State == StateReturning && e.Operation != d.operation
}

// Return readmits an endpoint that was ejected in the base ledger. The endpoint
// counts as unavailable until its entry is removed. The error is ErrNotListed.
func (d *Draft) Return(endpoint string) error {
	i := d.ledger.index(endpoint)
	if i < 0 || d.ledger.Entries[i].State != StateEjected || d.ledger.Entries[i].Operation == d.operation {
		return ErrNotListed
	}
	d.setReturning(i, ActionReturn)
	return nil
}

// Remove deletes a returning entry that the view v has held for RemoveHold. The
// errors are ErrNotListed and ErrHeldTooShort.
func (d *Draft) Remove(endpoint string, v *View) error {
	i := d.ledger.index(endpoint)
	if i < 0 || d.ledger.Entries[i].State != StateReturning {
		return ErrNotListed
	}
	e := d.ledger.Entries[i]
	if !v.holdElapsed(e, d.now) {
		return ErrHeldTooShort
	}
	d.ledger.Entries = slices.Delete(d.ledger.Entries, i, i+1)
	d.recordEjection(endpoint)
	d.changes = append(d.changes, Change{Action: ActionRemove, Entry: e})
	return nil
}

// Restore restores a floor that no longer holds because it was raised or an
// endpoint became unavailable. It moves the entries with the weakest evidence to
// returning until the floor holds with all returning endpoints counted as
// available. It also moves the entries of endpoints that are no longer
// configured. It does nothing if the pool's configuration is older than the
// ledger.
func (d *Draft) Restore() {
	if d.staleConfiguration() {
		return
	}
	for _, i := range d.ejectedByEvidence() {
		e := d.ledger.Entries[i]
		if !d.pool.endpoints[e.Endpoint] {
			d.setReturning(i, ActionRestore)
			continue
		}
		if d.pool.available(e.Endpoint) && d.remainingAfterReturns() < d.pool.floor {
			d.setReturning(i, ActionRestore)
		}
	}
}

// Finish restores the floor, checks the floor invariant and returns the ledger
// to write and the changes made. Nothing need be written if Changed reports
// false. The error is ErrFloorViolated.
func (d *Draft) Finish() (Ledger, []Change, error) {
	d.Restore()
	if !d.Changed() {
		return d.ledger, nil, nil
	}
	d.pruneHistory()
	d.ledger.ConfigRevision = max(d.ledger.ConfigRevision, d.pool.revision)
	d.ledger.recordOperation(d.operation)
	d.finished = true
	if err := d.checkFloor(); err != nil {
		return Ledger{}, nil, err
	}
	return d.ledger, d.changes, nil
}

// Changed reports whether there is anything to write: a change, or a newer
// configuration revision. Writing the revision makes later proposals under an
// older one fail. Changed may be called before and after Finish.
func (d *Draft) Changed() bool {
	return d.finished || len(d.changes) > 0 || d.pool.revision > d.ledger.ConfigRevision
}

func (d *Draft) staleConfiguration() bool {
	return d.pool.revision < d.ledger.ConfigRevision
}

// removedInDraft reports whether the draft removed the endpoint's entry. The
// endpoint can be ejected again only by a later write, so that no single write
// removes a returning entry and ejects the endpoint.
func (d *Draft) removedInDraft(endpoint string) bool {
	return slices.ContainsFunc(d.changes, func(c Change) bool {
		return c.Action == ActionRemove && c.Entry.Endpoint == endpoint
	})
}

func (d *Draft) setReturning(i int, a Action) {
	e := &d.ledger.Entries[i]
	e.State = StateReturning
	e.Operation = d.operation
	d.changes = append(d.changes, Change{Action: a, Entry: *e})
}

func (d *Draft) remainingAfterReturns() int {
	return d.pool.remaining(func(endpoint string) bool {
		e, ok := d.ledger.Entry(endpoint)
		return ok && e.State == StateEjected
	})
}

// ejectedByEvidence returns the indexes of the ejected entries, weakest evidence
// first.
func (d *Draft) ejectedByEvidence() []int {
	var order []int
	for i, e := range d.ledger.Entries {
		if e.State == StateEjected {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return compareEvidence(d.ledger.Entries[a], d.ledger.Entries[b])
	})
	return order
}

// compareEvidence orders by evidence, then by endpoint name, so that all proxies
// restore the same entries.
func compareEvidence(a, b Entry) int {
	if c := cmp.Compare(a.Evidence, b.Evidence); c != 0 {
		return c
	}
	return cmp.Compare(a.Endpoint, b.Endpoint)
}

func (d *Draft) recordEjection(endpoint string) {
	forgetAt := d.now.Add(historyRetention).UnixMilli()
	for i := range d.ledger.History {
		if d.ledger.History[i].Endpoint == endpoint {
			d.ledger.History[i].Ejections++
			d.ledger.History[i].ForgetAt = forgetAt
			return
		}
	}
	d.ledger.History = append(d.ledger.History, Record{Endpoint: endpoint, Ejections: 1, ForgetAt: forgetAt})
}

func (d *Draft) pruneHistory() {
	now := d.now.UnixMilli()
	d.ledger.History = slices.DeleteFunc(d.ledger.History, func(r Record) bool { return r.ForgetAt <= now })
}

// checkFloor checks the floor invariant without the helpers that made the
// changes: a draft that ejects an endpoint must leave the floor with all entries
// counted as unavailable.
func (d *Draft) checkFloor() error {
	ejects := slices.ContainsFunc(d.changes, func(c Change) bool { return c.Action == ActionEject })
	if !ejects {
		return nil
	}
	listed := make(map[string]bool, len(d.ledger.Entries))
	for _, e := range d.ledger.Entries {
		listed[e.Endpoint] = true
	}
	left := 0
	for e := range d.pool.endpoints {
		if !d.pool.unavailable[e] && !listed[e] {
			left++
		}
	}
	if left < d.pool.floor {
		return eris.Wrapf(ErrFloorViolated, "%s: %d left, floor is %d", d.ledger.Service, left, d.pool.floor)
	}
	return nil
}
