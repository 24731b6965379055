package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is passed on during a graceful stop ends before it, or was sent while the load
// balancer still sends and has thrice the mean service time.
func TestStopPlanComparesTimeLeftWithTimeNeeded(t *testing.T) {
	const service = 300 * time.Millisecond
	cases := map[string]struct {
		grace          time.Duration
		read, deadline time.Duration // after the signal
		latest, end    time.Duration
		passed         bool
	}{
		"6 s, at once":               {grace: 6 * time.Second, read: 0, deadline: 3 * time.Second, latest: 3 * time.Second, end: 5200 * time.Millisecond, passed: true},
		"6 s, long deadline":         {grace: 6 * time.Second, read: 2900 * time.Millisecond, deadline: 10 * time.Second, latest: 4300 * time.Millisecond, end: 5200 * time.Millisecond, passed: true},
		"6 s, late, ends in time":    {grace: 6 * time.Second, read: 3600 * time.Millisecond, deadline: 5 * time.Second, latest: 5 * time.Second, end: 5200 * time.Millisecond, passed: true},
		"6 s, late, may take longer": {grace: 6 * time.Second, read: 3600 * time.Millisecond, deadline: 5300 * time.Millisecond, end: 5200 * time.Millisecond},
		"10 s, late":                 {grace: 10 * time.Second, read: 3600 * time.Millisecond, deadline: 9 * time.Second, latest: 9 * time.Second, end: 9200 * time.Millisecond, passed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newStopPlan(start, c.grace)
			require.Equal(t, c.end, p.end.Sub(start))
			latest, passed := p.latestStart(start.Add(c.read), start.Add(c.deadline), service)
			require.Equal(t, c.passed, passed)
			if passed {
				require.Equal(t, c.latest, latest.Sub(start))
			}
		})
	}
}

func TestStopPlanFitsGrace(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		p := newStopPlan(start, grace)
		require.True(t, p.acceptDeadline.Before(p.waitDeadline), grace)
		require.True(t, p.waitDeadline.Before(p.end), grace)
		require.True(t, p.end.Before(p.answerDeadline), grace)
		require.True(t, p.answerDeadline.Before(start.Add(grace)), grace)
		require.Greater(t, p.end.Sub(start), grace*5/6, "work goes on until the last sixth")
	}
}

// The gate compares the time left at the moment of writing, also if the request was admitted
// before the wait for an endpoint and its connection.
func TestGateWithholdsRequestsTooLateInStop(t *testing.T) {
	g, _, x := exchangeWithEndpoint()
	now := time.Now()
	x.readAt, x.deadline = now, now.Add(time.Hour)
	gate := newNoticeGate(x, "a")
	require.NoError(t, gate.Admit())
	g.stopPlan.Store(newStopPlan(now, 6*time.Second))
	require.NoError(t, gate.Admit(), "the load balancer still sends")
	x.readAt = now.Add(4 * time.Second)
	require.ErrorIs(t, gate.Admit(), errStopping)
	x.deadline = now.Add(time.Second)
	require.NoError(t, gate.Admit(), "ends in time")
}
