package claim

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/carawayhold/carawayhold/once"
)

var faultSteps = []step{
	beforeClaim, claimSent, claimWritten, claimGranted, beforeSend, firstByteSent,
	backendRan, backendAnswered, settleSent, settleWritten, callerAnswered,
}

// scenario holds the processes that a fault can affect: the claimant a, the home
// proxy of the key, and another proxy b.
type scenario struct {
	*simulation
	a, home, b *node
	key        string
}

type fault struct {
	name   string
	inject func(scenario)
	// duration is the time until heal ends the fault.
	duration time.Duration
	// claimantStateLost means that the claimant loses its memory, so that the
	// outcome may stay unknown.
	claimantStateLost bool
	// resubmits means that the fault is another submission of the key.
	resubmits bool
	// noResponse means that the backend server never responds.
	noResponse bool
}

var allFaults = []fault{
	{name: "none", inject: func(scenario) {}},
	{name: "claimant killed", inject: func(s scenario) { s.kill(s.a) }, claimantStateLost: true},
	{name: "home killed", inject: func(s scenario) { s.kill(s.home) }},
	{name: "claimant paused", inject: func(s scenario) { s.pause(s.a, 10*time.Minute) }, duration: 10 * time.Minute},
	{name: "home paused", inject: func(s scenario) { s.pause(s.home, 10*time.Minute) }, duration: 10 * time.Minute},
	{name: "claimant replaced", inject: func(s scenario) { s.kill(s.a); s.start(s.a.address) }, claimantStateLost: true},
	{name: "home replaced", inject: func(s scenario) { s.kill(s.home); s.start(s.home.address) }},
	{name: "requests to home lost", inject: func(s scenario) { s.breakPeerLink(s.a, s.home, dropRequests) }, duration: time.Minute},
	{name: "replies from home lost", inject: func(s scenario) { s.breakPeerLink(s.a, s.home, dropReplies) }, duration: time.Minute},
	{name: "requests to claimant lost", inject: func(s scenario) { s.breakPeerLink(s.b, s.a, dropRequests) }, duration: time.Minute},
	{name: "requests to platform lost", inject: func(s scenario) { s.breakPlatformLink(s.a, dropRequests) }, duration: time.Minute},
	{name: "replies from platform lost", inject: func(s scenario) { s.breakPlatformLink(s.a, dropReplies) }, duration: time.Minute},
	{name: "platform replies to home lost", inject: func(s scenario) { s.breakPlatformLink(s.home, dropReplies) }, duration: time.Minute},
	{name: "platform outage", inject: func(s scenario) { s.set(func(sim *simulation) { sim.storeDown = true }) }, duration: 2 * time.Hour},
	{name: "write reply lost", inject: func(s scenario) { s.set(func(sim *simulation) { sim.loseReplies = 1 }) }},
	{name: "write delayed", inject: func(s scenario) { s.set(func(sim *simulation) { sim.delayWrites = 1 }) }},
	{name: "endpoint silent", inject: func(s scenario) { s.set(func(sim *simulation) { sim.endpoint = endpointSilent }) }, noResponse: true},
	{name: "endpoint late", inject: func(s scenario) { s.set(func(sim *simulation) { sim.endpoint = endpointLate }) }, duration: time.Minute},
	{name: "endpoint refuses", inject: func(s scenario) { s.set(func(sim *simulation) { sim.endpoint = endpointRefuses }) }},
	{name: "endpoint declines", inject: func(s scenario) { s.set(func(sim *simulation) { sim.endpoint = endpointDeclines }) }},
	{name: "duplicate submission", inject: func(s scenario) { go s.a.submit(s.key, false) }, resubmits: true},
	{name: "resubmission to another proxy", inject: func(s scenario) { go s.b.submit(s.key, false) }, resubmits: true},
}

func (sim *simulation) set(change func(*simulation)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change(sim)
}

func (sim *simulation) breakPeerLink(from, to *node, l linkState) {
	sim.set(func(*simulation) { from.peerLinks[to.address] = l })
}

func (sim *simulation) breakPlatformLink(from *node, l linkState) {
	sim.set(func(*simulation) { from.storeLink = l })
}

// injection is a fault and the step at which it is injected.
type injection struct {
	fault fault
	step  step
}

// faultCase is a submission with one or two faults.
type faultCase struct {
	injections []injection
	// claimantIsHome makes the claimant the home proxy of the key's partition.
	claimantIsHome bool
	// first sets FirstSubmission on the first submission.
	first bool
}

func (c faultCase) String() string {
	text := fmt.Sprintf("claimantIsHome=%t first=%t", c.claimantIsHome, c.first)
	for _, s := range c.injections {
		text += fmt.Sprintf(" [%s at %s]", s.fault.name, s.step)
	}
	return text
}

// outcomes counts the outcomes that callers received, as evidence that the tests
// are not vacuous.
type outcomes struct {
	cases, injected, answered, notRun, unknown, runs atomic.Int64
}

func (o *outcomes) add(sim *simulation, injected bool) {
	o.cases.Add(1)
	if injected {
		o.injected.Add(1)
	}
	for _, e := range sim.results {
		switch e.verdict.Outcome() {
		case once.OutcomeAnswered:
			o.answered.Add(1)
		case once.OutcomeNotRun:
			o.notRun.Add(1)
		default:
			o.unknown.Add(1)
		}
	}
	for _, r := range sim.runs {
		o.runs.Add(int64(len(r)))
	}
}

