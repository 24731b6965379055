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

// fleetMember returns the gateway of a member that knows n members.
func fleetMember(i, n int, seeds ...string) *Gateway {
	g := New(Settings{Self: member(i), Incarnation: "i", Seeds: seeds}, nil, &endpoint.Dialect{}, zap.NewNop())
	for k := range n {
		g.fleet.add(member(k))
	}
	return g
}

// After a loss of power of all, few members read the whole state from the store at
// once. The others ask these members, and the store later, spread over time.
func TestFewMembersAskTheStoreWhenAllStart(t *testing.T) {
	const members = 200
	atOnce := 0
	patience := map[int64]int{}
	for i := range members {
		g := fleetMember(i, members, member(7).Address)
		require.Equal(t, memberListWait, g.storeDelay(), "the rank is not known")
		g.membersListed.Store(true)
		wait := g.storeDelay()
		if wait == 0 {
			atOnce++
			continue
		}
		require.GreaterOrEqual(t, wait, initialReaderWait)
		require.Less(t, wait, 2*initialReaderWait)
		patience[wait.Milliseconds()]++
		asked := map[string]bool{}
		for range 50 {
			sources := g.sources()
			require.LessOrEqual(t, len(sources), rankedSources+1+randomSources)
			require.NotContains(t, sources, member(i).Address)
			for _, s := range sources[:rankedSources] {
				asked[s] = true
			}
		}
		require.Len(t, asked, minInitialReaders)
		for _, m := range g.fleet.listByRank()[:minInitialReaders] {
			require.True(t, asked[m.Address])
		}
	}
	require.Equal(t, initialReaders(members), atOnce)
	for _, n := range patience {
		require.Equal(t, 1, n)
	}
}

// The state of a fleet of some hundred members is small: a member that waited for another
// to read it would refuse requests for nothing. That of a fleet of thousands is large.
func TestStartersFollowTheSizeOfTheState(t *testing.T) {
	for _, c := range []struct{ members, least, most int }{
		{1, 1, math.MaxInt},
		{43, 43, math.MaxInt},
		{116, 116, math.MaxInt},
		{128, 128, math.MaxInt},
		{443, 30, 50},
		{5300, minInitialReaders, minInitialReaders},
	} {
		n := initialReaders(c.members)
		require.GreaterOrEqual(t, n, c.least, "%d members", c.members)
		require.LessOrEqual(t, n, c.most, "%d members", c.members)
	}
}

// A member that knows no other asks its seeds, and the store at once unless the whole
// fleet starts for the first time.
func TestMemberAloneAsksItsSeeds(t *testing.T) {
	g := fleetMember(0, 1, member(1).Address, member(0).Address)
	require.Equal(t, []string{member(1).Address}, g.sources())
	g.membersListed.Store(true)
	require.Zero(t, g.storeDelay())
}

// A member without power never answers. It must not hold up the others that are asked.
func TestSourcesThatDoNotAnswerHoldUpNoOther(t *testing.T) {
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
