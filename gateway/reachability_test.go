package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReachability(t *testing.T) {
	type step struct {
		at      time.Duration
		address string // an endpoint that was not reached, or empty after a connection
	}
	cases := map[string]struct {
		steps         []step
		doubtful, cut bool
	}{
		"one endpoint fails again and again":     {steps: []step{{0, "a"}, {time.Second, "a"}, {2 * time.Second, "a"}, {2 * time.Second, "a"}}},
		"two endpoints, a connection between":    {steps: []step{{0, "a"}, {time.Second, ""}, {2 * time.Second, "b"}}},
		"two endpoints, nothing between":         {steps: []step{{0, "a"}, {time.Second, "b"}}, doubtful: true},
		"two endpoints, long after each other":   {steps: []step{{0, "a"}, {unreachedWindow + time.Second, "b"}}},
		"two more fail":                          {steps: []step{{0, "a"}, {0, "b"}, {time.Second, "c"}, {time.Second, "d"}}, cut: true},
		"one of two more is reached, first":      {steps: []step{{0, "a"}, {0, "b"}, {time.Second, ""}, {time.Second, "d"}}},
		"one of two more is reached, last":       {steps: []step{{0, "a"}, {0, "b"}, {time.Second, "d"}, {time.Second, ""}}},
		"a connection ends it":                   {steps: []step{{0, "a"}, {0, "b"}, {0, "c"}, {0, "d"}, {time.Second, ""}}},
		"failures after a connection do not cut": {steps: []step{{0, "a"}, {0, "b"}, {0, "c"}, {0, "d"}, {time.Second, ""}, {time.Second, "b"}, {time.Second, "c"}}, doubtful: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReachability()
			for _, s := range c.steps {
				now := instant(time.Hour + s.at)
				if s.address == "" {
					r.connected(now)
				} else {
					r.failed(now, s.address)
				}
			}
			require.Equal(t, c.cut, r.cut)
			require.Equal(t, c.doubtful, r.doubtful())
		})
	}
}

// An attempt that overlaps a cut says nothing about its endpoint, also once it is over.
func TestAttemptsDuringCut(t *testing.T) {
	const second = instant(time.Second)
	r := newReachability()
	require.False(t, r.cutSince(0))
	for _, address := range []string{"a", "b", "c", "d"} {
		r.failed(11*second, address)
	}
	require.True(t, r.cutSince(12*second))
	r.connected(20 * second)
	require.True(t, r.cutSince(19*second))
	require.False(t, r.cutSince(20*second))
}
