package operator

import (
	"bytes"
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

// head is a head with the version of the object it was read from, which a
// conditional update of it must expect.
type head struct {
	rollout.Head

	version int64
}

// readHead reads the current head. A missing object gives an empty head with
// version 0.
func readHead(ctx context.Context, store Store) (head, error) {
	object, err := store.Get(ctx, rollout.HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, err
	}
	decoded, err := rollout.DecodeHead(object.Value)
	return head{Head: decoded, version: object.Version}, err
}

var errExists = eris.New("operator: another object of that name exists")

// createObject writes an object that must not exist yet. It succeeds if the object
// exists with the same value, and returns errExists if it has another value.
func createObject(ctx context.Context, store Store, write rollout.Write) error {
	_, err := store.Put(ctx, write.Name, 0, write.Value)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	object, err := store.Get(ctx, write.Name)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, write.Value) {
		return eris.Wrap(errExists, write.Name)
	}
	return nil
}

// walkAudit visits the audit entries with a revision below before and above after,
// newest first, until visit returns false.
func (h head) walkAudit(
	ctx context.Context, store Store, before, after int64, visit func(rollout.AuditEntry) bool,
) error {
	visitAll := func(entries []rollout.AuditEntry) bool {
		for i := len(entries) - 1; i >= 0; i-- {
			e := entries[i]
			if e.Revision <= after || e.Revision < before && !visit(e) {
				return false
			}
		}
		return true
	}
	if !visitAll(h.Audit) {
		return nil
	}
	for _, name := range h.SegmentsWithin(max(after, 0), before) {
		segment, err := readSegment(ctx, store, name)
		if err != nil {
			return err
		}
		if !visitAll(segment.Entries) {
			return nil
		}
	}
	return nil
}

func readSegment(ctx context.Context, store Store, name string) (rollout.Segment, error) {
	object, err := store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return rollout.Segment{}, eris.Wrapf(rollout.ErrSegment, "%s is missing", name)
	}
	if err != nil {
		return rollout.Segment{}, err
	}
	return rollout.DecodeSegment(object.Value)
}
