package caller

import (
	"maps"
	"slices"

	"github.com/carawayhold/carawayhold/config"
)

// WithChanges returns a table in which some services are replaced or removed. Only
// the affected shards are copied, so that the cost does not grow with the number of
// routes. It returns nil if routes conflict before or after the change. The table must
// then be rebuilt with NewTable, because removing a route may activate another one
// that was left out.
func (t *Table) WithChanges(revision int64, changed []config.Service, removed []string, dispatchers DispatcherProvider) *Table {
	if len(t.problems) > 0 {
		return nil
	}
	next := &Table{revision: revision, services: maps.Clone(t.services), shards: maps.Clone(t.shards)}
	copied := map[shardKey]bool{}
	for _, name := range removed {
		next.removeService(name, copied)
	}
	for _, c := range changed {
		next.removeService(c.Name, copied)
	}
	for i := range changed {
		for _, r := range changed[i].Routes {
			next.copyShard(shardOf(r), copied)
		}
		next.addService(&changed[i], dispatchers)
	}
	if len(next.problems) > 0 {
		return nil
	}
	for key := range copied {
		if len(next.shards[key]) == 0 {
			delete(next.shards, key)
		}
	}
	return next
}

func (t *Table) removeService(name string, copied map[shardKey]bool) {
	s, ok := t.services[name]
	if !ok {
		return
	}
	delete(t.services, name)
	for _, r := range s.config.Routes {
		key := shardOf(r)
		t.copyShard(key, copied)
		kept := slices.DeleteFunc(slices.Clone(t.shards[key][r.PathPrefix]), func(v route) bool {
			return v.class.service == s
		})
		if len(kept) == 0 {
			delete(t.shards[key], r.PathPrefix)
			continue
		}
		t.shards[key][r.PathPrefix] = kept
	}
}

// copyShard copies a shard once, so that changing it does not affect other tables.
func (t *Table) copyShard(key shardKey, copied map[shardKey]bool) {
	if copied[key] {
		return
	}
	copied[key] = true
	t.shards[key] = maps.Clone(t.shards[key])
	if t.shards[key] == nil {
		t.shards[key] = prefixes{}
	}
}