func (o *outcomes) String() string {
	return fmt.Sprintf("%d cases, faults injected in %d; outcomes: answered %d, not-run %d, unknown %d; %d runs",
		o.cases.Load(), o.injected.Load(), o.answered.Load(), o.notRun.Load(), o.unknown.Load(), o.runs.Load())
}

// newScenario picks a key whose partition has the wanted home proxy.
func newScenario(sim *simulation, claimantIsHome bool) scenario {
	s := scenario{simulation: sim, a: sim.members[0], b: sim.members[2]}
	want := sim.members[1]
	if claimantIsHome {
		want = s.a
	}
	for i := 0; ; i++ {
		s.key = fmt.Sprintf("main-%d", i)
		index := once.PartitionOf(identity(s.key).key(testService), testPartitions)
		if sim.homes(once.ObjectName(testService, index), 1)[0] == want.incarnation {
			s.home = want
			return s
		}
	}
}

// neighbours returns other keys of the scenario's partition.
func (s scenario) neighbours(count int) []string {
	index := once.PartitionOf(identity(s.key).key(testService), testPartitions)
	var keys []string
	for i := 0; len(keys) < count; i++ {
		key := fmt.Sprintf("other-%d", i)
		if once.PartitionOf(identity(key).key(testService), testPartitions) == index {
			keys = append(keys, key)
		}
	}
	return keys
}

// shortOutage exceeds every timeout and pause.
const shortOutage = 12 * time.Minute

// run must be called in a synctest bubble.
func (c faultCase) run(t *testing.T, seen *outcomes) {
	sim := newSimulation(t, 3)
	s := newScenario(sim, c.claimantIsHome)
	var duration time.Duration
	var injected atomic.Int64
	sim.watched = s.key
	sim.onStep = func(at step) {
		for _, i := range c.injections {
			if i.step == at {
				injected.Add(1)
				i.fault.inject(s)
			}
		}
	}
	for _, i := range c.injections {
		duration = max(duration, i.fault.duration)
	}
	if len(c.injections) > 1 || c.claimantIsHome || c.first {
		// Only one variant of each fault keeps the full duration, because an outage
		// of hours takes ten times as long to simulate.
		duration = min(duration, shortOutage)
	}
	// Submissions with other keys of the partition make every process cache it.
	others := s.neighbours(6)
	for i, n := range sim.members[:3] {
		n.submit(others[i], false)
	}
	for i, n := range sim.members[:3] {
		go n.submit(others[3+i], false)
	}
	go s.a.submit(s.key, c.first)
	time.Sleep(callerDeadline + 500*time.Millisecond)
	// The caller resubmits during the fault.
	s.b.submit(s.key, false)
	time.Sleep(duration)
	sim.heal()
	time.Sleep(maxRetryInterval + 5*time.Second)
	again, replied := s.b.submit(s.key, false)
	outcome := s.b.coordinator.Outcome(s.b.ctx, submissionOf(s.key, false).Service, identity(s.key))
	sim.check(c.String())
	c.checkProgress(t, again, replied, outcome)
	c.checkReadBack(t, sim, s.key)
	seen.add(sim, injected.Load() > 0)
	sim.stop()
}

// checkProgress checks that, after all faults have ended, the key of a claimant
// that kept its memory is answered. Without this check, an implementation that
// always returns unknown would pass.
func (c faultCase) checkProgress(t *testing.T, again once.Verdict, replied bool, outcome once.Verdict) {
	for _, i := range c.injections {
		if i.fault.claimantStateLost || i.fault.noResponse || i.fault.name == "home killed" && c.claimantIsHome ||
			i.fault.name == "home replaced" && c.claimantIsHome || i.fault.name == "claimant paused" ||
			i.fault.name == "home paused" && c.claimantIsHome {
			return
		}
	}
	assert.True(t, replied, c)
	assert.Equal(t, once.OutcomeAnswered, again.Outcome(), "%s: resubmission after the faults: %s", c, again.Reason())
	assert.Equal(t, once.OutcomeAnswered, outcome.Outcome(), "%s: query after the faults: %s", c, outcome.Reason())
}

// checkReadBack checks that a claim whose write had an unknown result is granted
// when a later read of the record shows it.
func (c faultCase) checkReadBack(t *testing.T, sim *simulation, key string) {
	if len(c.injections) != 1 {
		return
	}
	if name := c.injections[0].fault.name; name != "write reply lost" && name != "write delayed" {
		return
	}
	i := slices.IndexFunc(sim.results, func(r callerResult) bool { return r.key == key })
	assert.Equal(t, once.OutcomeAnswered, sim.results[i].verdict.Outcome(), "%s: first submission", c)
}

// Injects every fault at every step and checks the guarantees listed at
// simulation.check.
func TestFaultMatrix(t *testing.T) {
	var seen outcomes
	t.Run("faults", func(t *testing.T) {
		for _, f := range allFaults {
			for _, at := range faultSteps {
				t.Run(f.name+"/"+string(at), func(t *testing.T) {
					t.Parallel()
					for variant := range 4 {
						c := faultCase{
							injections:     []injection{{f, at}},
							claimantIsHome: variant&1 != 0,
							first:          variant&2 != 0 && !f.resubmits,
						}
						synctest.Test(t, func(t *testing.T) { c.run(t, &seen) })
					}
				})
			}
		}
	})
	fmt.Printf("fault matrix: %s\n", &seen)
}
