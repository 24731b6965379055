package caller

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
)

type noParts struct{}

func (noParts) Dispatcher(*config.Service) Dispatcher { return nil }

func newTestTable(routes ...config.Route) *Table {
	s := config.Service{Name: "lager"}
	for _, r := range routes {
		s.Classes = append(s.Classes, config.Class{Name: r.Class, Repeat: config.RepeatAllowed})
	}
	s.Routes = routes
	return NewTable(7, []config.Service{s}, noParts{})
}

// Guards against routing a request to a class other than that of the longest prefix,
// which may have a less strict repeat rule.
func TestFind(t *testing.T) {
	table := newTestTable(
		config.Route{PathPrefix: "/", Class: "root"},
		config.Route{PathPrefix: "/a", Methods: []string{"GET"}, Class: "a"},
		config.Route{PathPrefix: "/a/b", Class: "b"},
		config.Route{PathPrefix: "/a/b", Methods: []string{"POST"}, Class: "post"},
		config.Route{PathPrefix: "/c/", Class: "c"},
		config.Route{Host: "Shop.Example", PathPrefix: "/a", Class: "shop"},
		config.Route{Host: "[::1]", PathPrefix: "/a", Class: "six"},
	)
	require.Empty(t, table.Problems())
	cases := []struct {
		host, path, method, class string
		match                     match
	}{
		{"x", "/", "GET", "root", matchFound},
		{"x", "/a", "GET", "a", matchFound},
		{"x", "/a/", "GET", "a", matchFound},
		{"x", "/a", "POST", "", matchNoMethod},
		{"x", "/ab", "GET", "root", matchFound},
		{"x", "/a/b/c", "GET", "b", matchFound},
		{"x", "/a/b", "POST", "post", matchFound},
		{"x", "/c", "GET", "root", matchFound},
		{"x", "/c/d", "GET", "c", matchFound},
		{"shop.example:8080", "/a/b", "POST", "shop", matchFound},
		{"[::1]:8080", "/a", "GET", "six", matchFound},
		{"[::1]", "/a", "GET", "six", matchFound},
		{"SHOP.example", "/z", "GET", "root", matchFound},
		{"x", "a", "GET", "", matchNoPath},
	}
	for _, c := range cases {
		found, m := table.find(c.host, c.path, c.method)
		require.Equal(t, c.match, m, c)
		if c.class != "" {
			require.Equal(t, c.class, found.name, c)
		}
	}
}

// Guards against conflicting routes that replace each other without being reported.
func TestConflictingRoutesAreReported(t *testing.T) {
	table := newTestTable(
		config.Route{PathPrefix: "/a", Class: "first"},
		config.Route{PathPrefix: "/a", Class: "second"},
	)
	require.Len(t, table.Problems(), 1)
	found, _ := table.find("", "/a", "GET")
	require.Equal(t, "first", found.name)
}

// Compares the lookup by successively shorter prefixes with the specification: the
// longest prefix of whole segments.
func FuzzFind(f *testing.F) {
	f.Add("/a/b", "/a", "/a/b/c")
	f.Add("/", "/a/", "/a")
	f.Add("/a/b/", "/a/b", "/a/b/")
	f.Fuzz(func(t *testing.T, first, second, path string) {
		if !strings.HasPrefix(first, "/") || !strings.HasPrefix(second, "/") || strings.Contains(path, "//") {
			t.Skip()
		}
		if strings.Contains(first, "//") || strings.Contains(second, "//") || first == second {
			t.Skip()
		}
		table := newTestTable(
			config.Route{PathPrefix: first, Class: "first"}, config.Route{PathPrefix: second, Class: "second"})
		want := ""
		longest := 0
		for prefix, class := range map[string]string{first: "first", second: "second"} {
			if covers(prefix, path) && len(prefix) > longest {
				want, longest = class, len(prefix)
			}
		}
		found, m := table.find("", path, "GET")
		require.Equal(t, want != "", m == matchFound)
		if m == matchFound {
			require.Equal(t, want, found.name)
		}
	})
}

// Guards against allocating memory for a Content-Length before the body arrives, and
// against accepting a body that is too short or too long.
func TestReadAll(t *testing.T) {
	const large = 4 << 20
	cases := []struct {
		sent, length, limit int64
		err                 error
	}{
		{10, 10, large, nil},
		{9, 10, large, io.ErrUnexpectedEOF},
		{large, large, large, nil},
		{10, large, large, io.ErrUnexpectedEOF},
		{10, -1, 10, nil},
		{11, -1, 10, errTooLarge},
	}
	for _, c := range cases {
		b, err := readAll(bytes.NewReader(make([]byte, c.sent)), c.length, c.limit)
		require.ErrorIs(t, err, c.err, c)
		require.Less(t, int64(cap(b)), 2*c.sent+preallocatedBodyBytes, c)
	}
}

func covers(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}
