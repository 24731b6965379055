package caller

import (
	"maps"
	"slices"

	"github.com/carawayhold/carawayhold/config"
)

// WithChanges returns the table after a change of some services. Only the parts that
// the change touches are copied, so that its cost does not grow with the number
// of routes. It returns nil if routes contradict each other, before or after the
// change; the whole table must then be built, because the removal of one route
// may bring another into use.
func (t *Table) WithChanges(revision int64, changed []config.Service, removed []string, parts Parts) *Table {
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
			next.own(shardOf(r), copied)
		}
		next.addService(&changed[i], parts)
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
		t.own(key, copied)
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

// own makes sure that a shard belongs to this table alone.
func (t *Table) own(key shardKey, copied map[shardKey]bool) {
	if copied[key] {
		return
	}
	copied[key] = true
	t.shards[key] = maps.Clone(t.shards[key])
	if t.shards[key] == nil {
		t.shards[key] = prefixes{}
	}
}
