package rollout

import (
	"sync"

	"github.com/rotisserie/eris"
)

// Errors that callers test with errors.Is.
var (
	// ErrOlder means that the offered revision is not higher than the held one.
	ErrOlder = eris.New("rollout: the revision is not higher than the held one")
	// ErrIncomplete means that documents of the candidate are missing.
	ErrIncomplete = eris.New("rollout: documents are missing")
)

// Names of the invariants that the package checks while it runs.
const (
	// InvariantRevision: the held revision never goes back.
	InvariantRevision = "revision-back"
	// InvariantComplete: every held document matches its digest.
	InvariantComplete = "document-digest"
	// InvariantSameRevision: one revision has one content.
	InvariantSameRevision = "revision-content"
)

// Holder holds the configuration in force in one process. It is safe for
// concurrent use.
type Holder struct {
	mu        sync.RWMutex
	head      Head
	digest    string
	documents map[string][]byte // by name
	// verified holds the digests that the documents were found to match when
	// they arrived. Documents are never changed, so they are not hashed again.
	verified   map[string]string
	violations uint64
	hook       func(name, detail string)
}

// HolderOption changes a Holder under construction.
type HolderOption func(*Holder)

// WithViolationHook sets a function that is called for every violated
// invariant. It must not call the holder.
func WithViolationHook(hook func(name, detail string)) HolderOption {
	return func(h *Holder) { h.hook = hook }
}

// NewHolder returns a holder without a configuration, at revision 0.
func NewHolder(options ...HolderOption) *Holder {
	h := &Holder{documents: map[string][]byte{}}
	for _, o := range options {
		o(h)
	}
	return h
}

// Revision returns the held revision, 0 if there is none.
func (h *Holder) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.head.Revision
}

// Head returns the held head. Its maps and slices must not be changed.
func (h *Holder) Head() Head {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.head
}

// Document returns the held document of a service and its reference.
func (h *Holder) Document(service string) ([]byte, DocumentRef, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	ref, ok := h.head.Index[service]
	return h.documents[ref.Name], ref, ok
}

// DocumentByName returns a held document, for a peer that asks for it.
func (h *Holder) DocumentByName(name string) ([]byte, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	value, ok := h.documents[name]
	return value, ok
}

// Since returns the changes since the revision that a peer holds. The digest was
// computed when the head was applied: encoding a head of 6,400 services for every
// peer that asks would cost milliseconds each time.
func (h *Holder) Since(base int64) Delta {
	h.mu.RLock()
	head, sum := h.head, h.digest
	h.mu.RUnlock()
	return head.since(base, sum)
}

// Stage prepares a candidate for a head that was read from the platform or
// from a peer. ErrOlder means that there is nothing to do.
func (h *Holder) Stage(head Head) (*Candidate, error) {
	if err := head.validate(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if head.Revision <= h.head.Revision {
		h.compareRevision(head)
		return nil, eris.Wrapf(ErrOlder, "offered %d, held %d", head.Revision, h.head.Revision)
	}
	c := &Candidate{
		head: head, documents: map[string][]byte{}, missing: map[string]DocumentRef{}, verified: map[string]string{},
	}
	for _, ref := range head.Index {
		value, held := h.documents[ref.Name]
		if held && h.verified[ref.Name] == ref.Digest {
			c.documents[ref.Name] = value
			c.verified[ref.Name] = ref.Digest
			continue
		}
		c.missing[ref.Name] = ref
	}
	return c, nil
}

// StageDelta prepares a candidate from a peer's delta. ErrDelta means that the
// whole head must be asked for.
func (h *Holder) StageDelta(d Delta) (*Candidate, error) {
	held := h.Head()
	if d.Revision <= held.Revision {
		return nil, eris.Wrapf(ErrOlder, "offered %d, held %d", d.Revision, held.Revision)
	}
	next, err := held.Apply(d)
	if err != nil {
		return nil, err
	}
	c, err := h.Stage(next)
	if err != nil {
		return nil, err
	}
	c.digest = d.Digest
	return c, nil
}

// Apply puts a candidate in force as a whole. ErrIncomplete or ErrOlder mean
// that nothing changed; another candidate may have been faster.
func (h *Holder) Apply(c *Candidate) error {
	if len(c.missing) > 0 {
		return eris.Wrapf(ErrIncomplete, "revision %d: %d documents", c.head.Revision, len(c.missing))
	}
	sum, err := c.headDigest()
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.head.Revision
	if c.head.Revision <= before {
		return eris.Wrapf(ErrOlder, "offered %d, held %d", c.head.Revision, before)
	}
	h.head = c.head
	h.digest = sum
	h.documents = c.documents
	h.verified = c.verified
	h.check(h.head.Revision > before, InvariantRevision, before)
	for _, ref := range h.head.Index {
		h.check(c.verified[ref.Name] == ref.Digest, InvariantComplete, before)
	}
	return nil
}

// Violations returns the number of violated invariants so far.
func (h *Holder) Violations() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.violations
}

func (h *Holder) compareRevision(offered Head) {
	if offered.Revision != h.head.Revision || offered.Revision == 0 {
		return
	}
	sum, err := offered.Digest()
	h.check(err == nil && sum == h.digest, InvariantSameRevision, offered.Revision)
}

func (h *Holder) check(holds bool, name string, before int64) {
	if holds {
		return
	}
	h.violations++
	if h.hook != nil {
		h.hook(name, "revision "+formatRevision(before)+" before, "+formatRevision(h.head.Revision)+" now")
	}
}
