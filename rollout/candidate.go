package rollout

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrDigest means that a document does not match its digest, or that a
// candidate has no document of that name.
var ErrDigest = eris.New("rollout: document does not match its digest")

// Candidate is a configuration that is applied once all its documents have been
// added. It is not safe for concurrent use.
type Candidate struct {
	head      Head
	documents map[string][]byte      // by name
	missing   map[string]DocumentRef // by name
	verified  map[string]string      // digests that the documents match, by name
	digest    string                 // of the head, empty if not computed yet
}

func (c *Candidate) headDigest() (string, error) {
	if c.digest != "" {
		return c.digest, nil
	}
	return c.head.Digest()
}

// Head returns the head that the candidate was staged for.
func (c *Candidate) Head() Head { return c.head }

// Document returns a document that the holder already had or that has been
// added.
func (c *Candidate) Document(name string) ([]byte, bool) {
	value, ok := c.documents[name]
	return value, ok
}

// MissingDocuments returns the documents that still have to be added, sorted by
// name.
func (c *Candidate) MissingDocuments() []DocumentRef {
	refs := make([]DocumentRef, 0, len(c.missing))
	for _, name := range slices.Sorted(maps.Keys(c.missing)) {
		refs = append(refs, c.missing[name])
	}
	return refs
}

// AddDocument adds a document. It ignores one that the candidate already has.
// ErrDigest means that the head does not refer to the document, or that the value
// does not match the digest in the head.
func (c *Candidate) AddDocument(name string, value []byte) error {
	ref, ok := c.missing[name]
	if !ok {
		if _, held := c.documents[name]; held {
			return nil
		}
		return eris.Wrapf(ErrDigest, "%s is not part of revision %d", name, c.head.Revision)
	}
	if sum := Digest(value); sum != ref.Digest {
		return eris.Wrapf(ErrDigest, "%s: %s, want %s", name, sum, ref.Digest)
	}
	c.documents[name] = slices.Clone(value)
	c.verified[name] = ref.Digest
	delete(c.missing, name)
	return nil
}
