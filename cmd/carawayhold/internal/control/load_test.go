package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against load reports that count a proxy's own attempts as those of
// others, or that don't expire after their proxy has stopped.
func TestLoadTable(t *testing.T) {
	table := newLoadTable()
	now := time.Now()
	table.record("depot", "a", map[string]int{"depot-a": 2}, now)
	table.record("depot", "b", map[string]int{"depot-a": 1, "depot-b": 3}, now.Add(loadPeriod))
	others := table.others(now.Add(loadPeriod))["depot"]
	require.Equal(t, map[string]int{"depot-a": 1, "depot-b": 3}, others["a"])
	require.Equal(t, map[string]int{"depot-a": 2, "depot-b": 0}, others["b"])
	others = table.others(now.Add(loadValidity))["depot"]
	require.Equal(t, map[string]map[string]int{"b": {"depot-a": 0, "depot-b": 0}}, others)
	require.Empty(t, table.others(now.Add(loadValidity+loadPeriod)))
}

// Guards against load replies that don't reach every reporting proxy.
func TestLoadReachesEveryReporter(t *testing.T) {
	shared := newMemoryPlatform()
	fleet := startFleet(t, shared, 4)
	revision := shared.commit(t, "one", depotService(5, 3))
	require.Eventually(t, allInForce(fleet, revision), inForceTimeout, pollInterval)
	requireJoined(t, fleet)
	for _, m := range fleet {
		m.datapath.mu.Lock()
		m.datapath.inFlight = map[string]map[string]int{"depot": {"depot-a": 2}}
		m.datapath.mu.Unlock()
	}
	require.Eventually(t, func() bool {
		for _, m := range fleet {
			m.datapath.mu.Lock()
			others := m.datapath.others["depot-a"]
			m.datapath.mu.Unlock()
			if others != 2*(len(fleet)-1) {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval)
}
