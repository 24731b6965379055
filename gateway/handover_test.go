package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
)

// A new owner has no retry burst for one window. The window starts with the ownership and
// not with the first request, so that a fleet started before its callers has the burst
// when they send requests.
func TestRetryBurstDelayStartsWithOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(member(0), zap.NewNop())
		f.start -= instant(heartbeatInterval)
		answerAll(f)
		require.True(t, f.updateHubRole())
		p := newTestPlacer(f)
		p.updateOwnership()
		time.Sleep(testBudget.Window)
		d := p.schedule("lager", placement.Request{Token: 1, Proxy: f.self.Address, Deadline: time.Now().Add(time.Second)}, true)
		require.Equal(t, placement.Granted, d.Verdict)
		require.GreaterOrEqual(t, p.services["lager"].hubBudget.Remaining(time.Now()), hubBurstShare*testBudget.Burst)
	})
}

// The part of the retry burst that a member may spend alone is one of as many parts as
// there are members. A member that opened its view of a service before it knew the others
// kept the whole.
func TestLocalRetryBudgetFollowsFleetSize(t *testing.T) {
	const members = 32
	p := newTestPlacer(newFleet(member(0), zap.NewNop()))
	for i := range members {
		p.fleet.add(member(i))
	}
	p.updateMembers()
	sum := members * p.service("lager").localBudget.Remaining(time.Now())
	require.InDelta(t, localBurstShare*p.budget.Burst, sum, 0.001)
	p.fleet.remove(member(1).Address)
	p.updateMembers()
	require.InDelta(t, sum/members*members/(members-1), p.service("lager").localBudget.Remaining(time.Now()), 0.001)
}
