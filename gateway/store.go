package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Kind selects the objects of a call to the store.
type Kind uint8

// The kinds of objects.
const (
	KindEndpoints Kind = iota
	KindConfiguration
	KindMembers
)

var kindNames = [...]string{"endpoints", "configuration", "members"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Batch is a list of the objects of a kind, or the changes since a revision.
type Batch struct {
	// Revision is the store's revision that the batch leads to.
	Revision      uint64
	Endpoints     []Endpoint
	Configuration *Configuration // nil if there is none or it did not change
	Members       []Member
	// Removed names members whose entries were removed.
	Removed []string
}

// ErrCompacted means that the store no longer has the changes since a revision;
// list again.
var ErrCompacted = eris.New("gateway: history of the store is gone")

// Store holds the configuration, the endpoints and the members. Its errors mean
// that nothing is known, or that a write may have taken effect.
type Store interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind Kind) (*Batch, error)
	// Watch returns the changes since the revision as soon as there is one, or an
	// empty batch after wait.
	Watch(ctx context.Context, kind Kind, since uint64, wait time.Duration) (*Batch, error)
	// Register creates the entry of a member, unless it exists.
	Register(ctx context.Context, m Member) error
	// Remove deletes the entry of a member.
	Remove(ctx context.Context, m Member) error
}
