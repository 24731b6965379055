package control

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/ejection"
)

// Guards against writing an audit entry twice because the response to its first
// write was lost, and against losing one in an outage.
func TestAuditEntryIsWrittenOnce(t *testing.T) {
	shared := newMemoryPlatform()
	c := &Control{platform: shared}
	entry := ejection.TrailEntry{
		Service: "depot", Proxy: "entry-a", Action: ejection.ActionEject,
		Entry: ejection.Entry{Endpoint: "depot-b", Operation: "one"},
	}
	shared.set(func(p *memoryPlatform) { p.loseReplies = 1 })
	require.Error(t, c.tryAppendAudit(context.Background(), entry))
	require.NoError(t, c.tryAppendAudit(context.Background(), entry))
	require.Len(t, auditOf(t, shared, "depot"), 1)

	shared.set(func(p *memoryPlatform) { p.down = true })
	entry.Entry.Operation = "two"
	require.Error(t, c.tryAppendAudit(context.Background(), entry))
	shared.set(func(p *memoryPlatform) { p.down = false })
	require.NoError(t, c.tryAppendAudit(context.Background(), entry))
	require.Len(t, auditOf(t, shared, "depot"), 2)
}
