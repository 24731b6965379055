package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is a kind of objects in the store.
type Kind uint8

// Kinds of objects.
const (
	KindEndpoints Kind = iota
	KindConfiguration
	KindMembers
)

var kindNames = [...]string{"endpoints", "configuration", "members"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Batch is a list of the objects of a kind, or the changes since a revision.
type Batch struct {
	// Revision is the revision of the store after the batch.
	Revision      Revision
	Endpoints     []Endpoint
	Configuration *Configuration // nil if absent or unchanged
	Members       []Member
	// Removed holds the addresses of members whose entries were removed.
	Removed []string
}

func (b *Batch) empty() bool {
	return len(b.Endpoints) == 0 && b.Configuration == nil && len(b.Members) == 0 && len(b.Removed) == 0
}

// ErrCompacted means that the store no longer has the changes since a revision, or was
// restored from a backup since. The caller has to list the objects again.
var ErrCompacted = eris.New("gateway: revision was compacted by the store")

// Store holds the configuration, the endpoints and the members. After an error, reads
// have no result and writes may or may not have taken effect.
type Store interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind Kind) (*Batch, error)
	// Watch returns the changes since the revision as soon as there are any, or an empty
	// batch after wait.
	Watch(ctx context.Context, kind Kind, since Revision, wait time.Duration) (*Batch, error)
	// Register creates the entry of a member if there is none.
	Register(ctx context.Context, m Member) error
	// Remove deletes the entry of a member, identified by its address.
	Remove(ctx context.Context, m Member) error
}
