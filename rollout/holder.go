package rollout

import (
	"sync"

	"github.com/rotisserie/eris"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotNewer means that a head or candidate has no higher revision than the
	// holder's configuration.
	ErrNotNewer = eris.New("rollout: revision is not higher than the current one")
	// ErrIncomplete means that documents of the candidate are missing.
	ErrIncomplete = eris.New("rollout: documents are missing")
)

// Names of the invariants that the package checks while it runs.
const (
	// InvariantRevision: the revision of a holder never decreases.
	InvariantRevision = "revision-back"
	// InvariantComplete: every document of a holder matches its digest.
	InvariantComplete = "document-digest"
	// InvariantSameRevision: heads with the same revision are identical.
	InvariantSameRevision = "revision-content"
)

// Holder holds the configuration that a process has applied. It is safe for
// concurrent use.
type Holder struct {
	mu        sync.RWMutex
	head      Head
	digest    string
	documents map[string][]byte // by name
	// verified holds the digests that the documents matched when they were added,
	// by name. Documents are immutable, so they are not hashed again.
	verified   map[string]string
	violations uint64
	hook       func(name, detail string)
}

// HolderOption is an option of NewHolder.
type HolderOption func(*Holder)

// WithViolationHook sets a function that is called for every violation of an
// invariant. The holder is locked during the call, so the function must not use
// it.
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

// Revision returns the revision of the configuration, or 0 if there is none.
func (h *Holder) Revision() int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.head.Revision
}

// Head returns the head of the configuration. Its maps and slices must not be
// modified.
func (h *Holder) Head() Head {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.head
}

// Document returns the document of a service and its reference, and false if the
// service is not configured. The document must not be modified.
func (h *Holder) Document(service string) ([]byte, DocumentRef, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	ref, ok := h.head.Index[service]
	return h.documents[ref.Name], ref, ok
}

// DocumentByName returns a document of the configuration by its object name, as
// peers request it. The document must not be modified.
func (h *Holder) DocumentByName(name string) ([]byte, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	value, ok := h.documents[name]
	return value, ok
}

// Since returns the delta from the revision base of a peer. It uses the digest
// computed when the head was applied: encoding a head of 6,400 services for every
// request of a peer would take milliseconds each time.
func (h *Holder) Since(base int64) Delta {
	h.mu.RLock()
	head, sum := h.head, h.digest
	h.mu.RUnlock()
	return head.since(base, sum)
}

// Stage returns a candidate for a head that was read from the platform or from a
// peer. It contains the documents that the holder already has. ErrNotNewer means
// that the head has no higher revision, and ErrHead that it is invalid.
func (h *Holder) Stage(head Head) (*Candidate, error) {
	if err := head.validate(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if head.Revision <= h.head.Revision {
		h.checkSameRevision(head)
		return nil, eris.Wrapf(ErrNotNewer, "offered revision %d, current %d", head.Revision, h.head.Revision)
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

// StageDelta returns a candidate for a peer's delta. The errors are those of
// Stage and ErrDelta, which means that the whole head must be requested.
func (h *Holder) StageDelta(d Delta) (*Candidate, error) {
	held := h.Head()
	if d.Revision <= held.Revision {
		return nil, eris.Wrapf(ErrNotNewer, "offered revision %d, current %d", d.Revision, held.Revision)
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

// Apply replaces the configuration by a candidate. ErrIncomplete and ErrNotNewer
// mean that nothing changed; ErrNotNewer is also returned if another candidate with
// the same or a higher revision was applied in the meantime.
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
		return eris.Wrapf(ErrNotNewer, "offered revision %d, current %d", c.head.Revision, before)
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

// Violations returns the total number of violations of all invariants.
func (h *Holder) Violations() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.violations
}

func (h *Holder) checkSameRevision(offered Head) {
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
