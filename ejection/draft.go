package ejection

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// historyRetention is how long an earlier ejection raises the proof required
// for the next return.
const historyRetention = time.Hour

// Errors of a draft, tested with errors.Is. The draft is unchanged after each.
// Those about the endpoint that the caller named are returned bare: they are
// frequent refusals, and recording a stack for each costs more than the check.
var (
	// ErrFloor means that the ejection would leave fewer endpoints than the floor.
	ErrFloor = eris.New("ejection: capacity floor reached")
	// ErrStaleConfiguration means that the ledger was written under a newer
	// revision of the service's document than the proposer holds.
	ErrStaleConfiguration = eris.New("ejection: configuration older than the ledger")
	// ErrListed means that an entry already names the endpoint, or did until
	// this draft removed it.
	ErrListed = eris.New("ejection: endpoint already listed")
	// ErrNotListed means that no entry in the required state names the endpoint.
	ErrNotListed = eris.New("ejection: endpoint not listed in that state")
	// ErrUnknownEndpoint means that the endpoint is not configured.
	ErrUnknownEndpoint = eris.New("ejection: endpoint not configured")
	// ErrHeldTooShort means that copies which list the endpoint as ejected may
	// still be valid.
	ErrHeldTooShort = eris.New("ejection: returning entry not held long enough")
	// ErrFloorViolated means that the floor invariant does not hold. It is a
	// fault of the program, and nothing may be written.
	ErrFloorViolated = eris.New("ejection: floor invariant violated")
)

// Candidate is an endpoint proposed for ejection.
type Candidate struct {
	Endpoint string
	Kind     string
	// Evidence is a log-likelihood ratio; the weakest is returned first.
	Evidence float64
}

// Action names a change of the ledger in the audit trail.
type Action string

// The actions of the audit trail.
const (
	ActionEject   Action = "eject"
	ActionReturn  Action = "return"
	ActionRestore Action = "restore"
	ActionRemove  Action = "remove"
)

// Change is one change of a draft, for the audit trail.
type Change struct {
	Action Action `json:"action"`
	// Entry is the entry after the change, or before it for a removal.
	Entry Entry `json:"entry"`
}

// Draft applies changes to a ledger that was read and yields the value to write
// by conditional update on the version that was read.
type Draft struct {
	ledger    Ledger
	pool      Pool
	proposer  string
	operation string
	now       time.Time
	changes   []Change
	finished  bool
}

// NewDraft starts a draft. The operation id must be unique to this write
// attempt, because the outcome of a lost write response is decided by it.
func NewDraft(base Ledger, pool Pool, proposer, operation string, now time.Time) *Draft {
	return &Draft{ledger: base.clone(), pool: pool, proposer: proposer, operation: operation, now: now}
}

// Propose ejects an endpoint, also one that is returning. The errors are ErrStaleConfiguration,
// ErrUnknownEndpoint, ErrListed and ErrFloor.
func (d *Draft) Propose(c Candidate) error {
	if d.stale() {
		return eris.Wrapf(ErrStaleConfiguration, "revision %d, ledger has %d",
			d.pool.revision, d.ledger.ConfigRevision)
	}
	if !d.pool.endpoints[c.Endpoint] {
		return ErrUnknownEndpoint
	}
	i := d.ledger.index(c.Endpoint)
	if i >= 0 && !d.ejectableAgain(d.ledger.Entries[i]) || d.removed(c.Endpoint) {
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
		d.remember(c.Endpoint)
		d.ledger.Entries[i] = e
	} else {
		d.ledger.Entries = append(d.ledger.Entries, e)
	}
	d.changes = append(d.changes, Change{Action: ActionEject, Entry: e})
	return nil
}

// ejectableAgain reports whether an entry is on its way back since an earlier
// write. Its capacity still counts as lost, so a flapping endpoint need not stay
// in use until the entry may be removed.
func (d *Draft) ejectableAgain(e Entry) bool {
	return e.State == StateReturning && e.Operation != d.operation
}

