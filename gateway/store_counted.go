package gateway

import (
	"context"
	"errors"
	"time"
)

// countedStore counts the calls to a store by result.
type countedStore struct {
	store  Store
	counts *counts
}

var _ Store = (*countedStore)(nil)

// List implements Store.
func (s *countedStore) List(ctx context.Context, kind Kind) (*Batch, error) {
	b, err := s.store.List(ctx, kind)
	s.counts.storeCall("list", kind, result(err))
	return b, err
}

// Watch implements Store.
func (s *countedStore) Watch(ctx context.Context, kind Kind, since Revision, wait time.Duration) (*Batch, error) {
	b, err := s.store.Watch(ctx, kind, since, wait)
	s.counts.storeCall("watch", kind, result(err))
	return b, err
}

// Register implements Store.
func (s *countedStore) Register(ctx context.Context, m Member) error {
	err := s.store.Register(ctx, m)
	s.counts.storeCall("register", KindMembers, result(err))
	return err
}

// Remove implements Store.
func (s *countedStore) Remove(ctx context.Context, m Member) error {
	err := s.store.Remove(ctx, m)
	s.counts.storeCall("remove", KindMembers, result(err))
	return err
}

// result returns the result label of a call in metrics.
func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrCompacted):
		return "history_gone"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "canceled"
	}
	return "failed"
}
