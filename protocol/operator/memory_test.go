package operator

import (
	"context"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

// memoryStore is an object store in memory.
type memoryStore struct {
	mu      sync.Mutex
	version int64
	objects map[string]platform.Object
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]platform.Object{}}
}

func (s *memoryStore) Get(_ context.Context, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[name]
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (s *memoryStore) Put(_ context.Context, name string, expect int64, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	s.version++
	s.objects[name] = platform.Object{Name: name, Version: s.version, Value: value}
	return s.version, nil
}

// manualClock is a Clock on which Sleep returns at once and advances the time.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func newManualClock() *manualClock {
	return &manualClock{now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)}
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Sleep(ctx context.Context, length time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(length)
	return ctx.Err()
}
