package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// Guards against a starting proxy that reads every document from the platform
// although another proxy holds them.
func TestStartTakesDocumentsFromPeers(t *testing.T) {
	shared := newMemoryPlatform()
	fleet := startFleet(t, shared, 3)
	revision := shared.commit(t, "one", depot(5, 3))
	require.Eventually(t, allHold(fleet, revision), inForceTarget, checkEvery)
	requireJoined(t, fleet)

	shared.set(func(p *memoryPlatform) { p.documentReads = 0 })
	late := startLate(t, shared, fleet)
	require.Eventually(t, allHold([]*member{late}, revision), inForceTarget, checkEvery)
	shared.set(func(p *memoryPlatform) { require.Zero(t, p.documentReads) })
}

// BenchmarkAnswerSync measures the cost of a sync without news to a reader.
func BenchmarkAnswerSync(b *testing.B) {
	c := &Control{
		config: newConfigState(nil), ledgers: newLedgerState(), marks: newMarks(), clients: newClientTable(),
	}
	payload, err := peer.Encode(syncCall{Revision: 1 << 40, StoreVersion: 1 << 40})
	require.NoError(b, err)
	for b.Loop() {
		if _, err := c.answer(payload, "127.0.0.1:1"); err != nil {
			b.Fatal(err)
		}
	}
}
