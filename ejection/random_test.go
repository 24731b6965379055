package ejection

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	randomSteps = flag.Int("ejection.steps", 60_000, "steps of the randomised run")
	randomSeed  = flag.Uint64("ejection.seed", 20261204, "first seed of the randomised run")
)

// stepsPerSimulation is the number of steps after which the test starts a new
// simulation with the next seed, to cover the states after a start as well as
// long histories.
const stepsPerSimulation = 20_000

// TestRandomisedFloor guards against an interleaving of delays, duplicates,
// pauses, partitions, outages, replaced proxies and configuration changes in
// which the proxies together treat more endpoints as ejected than the floor
// allows.
func TestRandomisedFloor(t *testing.T) {
	floorChecks, fullBudgetSteps := 0, 0
	for done, seed := 0, *randomSeed; done < *randomSteps; seed++ {
		t.Logf("seed %d", seed)
		s := newSimulation(seed, 5, 6, 4)
		for range min(stepsPerSimulation, *randomSteps-done) {
			s.randomStep()
			s.checkInvariants()
			done++
			require.NoError(t, s.failure, "seed %d, step %d", seed, done)
		}
		floorChecks += s.floorChecks
		fullBudgetSteps += s.fullBudgetSteps
	}
	t.Logf("%d steps, floor over all proxies checked at %d, as many endpoints ejected as it allows at %d",
		*randomSteps, floorChecks, fullBudgetSteps)
	require.Greater(t, fullBudgetSteps, *randomSteps/100, "too few steps with as many endpoints ejected as the floor allows")
}

func (s *simulation) randomStep() {
	p := s.proxies[s.rng.IntN(len(s.proxies))]
	switch n := s.rng.IntN(1000); {
	case n < 250:
		s.advanceClock()
	case n < 400:
		s.sendRandomCall(p)
	case n < 630:
		s.executeRandomCall()
	case n < 950:
		s.deliverRandomCall()
	case n < 990:
		p.config = s.current
	default:
		s.injectRandomFault(p)
	}
}

func (s *simulation) advanceClock() {
	steps := []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second}
	s.elapsed += steps[s.rng.IntN(len(steps))]
	if s.rng.IntN(50) == 0 {
		s.jumpToRemoval()
	}
}

// jumpToRemoval advances to the earliest time at which a proxy may remove a
// returning entry and makes it do so. Random steps rarely hit this time, because
// the margin of RemoveHold is only a fraction of a second.
func (s *simulation) jumpToRemoval() {
	var first *simProxy
	var at time.Duration
	for _, p := range s.proxies {
		for _, since := range p.view.returningSince {
			due := time.Duration(float64(since.Add(RemoveHold).Sub(simEpoch))/p.clockRate) + time.Microsecond
			if due >= s.elapsed && !p.paused && (first == nil || due < at) {
				first, at = p, due
			}
		}
	}
	if first == nil {
		return
	}
	s.elapsed = at
	for range 2 { // the removal, then an ejection that uses the freed capacity
		if c := s.sendWrite(first, func(d *Draft) { s.changeRandomly(first, d) }); c != nil {
			s.execute(c)
			s.deliver(c)
		}
	}
}

func (s *simulation) sendRandomCall(p *simProxy) {
	if p.paused {
		return
	}
	switch s.rng.IntN(5) {
	case 0, 1:
		s.sendRead(p)
	case 2:
		s.sendPeerRead(p, s.proxies[s.rng.IntN(len(s.proxies))])
	default:
		s.sendWrite(p, func(d *Draft) { s.changeRandomly(p, d) })
	}
}

func (s *simulation) changeRandomly(p *simProxy, d *Draft) {
	for _, e := range p.view.Removable(s.now(p)) {
		_ = d.Remove(e, p.view)
	}
	for range s.rng.IntN(3) {
		_ = d.Propose(Candidate{Endpoint: s.randomName(p.config.endpoints), Kind: "error", Evidence: s.rng.Float64()})
	}
	if s.rng.IntN(6) == 0 {
		_ = d.Return(s.randomName(p.config.endpoints))
	}
}

func (s *simulation) executeRandomCall() {
	if len(s.calls) == 0 {
		return
	}
	if c := s.calls[s.rng.IntN(len(s.calls))]; !c.executed {
		s.execute(c)
	} else if s.rng.IntN(20) == 0 {
		s.execute(c)
	}
}

// deliverRandomCall delivers the response of a call or loses it. Sometimes it
// keeps the call for a second delivery.
func (s *simulation) deliverRandomCall() {
	if len(s.calls) == 0 {
		return
	}
	i := s.rng.IntN(len(s.calls))
	c := s.calls[i]
	lost := s.rng.IntN(10) == 0
	if !c.executed && !lost {
		return
	}
	if !lost {
		s.deliver(c)
	}
	if lost || s.rng.IntN(20) > 0 {
		s.calls = slices.Delete(s.calls, i, i+1)
	}
}

func (s *simulation) injectRandomFault(p *simProxy) {
	switch s.rng.IntN(12) {
	case 0: // the proxy is replaced by one without its state
		i := slices.Index(s.proxies, p)
		s.proxies[i] = s.newProxy()
	case 1, 2:
		p.paused = !p.paused
	case 3:
		p.dropRequests = !p.dropRequests
	case 4:
		p.dropResponses = !p.dropResponses
	case 5:
		s.platformDown = !s.platformDown
	case 6:
		s.reconfigure(func(c *serviceConfig) { c.floor = min(c.floor+1, len(c.endpoints)) })
	case 7:
		s.reconfigure(func(c *serviceConfig) { c.floor = max(3, c.floor-1) })
	case 8:
		s.reconfigure(func(c *serviceConfig) { c.draining = []string{s.randomName(c.endpoints)} })
	case 9:
		s.reconfigure(func(c *serviceConfig) { c.draining = nil })
	case 10:
		s.reconfigure(toggleLastEndpoint)
	default: // all faults end
		s.platformDown = false
		for _, q := range s.proxies {
			q.paused, q.dropRequests, q.dropResponses = false, false, false
		}
	}
}

// toggleLastEndpoint removes the last endpoint from the configuration or adds it
// again.
func toggleLastEndpoint(c *serviceConfig) {
	if len(c.endpoints) == 6 {
		c.endpoints = c.endpoints[:5]
		return
	}
	c.endpoints = append(c.endpoints, "e5")
}

func (s *simulation) randomName(names []string) string {
	return names[s.rng.IntN(len(names))]
}
