package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scenario drives two proxies of one world by hand: a reader with the slowest
// clock and a writer with the fastest.
type scenario struct {
	*world
	reader *simProxy
	writer *simProxy
}

func newScenario() scenario {
	s := scenario{world: newWorld(1, 2, 5, 4)}
	s.reader, s.writer = s.proxies[0], s.proxies[1]
	s.reader.rate, s.writer.rate = 0.98, 1.02
	return s
}

func (s scenario) refresh(p *simProxy) {
	c := s.read(p)
	s.effect(c)
	s.deliver(c)
}

// change writes and reports whether the store took the write.
func (s scenario) change(p *simProxy, change func(*Draft)) bool {
	c := s.write(p, change)
	if c == nil {
		return false
	}
	s.effect(c)
	s.deliver(c)
	s.check()
	return !c.refused
}

func (s scenario) eject(p *simProxy, endpoint string) bool {
	return s.change(p, func(d *Draft) { _ = d.Propose(Candidate{Endpoint: endpoint}) })
}

// remove removes as soon as the proxy's own hold allows it.
func (s scenario) remove(p *simProxy, endpoint string) {
	for !s.change(p, func(d *Draft) { _ = d.Remove(endpoint, p.view) }) {
		s.elapsed += time.Millisecond
		s.check()
	}
}

// TestHoldOutlastsSlowCopies guards against a hold that ends on the fastest
// clock while a copy is still valid on the slowest.
func TestHoldOutlastsSlowCopies(t *testing.T) {
	s := newScenario()
	require.True(t, s.eject(s.writer, "e0"))
	s.refresh(s.reader)
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	s.remove(s.writer, "e0")
	require.True(t, s.eject(s.writer, "e1"))
	require.NoError(t, s.failure)
}

// TestHoldOfEarlierReturn guards against a proxy that saw one return, was
// paused, and takes its hold for that of a later return of the same endpoint.
func TestHoldOfEarlierReturn(t *testing.T) {
	s := newScenario()
	require.True(t, s.eject(s.writer, "e0"))
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	paused := s.reader
	s.refresh(paused)
	s.remove(s.writer, "e0")
	s.elapsed += 2 * time.Second // past the hold on the slow clock too
	require.True(t, s.eject(s.writer, "e0"))
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	s.refresh(paused)
	require.False(t, s.change(paused, func(d *Draft) { _ = d.Remove("e0", paused.view) }))
	require.NoError(t, s.failure)
}

// TestRaisedFloorKeepsOldProposersOut guards against a floor that was raised
// while nothing was ejected, which no proposal has yet written into the ledger.
func TestRaisedFloorKeepsOldProposersOut(t *testing.T) {
	s := newScenario()
	require.True(t, s.eject(s.writer, "e0"))
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	s.remove(s.writer, "e0")
	s.reconfigure(func(k *knowledge) { k.floor = 5 })
	s.writer.known = s.truth
	s.change(s.writer, func(*Draft) {})
	s.refresh(s.reader)
	require.False(t, s.eject(s.reader, "e1"))
	require.NoError(t, s.failure)
}

// TestRefusals guards against a return or removal of an entry in another state.
func TestRefusals(t *testing.T) {
	v := NewView("depot")
	require.NoError(t, v.ObservePlatform(entries(), 1, simEpoch, simEpoch))
	d := NewDraft(ejectedLedger(), NewPool(3, 1, draftEndpoints), "p1", "op", simEpoch)
	require.ErrorIs(t, d.Return("c"), ErrNotListed)
	require.ErrorIs(t, d.Remove("a", v), ErrNotListed)
	require.NoError(t, d.Return("a"))
	require.ErrorIs(t, d.Return("a"), ErrNotListed)
	require.ErrorIs(t, d.Remove("a", v), ErrHeldTooShort)
}
