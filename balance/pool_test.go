package balance

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoints(count int) []Endpoint {
	list := make([]Endpoint, count)
	for i := range list {
		list[i] = NewEndpoint("lager-"+strconv.Itoa(i), "zone-"+strconv.Itoa(i%3), 4)
	}
	return list
}

func newTestPool(count int) *Pool {
	return NewPool("zone-0", rand.New(rand.NewPCG(1, 1)), endpoints(count)...)
}

// shares returns the share of picks that each endpoint gets while idle.
func shares(p *Pool) map[string]float64 {
	counts := map[string]float64{}
	for range 10_000 {
		e, ok := p.Pick(epoch)
		if !ok {
			break
		}
		p.Done(epoch, e.Name(), ResultFailed, 0)
		counts[e.Name()] += 1.0 / 10_000
	}
	return counts
}

// Guards against attempts at excluded endpoints, one reason per case.
func TestExcludedEndpoints(t *testing.T) {
	for name, exclude := range map[string]func(p *Pool, endpoint string){
		"ejected":  func(p *Pool, e string) { p.SetEjected(e, true) },
		"draining": func(p *Pool, e string) { p.SetDraining(e, true) },
		"warm-up":  func(p *Pool, e string) { p.SetWarmUpLimit(e, 1); p.byName[e].inFlight = 1 },
		"full":     func(p *Pool, e string) { p.byName[e].inFlight = 4 },
		"connections": func(p *Pool, e string) {
			p.SetConnections(ConnectionLimit(300))
			p.byName[e].inFlight = 1
		},
		"waiting after a shed": func(p *Pool, e string) {
			p.byName[e].limit.value = 0.5
			p.byName[e].limit.service = 20 * time.Millisecond
			p.Done(epoch, e, ResultShed, time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(2)
			require.InDelta(t, 1, shares(p)["lager-0"]+shares(p)["lager-1"], 1.001)
			exclude(p, "lager-0")
			require.InDelta(t, 1, shares(p)["lager-1"], 0.001)
			exclude(p, "lager-1")
			require.False(t, p.Available(epoch))
			_, ok := p.Pick(epoch)
			require.False(t, ok)
		})
	}
}

// Guards against a reduced weight that excludes the endpoint or has no effect.
func TestReducedWeightKeepsAShare(t *testing.T) {
	p := NewPool("elsewhere", rand.New(rand.NewPCG(1, 1)), endpoints(13)...)
	p.SetWeight("lager-3", 0)
	require.InDelta(t, 1.0/16/13, shares(p)["lager-3"], 0.003)
}

// Guards against attempts in other zones while endpoints of the proxy's zone are idle,
// and against a zone preference that overloads them.
func TestZonePreferenceAmongEquals(t *testing.T) {
	p := newTestPool(2)
	require.InDelta(t, 1, shares(p)["lager-0"], 0.001)
	p.byName["lager-0"].inFlight = 1
	require.InDelta(t, 1, shares(p)["lager-1"], 0.001)
}

// Guards against load from other proxies that is ignored, used after its validity, or
// not smoothed.
func TestPeersInFlight(t *testing.T) {
	p := newTestPool(2)
	until := epoch.Add(time.Second)
	p.SetPeersInFlight("lager-0", 0, until)
	p.SetPeersInFlight("lager-0", 4, until)
	require.InDelta(t, 1, shares(p)["lager-0"], 0.001, "a single snapshot changes little")
	for range 20 {
		p.SetPeersInFlight("lager-0", 4, until)
	}
	require.InDelta(t, 1, shares(p)["lager-1"], 0.001)
	e, _ := p.Pick(until)
	require.Equal(t, "lager-0", e.Name(), "the reported loads are stale")
}

// Guards against a limit that ignores sheds, does not recover, or grows while it is
// not used.
func TestLimitFollowsSheds(t *testing.T) {
	p := newTestPool(1)
	now := epoch
	attempt := func(result Result) {
		if at, ok := p.NextOpen(now); ok {
			now = at
		}
		_, ok := p.Pick(now)
		require.True(t, ok)
		now = now.Add(20 * time.Millisecond)
		p.Done(now, "lager-0", result, 20*time.Millisecond)
	}
	for range 100 {
		attempt(ResultShed)
	}
	require.InDelta(t, minLimit, p.Limit("lager-0"), 0.0001)
	attempt(ResultFailed)
	require.InDelta(t, minLimit, p.Limit("lager-0"), 0.0001)
	before := now
	for p.Limit("lager-0") < 1 {
		attempt(ResultServed)
	}
	require.Less(t, now.Sub(before), 6*time.Second)
	for range 100 {
		attempt(ResultServed) // only one in flight
	}
	require.Less(t, p.Limit("lager-0"), 2.1)
	for range 500 {
		running := 0
		for _, ok := p.Pick(now); ok; _, ok = p.Pick(now) {
			running++
		}
		for range running {
			p.Done(now, "lager-0", ResultServed, 20*time.Millisecond)
		}
	}
	require.InDelta(t, 4, p.Limit("lager-0"), 0.0001)
}

