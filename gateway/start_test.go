package gateway

import (
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// fleetMember returns the gateway of member i in a fleet of n known members.
func fleetMember(i, n int, seeds ...string) *Gateway {
	g := New(Settings{Self: member(i), Incarnation: "i", Seeds: seeds}, nil, &endpoint.Dialect{}, zap.NewNop())
	for k := range n {
		g.fleet.add(member(k))
	}
	return g
}

// If all members start together, as after a power failure, only a few read the complete
// state from the store at once. The others contact these members first and read the store
// later, at staggered times.
func TestFewMembersReadStoreAtFleetStart(t *testing.T) {
	const members = 200
	atOnce := 0
	delays := map[int64]int{}
	for i := range members {
		g := fleetMember(i, members, member(7).Address)
		require.Equal(t, memberListWait, g.storeDelay(), "the rank is unknown")
		g.membersListed.Store(true)
		delay := g.storeDelay()
		if delay == 0 {
			atOnce++
			continue
		}
		require.GreaterOrEqual(t, delay, initialReaderWait)
		require.Less(t, delay, 2*initialReaderWait)
		delays[delay.Milliseconds()]++
		contacted := map[string]bool{}
		for range 50 {
			sources := g.sources()
			require.LessOrEqual(t, len(sources), rankedSources+1+randomSources)
			require.NotContains(t, sources, member(i).Address)
			for _, s := range sources[:rankedSources] {
				contacted[s] = true
			}
		}
		require.Len(t, contacted, minInitialReaders)
		for _, m := range g.fleet.listByRank()[:minInitialReaders] {
			require.True(t, contacted[m.Address])
		}
	}
	require.Equal(t, initialReaders(members), atOnce)
	for _, n := range delays {
		require.Equal(t, 1, n)
	}
}

// In small fleets all members read the store at once, because waiting for others would only
// refuse requests longer. In fleets of thousands of members the state is too large for that.
func TestInitialReadersDependOnFleetSize(t *testing.T) {
	for _, c := range []struct{ members, minimum, maximum int }{
		{1, 1, math.MaxInt},
		{43, 43, math.MaxInt},
		{116, 116, math.MaxInt},
		{128, 128, math.MaxInt},
		{443, 30, 50},
		{5300, minInitialReaders, minInitialReaders},
	} {
		n := initialReaders(c.members)
		require.GreaterOrEqual(t, n, c.minimum, "%d members", c.members)
		require.LessOrEqual(t, n, c.maximum, "%d members", c.members)
	}
}

// A member that knows no other contacts its seeds, and reads the store at once unless it is
// the first start of the fleet.
func TestSingleMemberContactsSeeds(t *testing.T) {
	g := fleetMember(0, 1, member(1).Address, member(0).Address)
	require.Equal(t, []string{member(1).Address}, g.sources())
	g.membersListed.Store(true)
	require.Zero(t, g.storeDelay())
}

// A member without power never responds. Waiting for it must not delay requests to other
// members.
func TestUnresponsiveSourcesDoNotDelayOthers(t *testing.T) {
	silent := make([]string, 3)
	for i := range silent {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		silent[i] = l.Addr().String()
	}
	g := New(Settings{Self: member(0), Incarnation: "i", Seeds: silent}, nil, &endpoint.Dialect{}, zap.NewNop())
	var group sync.WaitGroup
	began := time.Now()
	g.syncFromSources(&group)
	require.Less(t, time.Since(began), syncTimeout)
	require.NoError(t, g.transport.Close())
	group.Wait()
}
