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

var matrixSteps = []step{
	beforeClaim, claimSent, claimTakenEffect, claimAnswered, beforeSend, firstByteSent,
	backendRan, backendAnswered, settleSent, settleTakenEffect, callerAnswered,
}

// scene is what a fault can act on: the claimant a, the home and another proxy b.
type scene struct {
	*world
	a, home, b *node
	key        string
}

type fault struct {
	name   string
	strike func(scene)
	// lasts is how long the fault stays; 0 means that heal ends it at once.
	lasts time.Duration
	// claimantLost means that the memory of the claimant is gone, so that
	// unknown is the right outcome for good.
	claimantLost bool
	// resubmits means that another submission of the key is in progress.
	resubmits bool
	// noAnswer means that the backend's response never arrives.
	noAnswer bool
}

var matrixFaults = []fault{
	{name: "none", strike: func(scene) {}},
	{name: "claimant killed", strike: func(s scene) { s.kill(s.a) }, claimantLost: true},
	{name: "home killed", strike: func(s scene) { s.kill(s.home) }},
	{name: "claimant paused", strike: func(s scene) { s.pause(s.a, 10*time.Minute) }, lasts: 10 * time.Minute},
	{name: "home paused", strike: func(s scene) { s.pause(s.home, 10*time.Minute) }, lasts: 10 * time.Minute},
	{name: "claimant replaced", strike: func(s scene) { s.kill(s.a); s.start(s.a.address) }, claimantLost: true},
	{name: "home replaced", strike: func(s scene) { s.kill(s.home); s.start(s.home.address) }},
	{name: "requests to home cut", strike: func(s scene) { s.cutPeers(s.a, s.home, cutRequests) }, lasts: time.Minute},
	{name: "replies of home cut", strike: func(s scene) { s.cutPeers(s.a, s.home, cutReplies) }, lasts: time.Minute},
	{name: "requests to claimant cut", strike: func(s scene) { s.cutPeers(s.b, s.a, cutRequests) }, lasts: time.Minute},
	{name: "requests to platform cut", strike: func(s scene) { s.cutPlatform(s.a, cutRequests) }, lasts: time.Minute},
	{name: "replies of platform cut", strike: func(s scene) { s.cutPlatform(s.a, cutReplies) }, lasts: time.Minute},
	{name: "home's replies of platform cut", strike: func(s scene) { s.cutPlatform(s.home, cutReplies) }, lasts: time.Minute},
	{name: "platform outage", strike: func(s scene) { s.set(func(w *world) { w.storeDown = true }) }, lasts: 2 * time.Hour},
	{name: "write answer lost", strike: func(s scene) { s.set(func(w *world) { w.loseAnswers = 1 }) }},
	{name: "write delayed", strike: func(s scene) { s.set(func(w *world) { w.delayWrites = 1 }) }},
	{name: "endpoint silent", strike: func(s scene) { s.set(func(w *world) { w.endpoint = endpointSilent }) }, noAnswer: true},
	{name: "endpoint late", strike: func(s scene) { s.set(func(w *world) { w.endpoint = endpointLate }) }, lasts: time.Minute},
	{name: "endpoint refuses", strike: func(s scene) { s.set(func(w *world) { w.endpoint = endpointRefuses }) }},
	{name: "endpoint declines", strike: func(s scene) { s.set(func(w *world) { w.endpoint = endpointDeclines }) }},
	{name: "duplicate submission", strike: func(s scene) { go s.a.submit(s.key, false) }, resubmits: true},
	{name: "resubmission to another proxy", strike: func(s scene) { go s.b.submit(s.key, false) }, resubmits: true},
}