// Return lets an endpoint receive work again that the ledger read listed as
// ejected. Its capacity stays counted as lost until Remove. The error is
// ErrNotListed.
func (d *Draft) Return(endpoint string) error {
	i := d.ledger.index(endpoint)
	if i < 0 || d.ledger.Entries[i].State != StateEjected || d.ledger.Entries[i].Operation == d.operation {
		return ErrNotListed
	}
	d.setReturning(i, ActionReturn)
	return nil
}

// Remove deletes a returning entry that the view has held for RemoveHold. The
// errors are ErrNotListed and ErrHeldTooShort.
func (d *Draft) Remove(endpoint string, v *View) error {
	i := d.ledger.index(endpoint)
	if i < 0 || d.ledger.Entries[i].State != StateReturning {
		return ErrNotListed
	}
	e := d.ledger.Entries[i]
	if !v.heldLongEnough(e, d.now) {
		return ErrHeldTooShort
	}
	d.ledger.Entries = slices.Delete(d.ledger.Entries, i, i+1)
	d.remember(endpoint)
	d.changes = append(d.changes, Change{Action: ActionRemove, Entry: e})
	return nil
}

// Restore moves the entries with the weakest evidence to returning until the
// floor holds again once all returning endpoints are back, for a raised floor
// or an endpoint that left. Entries of endpoints that are no longer configured
// return as well. A proxy with an older configuration restores nothing.
func (d *Draft) Restore() {
	if d.stale() {
		return
	}
	for _, i := range d.weakestFirst() {
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

// Finish restores the floor, checks the invariant and returns the value to
// write with its changes. The value needs no write if Changed is false. The
// error is ErrFloorViolated.
func (d *Draft) Finish() (Ledger, []Change, error) {
	d.Restore()
	if !d.Changed() {
		return d.ledger, nil, nil
	}
	d.forget()
	d.ledger.ConfigRevision = max(d.ledger.ConfigRevision, d.pool.revision)
	d.ledger.sign(d.operation)
	d.finished = true
	if err := d.checkFloor(); err != nil {
		return Ledger{}, nil, err
	}
	return d.ledger, d.changes, nil
}

// Changed reports, before and after Finish, whether there is anything to write:
// a change, or a newer configuration revision, which keeps proposers with an
// older one out.
func (d *Draft) Changed() bool {
	return d.finished || len(d.changes) > 0 || d.pool.revision > d.ledger.ConfigRevision
}

func (d *Draft) stale() bool {
	return d.pool.revision < d.ledger.ConfigRevision
}

// removed reports whether the draft removed the endpoint. Its next ejection
// takes another write, so that no single write turns returning into ejected.
func (d *Draft) removed(endpoint string) bool {
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

// weakestFirst returns the indexes of the ejected entries.
func (d *Draft) weakestFirst() []int {
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

// compareEvidence orders by evidence and breaks ties by name, so that all
// proxies choose the same entries.
func compareEvidence(a, b Entry) int {
	if c := cmp.Compare(a.Evidence, b.Evidence); c != 0 {
		return c
	}
	return cmp.Compare(a.Endpoint, b.Endpoint)
}

func (d *Draft) remember(endpoint string) {
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

func (d *Draft) forget() {
	now := d.now.UnixMilli()
	d.ledger.History = slices.DeleteFunc(d.ledger.History, func(r Record) bool { return r.ForgetAt <= now })
}

// checkFloor asserts the invariant independently of how the changes were made:
// a draft that ejects leaves the floor with every entry counted.
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
		if !d.pool.absent[e] && !listed[e] {
			left++
		}
	}
	if left < d.pool.floor {
		return eris.Wrapf(ErrFloorViolated, "%s: %d left, floor is %d", d.ledger.Service, left, d.pool.floor)
	}
	return nil
}
