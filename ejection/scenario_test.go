package ejection

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scenario is a simulation of two proxies whose steps are given by the test: a
// reader with the slowest clock and a writer with the fastest.
type scenario struct {
	*simulation
	reader *simProxy
	writer *simProxy
}

func newScenario() scenario {
	s := scenario{simulation: newSimulation(1, 2, 5, 4)}
	s.reader, s.writer = s.proxies[0], s.proxies[1]
	s.reader.clockRate, s.writer.clockRate = 0.98, 1.02
	return s
}

func (s scenario) refresh(p *simProxy) {
	c := s.sendRead(p)
	s.execute(c)
	s.deliver(c)
}

// change writes a change and reports whether the write was applied.
func (s scenario) change(p *simProxy, change func(*Draft)) bool {
	c := s.sendWrite(p, change)
	if c == nil {
		return false
	}
	s.execute(c)
	s.deliver(c)
	s.checkInvariants()
	return !c.conflict
}

func (s scenario) eject(p *simProxy, endpoint string) bool {
	return s.change(p, func(d *Draft) { _ = d.Propose(Candidate{Endpoint: endpoint}) })
}

// remove removes the endpoint's entry as soon as the proxy has held it long enough.
func (s scenario) remove(p *simProxy, endpoint string) {
	for !s.change(p, func(d *Draft) { _ = d.Remove(endpoint, p.view) }) {
		s.elapsed += time.Millisecond
		s.checkInvariants()
	}
}

// TestHoldOutlastsSlowCopies guards against a hold that ends, by the fastest
// clock, while an older copy is still valid by the slowest clock.
func TestHoldOutlastsSlowCopies(t *testing.T) {
	s := newScenario()
	require.True(t, s.eject(s.writer, "e0"))
	s.refresh(s.reader)
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	s.remove(s.writer, "e0")
	require.True(t, s.eject(s.writer, "e1"))
	require.NoError(t, s.failure)
}

// TestHoldNotReusedForLaterReturn guards against a proxy that observes a return,
// is paused, and then counts the elapsed hold for a later return of the same
// endpoint.
func TestHoldNotReusedForLaterReturn(t *testing.T) {
	s := newScenario()
	require.True(t, s.eject(s.writer, "e0"))
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	paused := s.reader
	s.refresh(paused)
	s.remove(s.writer, "e0")
	s.elapsed += 2 * time.Second // exceeds the hold by the slow clock too
	require.True(t, s.eject(s.writer, "e0"))
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	s.refresh(paused)
	require.False(t, s.change(paused, func(d *Draft) { _ = d.Remove("e0", paused.view) }))
	require.NoError(t, s.failure)
}

// TestRaisedFloorRejectsOutdatedProposers guards against an ejection under an
// older configuration after the floor was raised while no endpoint was ejected,
// so that no ejection has written the new revision to the ledger.
func TestRaisedFloorRejectsOutdatedProposers(t *testing.T) {
	s := newScenario()
	require.True(t, s.eject(s.writer, "e0"))
	require.True(t, s.change(s.writer, func(d *Draft) { _ = d.Return("e0") }))
	s.remove(s.writer, "e0")
	s.reconfigure(func(c *serviceConfig) { c.floor = 5 })
	s.writer.config = s.current
	s.change(s.writer, func(*Draft) {})
	s.refresh(s.reader)
	require.False(t, s.eject(s.reader, "e1"))
	require.NoError(t, s.failure)
}

// TestReturnAndRemoveRequireState guards against a return or removal of an entry
// that is missing or in another state.
func TestReturnAndRemoveRequireState(t *testing.T) {
	v := NewView("depot")
	require.NoError(t, v.ObservePlatform(newLedger(), 1, simEpoch, simEpoch))
	d := NewDraft(ejectedLedger(), NewPool(3, 1, draftEndpoints), "p1", "op", simEpoch)
	require.ErrorIs(t, d.Return("c"), ErrNotListed)
	require.ErrorIs(t, d.Remove("a", v), ErrNotListed)
	require.NoError(t, d.Return("a"))
	require.ErrorIs(t, d.Return("a"), ErrNotListed)
	require.ErrorIs(t, d.Remove("a", v), ErrHeldTooShort)
}
