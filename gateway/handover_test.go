package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
)

// A new owner has no retry burst for one window. The window starts with the ownership and
// not with the first request, so that a fleet started before its callers has the burst
// when they send requests.
func TestRetryBurstDelayStartsWithOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst, window = 56, 10 * time.Second
		f := newFleet(member(0), zap.NewNop())
		f.start -= instant(heartbeatInterval)
		f.storeAnswered()
		require.True(t, f.updateHubRole())
		p := newPlacer(f, nil, "incarnation", RetryBudget{Ratio: 0.2, Burst: burst, Window: window},
			newCounts(metrics.NewSet()), zap.NewNop())
		p.setEndpoints("lager", []Endpoint{{ID: "e00", Service: "lager", Slots: 4}})
		p.updateOwnership()
		time.Sleep(window)
		d := p.schedule("lager", placement.Request{Token: 1, Deadline: time.Now().Add(time.Second)}, true)
		require.Equal(t, placement.Granted, d.Verdict)
		require.GreaterOrEqual(t, p.services["lager"].hubBudget.Remaining(time.Now()), hubBurstShare*float64(burst))
	})
}
