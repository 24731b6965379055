package rollout

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Errors that callers test with errors.Is.
var (
	// ErrStale means that a document which the change was planned against has
	// been replaced. Nothing may be written.
	ErrStale = eris.New("rollout: the plan is stale")
	// ErrCommitted means that the head has an audit entry of the operation.
	ErrCommitted = eris.New("rollout: the operation is already committed")
	// ErrChange means that a change has an invalid field.
	ErrChange = eris.New("rollout: invalid change")
)

// Change is a configuration change that an operator has planned and confirmed.
type Change struct {
	Operator string
	// Operation is the unique id of the change.
	Operation string
	// Base is the revision that the plan was made against.
	Base int64
	// Versions holds, by service, the name of the document that the plan was made
	// against, or "" if the service did not exist. It has an entry for every
	// service in Documents and Remove.
	Versions  map[string]string
	Documents map[string][]byte
	Remove    []string
	Summary   string
}

// Write is a platform object to write.
type Write struct {
	Name  string
	Value []byte
}

// Commit holds the writes of a change. The caller writes the CreateOnly objects
// first, with expected version 0. A conflict means that the object exists, as
// after an earlier attempt; the caller must then check that its value is the
// same. It writes the head last, with the version of the head that the commit was
// computed from as expected version.
type Commit struct {
	createOnly []Write
	head       Head
	headValue  []byte
}

// CreateOnly returns the changed documents and, if the head has no room for
// another audit entry, an audit segment.
func (c Commit) CreateOnly() []Write { return c.createOnly }

// Head returns the head to write, which has the next revision.
func (c Commit) Head() Head { return c.head }

// HeadValue returns the encoded head to write.
func (c Commit) HeadValue() []byte { return c.headValue }

// Commit computes the writes that apply the change to this head. The errors are
// ErrChange, ErrCommitted and ErrStale. After a lost response the caller reads
// the head again, searches the segments in SegmentsSince for the operation, and
// calls Commit again on the new head if none has it.
func (h Head) Commit(change Change, now time.Time) (Commit, error) {
	if err := change.validate(h); err != nil {
		return Commit{}, err
	}
	if e, ok := h.Operation(change.Operation); ok {
		return Commit{}, eris.Wrapf(ErrCommitted, "%s as revision %d", change.Operation, e.Revision)
	}
	if err := h.checkVersions(change); err != nil {
		return Commit{}, err
	}
	next := Head{Revision: h.Revision + 1, Index: maps.Clone(h.Index)}
	if next.Index == nil {
		next.Index = map[string]DocumentRef{}
	}
	var c Commit
	changed := slices.Sorted(maps.Keys(change.Documents))
	for _, service := range changed {
		value := change.Documents[service]
		name := DocumentName(service, next.Revision, change.Operation)
		next.Index[service] = DocumentRef{Name: name, Digest: Digest(value), Revision: next.Revision}
		c.createOnly = append(c.createOnly, Write{Name: name, Value: value})
	}
	for _, service := range change.Remove {
		delete(next.Index, service)
	}
	segment, kept := h.splitFullSegment()
	if segment != nil {
		value, err := json.Marshal(segment)
		if err != nil {
			return Commit{}, eris.Wrap(err, "rollout: cannot encode an audit segment")
		}
		c.createOnly = append(c.createOnly, Write{Name: SegmentName(segment.Number), Value: value})
	}
	next.Audit = append(slices.Clone(kept), AuditEntry{
		Revision:   next.Revision,
		Operator:   change.Operator,
		Operation:  change.Operation,
		Base:       change.Base,
		UnixMillis: now.UnixMilli(),
		Summary:    change.Summary,
		Changed:    changed,
		Removed:    slices.Sorted(slices.Values(change.Remove)),
	})
	value, err := next.Encode()
	if err != nil {
		return Commit{}, err
	}
	c.head = next
	c.headValue = value
	return c, nil
}

func (h Head) checkVersions(change Change) error {
	for service, planned := range change.Versions {
		if current := h.Index[service].Name; current != planned {
			return eris.Wrapf(ErrStale, "service %s: planned against %q, current is %q", service, planned, current)
		}
	}
	return nil
}

func (c Change) validate(h Head) error {
	switch {
	case c.Operator == "":
		return eris.Wrap(ErrChange, "operator: want a name")
	case c.Operation == "" || strings.Contains(c.Operation, "/"):
		return eris.Wrapf(ErrChange, "operation: %q, want an id without a slash", c.Operation)
	case c.Base < 0 || c.Base > h.Revision:
		return eris.Wrapf(ErrChange, "base: %d, want 0 to %d", c.Base, h.Revision)
	case len(c.Documents) == 0 && len(c.Remove) == 0:
		return eris.Wrap(ErrChange, "documents: want at least one document or removal")
	}
	for _, service := range append(slices.Sorted(maps.Keys(c.Documents)), c.Remove...) {
		if service == "" || strings.Contains(service, "/") {
			return eris.Wrapf(ErrChange, "documents: service %q, want a name without a slash", service)
		}
		if _, ok := c.Versions[service]; !ok {
			return eris.Wrapf(ErrChange, "versions: want the planned version of service %s", service)
		}
	}
	for _, service := range c.Remove {
		if _, ok := c.Documents[service]; ok {
			return eris.Wrapf(ErrChange, "remove: service %s also has a document", service)
		}
	}
	return nil
}
