package main

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

// store holds versioned objects. An object's version is the store version of its last
// write, so versions increase and are never reused. It is safe for concurrent use.
type store struct {
	mu      sync.Mutex
	version int64
	objects map[string]platform.Object
	changed chan struct{} // closed and replaced at each write
}

func newStore() *store {
	return &store{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

func (s *store) get(name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[name]
	return object, ok
}

// put writes the object if its version equals expect; a missing object has version 0.
// It returns the resulting version and whether the object was written.
func (s *store) put(name string, expect int64, value []byte) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[name].Version; current != expect {
		return current, false
	}
	s.version++
	s.objects[name] = platform.Object{Name: name, Version: s.version, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, true
}

// list returns the objects with the name prefix that changed after the given store
// version, by version, and a channel that is closed at the next write.
func (s *store) list(prefix string, after int64) (platform.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := platform.Listing{StoreVersion: s.version}
	for name, o := range s.objects {
		if o.Version > after && strings.HasPrefix(name, prefix) {
			listing.Objects = append(listing.Objects, o)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool {
		return listing.Objects[i].Version < listing.Objects[j].Version
	})
	return listing, s.changed
}

// watch waits until list returns an object or the context ends.
func (s *store) watch(ctx context.Context, prefix string, after int64) platform.Listing {
	for {
		listing, changed := s.list(prefix, after)
		if len(listing.Objects) > 0 {
			return listing
		}
		select {
		case <-ctx.Done():
			return listing
		case <-changed:
		}
	}
}
