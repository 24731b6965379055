package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFind(t *testing.T) {
	table := newTable(&Configuration{Version: 1, Routes: []Route{
		{Name: "short", Host: "shop.example", PathPrefix: "/a/"},
		{Name: "long", Host: "shop.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "Other.example", PathPrefix: "/"},
	}})
	cases := map[string]struct{ host, target, route string }{
		"longest prefix":       {"shop.example", "/a/b/c?x=/y/", "long"},
		"shorter prefix":       {"shop.example", "/a/bc", "short"},
		"prefix without slash": {"shop.example", "/a", ""},
		"unknown host":         {"unknown.example", "/a/", ""},
		"host with a port":     {"shop.example:8080", "/a/x", "short"},
		"case of the host":     {"OTHER.example", "/x", "other"},
		"prefix in query":      {"shop.example", "/?/a/", ""},
		"encoded path":         {"shop.example", "/a%2Fb/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			found := table.find(c.host, c.target)
			if c.route == "" {
				require.Nil(t, found)
				return
			}
			require.NotNil(t, found)
			require.Equal(t, c.route, found.Name)
		})
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for range 20_000 {
		counts[r.pickService()]++
	}
	require.InDelta(t, 0.1, float64(counts["b"])/20_000, 0.02)
}