func (w *world) set(change func(*world)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

func (w *world) cutPeers(from, to *node, c cut) {
	w.set(func(*world) { from.cutPeer[to.address] = c })
}

func (w *world) cutPlatform(from *node, c cut) {
	w.set(func(*world) { from.cutStore = c })
}

// strike is one fault at one step.
type strike struct {
	fault fault
	step  step
}

// matrixCase is one submission with one or two faults.
type matrixCase struct {
	strikes []strike
	// claimantIsHome makes the claimant the home of the key's partition.
	claimantIsHome bool
	// first is what the caller declares about its first submission.
	first bool
}

func (c matrixCase) String() string {
	text := fmt.Sprintf("claimantIsHome=%t first=%t", c.claimantIsHome, c.first)
	for _, s := range c.strikes {
		text += fmt.Sprintf(" [%s at %s]", s.fault.name, s.step)
	}
	return text
}

// outcomes counts what callers were told, to show that a matrix is not vacuous.
type outcomes struct {
	cases, struck, answered, notRun, unknown, runs atomic.Int64
}

func (o *outcomes) add(w *world, struck bool) {
	o.cases.Add(1)
	if struck {
		o.struck.Add(1)
	}
	for _, e := range w.told {
		switch e.verdict.Outcome() {
		case once.OutcomeAnswered:
			o.answered.Add(1)
		case once.OutcomeNotRun:
			o.notRun.Add(1)
		default:
			o.unknown.Add(1)
		}
	}
	for _, r := range w.runs {
		o.runs.Add(int64(len(r)))
	}
}

func (o *outcomes) String() string {
	return fmt.Sprintf("%d cases, fault struck in %d; told answered %d, not-run %d, unknown %d; %d runs",
		o.cases.Load(), o.struck.Load(), o.answered.Load(), o.notRun.Load(), o.unknown.Load(), o.runs.Load())
}

// newScene finds a key whose partition has the wanted home.
func newScene(w *world, claimantIsHome bool) scene {
	s := scene{world: w, a: w.members[0], b: w.members[2]}
	want := w.members[1]
	if claimantIsHome {
		want = s.a
	}
	for i := 0; ; i++ {
		s.key = fmt.Sprintf("main-%d", i)
		index := once.PartitionOf(identity(s.key).key(worldService), worldPartitions)
		if w.homes(once.ObjectName(worldService, index), 1)[0] == want.incarnation {
			s.home = want
			return s
		}
	}
}

// neighbours returns other keys of the scene's partition.
func (s scene) neighbours(count int) []string {
	index := once.PartitionOf(identity(s.key).key(worldService), worldPartitions)
	var keys []string
	for i := 0; len(keys) < count; i++ {
		key := fmt.Sprintf("other-%d", i)
		if once.PartitionOf(identity(key).key(worldService), worldPartitions) == index {
			keys = append(keys, key)
		}
	}
	return keys
}

// shortOutage is longer than every timeout and every pause.
const shortOutage = 12 * time.Minute

// play runs a case in a synctest bubble.
func (c matrixCase) play(t *testing.T, seen *outcomes) {
	w := newWorld(t, 3)
	s := newScene(w, c.claimantIsHome)
	var lasts time.Duration
	var struck atomic.Int64
	w.watched = s.key
	w.onStep = func(at step) {
		for _, k := range c.strikes {
			if k.step == at {
				struck.Add(1)
				k.fault.strike(s)
			}
		}
	}
	for _, k := range c.strikes {
		lasts = max(lasts, k.fault.lasts)
	}
	if len(c.strikes) > 1 || c.claimantIsHome || c.first {
		// One variant of each outage lasts hours, which takes ten times as long to
		// play; the others are as much longer than every timeout.
		lasts = min(lasts, shortOutage)
	}
	// Other keys of the same partition leave copies of it in every process.
	others := s.neighbours(6)
	for i, n := range w.members[:3] {
		n.submit(others[i], false)
	}
	for i, n := range w.members[:3] {
		go n.submit(others[3+i], false)
	}
	go s.a.submit(s.key, c.first)
	time.Sleep(callerDeadline + 500*time.Millisecond)
	// The caller resubmits while the fault lasts.
	s.b.submit(s.key, false)
	time.Sleep(lasts)
	w.heal()
	time.Sleep(maxSweepInterval + 5*time.Second)
	again, told := s.b.submit(s.key, false)
	outcome := s.b.coordinator.Outcome(s.b.ctx, submissionOf(s.key, false).Service, identity(s.key))
	w.check(c.String())
	c.checkProgress(t, again, told, outcome)
	c.checkReadBack(t, w, s.key)
	seen.add(w, struck.Load() > 0)
	w.stop()
}

// checkProgress guards against outcomes that are safe and useless: after all
// faults have ended, a key whose claimant kept its memory must be answered.
func (c matrixCase) checkProgress(t *testing.T, again once.Verdict, told bool, outcome once.Verdict) {
	for _, k := range c.strikes {
		if k.fault.claimantLost || k.fault.noAnswer || k.fault.name == "home killed" && c.claimantIsHome ||
			k.fault.name == "home replaced" && c.claimantIsHome || k.fault.name == "claimant paused" ||
			k.fault.name == "home paused" && c.claimantIsHome {
			return
		}
	}
	assert.True(t, told, c)
	assert.Equal(t, once.OutcomeAnswered, again.Outcome(), "%s: resubmission after the faults: %s", c, again.Reason())
	assert.Equal(t, once.OutcomeAnswered, outcome.Outcome(), "%s: query after the faults: %s", c, outcome.Reason())
}

// checkReadBack guards against a claim that is given up because the answer to
// its write was lost, although the record read back shows it.
func (c matrixCase) checkReadBack(t *testing.T, w *world, key string) {
	if len(c.strikes) != 1 {
		return
	}
	if name := c.strikes[0].fault.name; name != "write answer lost" && name != "write delayed" {
		return
	}
	i := slices.IndexFunc(w.told, func(e told) bool { return e.key == key })
	assert.Equal(t, once.OutcomeAnswered, w.told[i].verdict.Outcome(), "%s: first submission", c)
}

// Guards P2, P3 and P4 against every fault at every step.
func TestFaultMatrix(t *testing.T) {
	var seen outcomes
	t.Run("faults", func(t *testing.T) {
		for _, f := range matrixFaults {
			for _, at := range matrixSteps {
				t.Run(f.name+"/"+string(at), func(t *testing.T) {
					t.Parallel()
					for variant := range 4 {
						c := matrixCase{
							strikes:        []strike{{f, at}},
							claimantIsHome: variant&1 != 0,
							first:          variant&2 != 0 && !f.resubmits,
						}
						synctest.Test(t, func(t *testing.T) { c.play(t, &seen) })
					}
				})
			}
		}
	})
	fmt.Printf("fault matrix: %s\n", &seen)
}
