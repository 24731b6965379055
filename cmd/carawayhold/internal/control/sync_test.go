package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// Guards against a starting proxy that reads every document from the platform
// although another proxy holds them.
func TestStartFetchesDocumentsFromPeers(t *testing.T) {
	shared := newMemoryPlatform()
	fleet := startFleet(t, shared, 3)
	revision := shared.commit(t, "one", depotService(5, 3))
	require.Eventually(t, allInForce(fleet, revision), inForceTimeout, pollInterval)
	requireJoined(t, fleet)

	shared.set(func(p *memoryPlatform) { p.documentReads = 0 })
	added := startAdditional(t, shared, fleet)
	require.Eventually(t, allInForce([]*testProxy{added}, revision), inForceTimeout, pollInterval)
	shared.set(func(p *memoryPlatform) { require.Zero(t, p.documentReads) })
}

// BenchmarkHandleSync measures what a sync without changes costs a reader.
func BenchmarkHandleSync(b *testing.B) {
	c := &Control{
		config: newConfigState(nil), ledgers: newLedgerState(), draining: newDrainingMarks(), syncClients: newSyncClients(),
	}
	payload, err := peer.Encode(syncRequest{Revision: 1 << 40, StoreVersion: 1 << 40})
	require.NoError(b, err)
	for b.Loop() {
		if _, err := c.handleSyncPayload(payload, "127.0.0.1:1"); err != nil {
			b.Fatal(err)
		}
	}
}
