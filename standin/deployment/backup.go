package deployment

import (
	"maps"
	"slices"
)

// Backup is a copy of the content of a store.
type Backup struct {
	revision uint64
	oldest   uint64
	objects  map[string]map[string]object
	history  []event
}

// Backup copies the content of the store.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{revision: s.revision, oldest: s.oldest, objects: cloneObjects(s.objects), history: slices.Clone(s.history)}
}

// Restore replaces the content of the store by a backup, which loses what was written since
// then. Revisions are given out again, the era rises, and waiting watches are cut off. The
// caller writes again what operators and backend servers wrote.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.oldest = b.revision, b.oldest
	s.objects, s.history = cloneObjects(b.objects), slices.Clone(b.history)
	s.notifyWatches()
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	c := make(map[string]map[string]object, len(objects))
	for kind, byName := range objects {
		c[kind] = maps.Clone(byName)
	}
	return c
}
