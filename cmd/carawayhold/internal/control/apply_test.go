package control

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/rollout"
)

// slowDatapath takes longer for older changes, so that concurrent changes finish
// in the wrong order.
type slowDatapath struct {
	recordingDatapath
}

func (d *slowDatapath) Apply(change ConfigurationChange) {
	time.Sleep(time.Duration(20-change.Revision) * time.Millisecond)
	d.recordingDatapath.Apply(change)
}

// Guards against an older configuration replacing a newer one in the request
// path because two loops apply theirs at the same time.
func TestConcurrentApplyKeepsRevisionOrder(t *testing.T) {
	const revisions = 20
	datapath := &slowDatapath{}
	c := unstartedControl(datapath)
	head := rollout.Head{}
	documents := map[string][]byte{}
	var group sync.WaitGroup
	for n := range revisions {
		service := depotService(5, n%4)
		commit, err := head.Commit(rollout.Change{
			Operator: "test", Operation: service.Name + string(rune('a'+n)), Base: head.Revision, Summary: "test",
			Versions:  map[string]string{service.Name: head.Index[service.Name].Name},
			Documents: map[string][]byte{service.Name: service.Canonical()},
		}, time.Now())
		require.NoError(t, err)
		for _, w := range commit.CreateOnly() {
			documents[w.Name] = w.Value
		}
		head = commit.Head()
		candidate := stage(t, c, head, documents)
		group.Go(func() { require.NoError(t, c.applyCandidate(candidate)) })
	}
	group.Wait()
	require.IsIncreasing(t, append([]int64{0}, datapath.revisions...))
	require.Equal(t, int64(revisions), datapath.revision())
}

// Guards against a revision that counts as held although its documents cannot be
// decoded, so that it is never applied.
func TestMalformedDocumentIsNotHeld(t *testing.T) {
	datapath := &slowDatapath{}
	c := unstartedControl(datapath)
	value := []byte(`{"name": 7}`)
	ref := rollout.DocumentRef{Name: "config/doc/depot/1-one", Digest: config.Digest(value), Revision: 1}
	head := rollout.Head{Revision: 1, Index: map[string]rollout.DocumentRef{"depot": ref}}
	candidate := stage(t, c, head, map[string][]byte{ref.Name: value})
	require.Error(t, c.applyCandidate(candidate))
	require.Zero(t, c.config.revision())
	require.Empty(t, datapath.revisions)
}

func unstartedControl(datapath Datapath) *Control {
	m := &members{}
	m.node = newTestNode()
	return &Control{
		config: newConfigState(nil), evidence: newEvidenceTable(), syncClients: newSyncClients(), members: m,
		datapath: datapath, availabilityWake: make(chan struct{}, 1),
	}
}

func stage(t *testing.T, c *Control, head rollout.Head, documents map[string][]byte) *rollout.Candidate {
	t.Helper()
	candidate, err := c.config.holder.Stage(head)
	require.NoError(t, err)
	for _, ref := range candidate.MissingDocuments() {
		require.NoError(t, candidate.AddDocument(ref.Name, documents[ref.Name]))
	}
	return candidate
}
