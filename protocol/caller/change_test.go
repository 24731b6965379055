package caller

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawayhold/carawayhold/config"
)

var (
	changeNames    = []string{"depot", "lager", "katalog"}
	changePrefixes = []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/b", "/b/a", "/c"}
	changeHosts    = []string{"", "x", "y"}
	changeMethods  = [][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}}
	changePaths    = []string{"/", "/a", "/a/", "/a/b", "/a/b/c/d", "/ab", "/b", "/b/a/x", "/c", "/d", "a"}
)

func drawService(t *rapid.T, name string) config.Service {
	s := config.Service{Name: name, Classes: []config.Class{{Name: "prompt", Repeat: config.RepeatAllowed}}}
	for range rapid.IntRange(0, 4).Draw(t, "routes") {
		s.Routes = append(s.Routes, config.Route{
			Host:       rapid.SampledFrom(changeHosts).Draw(t, "host"),
			PathPrefix: rapid.SampledFrom(changePrefixes).Draw(t, "prefix"),
			Methods:    rapid.SampledFrom(changeMethods).Draw(t, "methods"),
			Class:      "prompt",
		})
	}
	return s
}

// Guards against WithChanges giving a table that routes differently from one built with
// NewTable, and against modifying the table that is still in use.
func TestWithChangesEqualsNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := map[string]config.Service{}
		table := NewTable(0, nil, noParts{})
		for revision := range int64(20) {
			before := routingResults(table)
			name := rapid.SampledFrom(changeNames).Draw(t, "name")
			var changed []config.Service
			var removed []string
			if rapid.Bool().Draw(t, "remove") {
				removed = []string{name}
				delete(current, name)
			} else {
				current[name] = drawService(t, name)
				changed = []config.Service{current[name]}
			}
			var all []config.Service
			for _, s := range current {
				all = append(all, s)
			}
			next := table.WithChanges(revision, changed, removed, noParts{})
			require.Equal(t, before, routingResults(table))
			full := NewTable(revision, all, noParts{})
			if next == nil {
				next = full
			}
			require.Equal(t, routingResults(full), routingResults(next))
			table = next
		}
	})
}

// routingResults returns the route of each sample request.
func routingResults(table *Table) []string {
	var list []string
	for _, host := range changeHosts {
		for _, path := range changePaths {
			for _, method := range []string{"GET", "POST", "PUT"} {
				found, m := table.find(host, path, method)
				name := ""
				if m == matchFound {
					name = found.service.config.Name
				}
				list = append(list, name+"/"+string(rune('0'+m)))
			}
		}
	}
	return list
}