// Guards against a retry at the endpoint that just shed, and against one that is
// refused because no other endpoint is left.
func TestTriedEndpointsComeLast(t *testing.T) {
	p := newTestPool(3)
	for range 4 {
		e, ok := p.Pick(epoch, "lager-0", "lager-1")
		require.True(t, ok)
		require.Equal(t, "lager-2", e.Name())
	}
	e, ok := p.Pick(epoch, "lager-0", "lager-1")
	require.True(t, ok)
	require.NotEqual(t, "lager-2", e.Name())
}

// Guards against more than about 300 connections per endpoint, proxies without a
// second endpoint, and subsets that change whenever a proxy joins.
func TestConnectionsPerEndpoint(t *testing.T) {
	require.Len(t, Subset("entry-1", 5300, endpoints(13)), minSubset)
	for _, live := range []int{1, 32, 150, 300, 301, 600, 900, 1500} {
		list := endpoints(31)
		connections := map[string]int{}
		moved, total := 0, 0
		for i := range live {
			proxy := fmt.Sprintf("entry-%d", i)
			subset := Subset(proxy, live, list)
			if live <= maxEndpointConnections {
				require.Len(t, subset, 31)
			}
			next := map[string]bool{}
			for _, e := range Subset(proxy, live+1, list) {
				next[e.Name()] = true
			}
			for _, e := range subset {
				connections[e.Name()] += ConnectionLimit(live)
				total++
				if !next[e.Name()] {
					moved++
				}
			}
		}
		most := 0
		for _, count := range connections {
			most = max(most, count)
		}
		t.Logf("%d proxies: at most %d connections per endpoint", live, most)
		require.LessOrEqual(t, most, 305)
		if live != maxEndpointConnections {
			require.Less(t, moved, total/5)
		}
	}
}

// Guards against a sequence of calls that uses an excluded endpoint, exceeds a limit,
// or contradicts Available.
func TestArbitraryCallsKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool(4)
		now := epoch
		running := map[string]int{}
		name := func(t *rapid.T) string { return rapid.SampledFrom(endpoints(5)).Draw(t, "endpoint").Name() }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for endpoint, count := range p.InFlight() {
					limit := p.Limit(endpoint)
					if count != running[endpoint] || limit < minLimit || limit > 4 {
						t.Fatalf("%s: %d in flight instead of %d, limit %v", endpoint, count, running[endpoint], limit)
					}
				}
			},
			"pick": func(t *rapid.T) {
				available := p.Available(now)
				tried := rapid.SliceOfN(rapid.Custom(name), 0, 3).Draw(t, "tried")
				e, ok := p.Pick(now, tried...)
				if ok != available {
					t.Fatalf("available %v, picked %v", available, ok)
				}
				if !ok {
					return
				}
				s := p.byName[e.Name()]
				if s.ejected || s.draining || s.warmUpLimit > 0 && s.inFlight > s.warmUpLimit || s.inFlight > p.maxConnections {
					t.Fatalf("picked %+v", s)
				}
				running[e.Name()]++
			},
			"done": func(t *rapid.T) {
				e := name(t)
				if running[e] == 0 {
					t.Skip("no attempt is running")
				}
				running[e]--
				p.Done(now, e, Result(rapid.IntRange(1, 3).Draw(t, "result")), 20*time.Millisecond)
			},
			"state": func(t *rapid.T) {
				p.SetEjected(name(t), rapid.Bool().Draw(t, "ejected"))
				p.SetDraining(name(t), rapid.Bool().Draw(t, "draining"))
				p.SetWarmUpLimit(name(t), rapid.IntRange(-1, 2).Draw(t, "limit"))
				p.SetWeight(name(t), rapid.Float64Range(-1, 2).Draw(t, "weight"))
				p.SetPeersInFlight(name(t), rapid.IntRange(-1, 9).Draw(t, "peers"), now.Add(time.Second))
				p.SetConnections(rapid.IntRange(-1, 9).Draw(t, "connections"))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
