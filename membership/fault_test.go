package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func seeds() []uint64 {
	if !*longRuns {
		return []uint64{*seedFlag}
	}
	all := make([]uint64, 20)
	for i := range all {
		all[i] = *seedFlag + uint64(i)
	}
	return all
}

// failOnDeath fails the test if a node declares a process dead or left for which
// mustLive returns true.
func failOnDeath(t *testing.T, f *fleet, mustLive func(p *process) bool) {
	t.Helper()
	f.onChange = func(observer *process, c Change) {
		m := c.Member()
		p := f.byAddress[m.Address()]
		if m.Status() < StatusDead || p.incarnation != m.Incarnation() || !mustLive(p) {
			return
		}
		t.Fatalf("%v: %s declared %s %v", f.now.Sub(epoch), observer.address, m.Address(), m.Status())
	}
}

func anyProcess(*process) bool { return true }

// Guards against a join that never completes, in particular when all members start
// at the same time.
func TestJoinWhenAllStartTogether(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds() {
		f := newFleet(t, 32, seed)
		failOnDeath(t, f, anyProcess)
		t.Logf("32 members joined after %v", f.runUntilConverged(t, 30*time.Second))
	}
}

// Guards against failures that are detected late or never, or for the wrong member.
func TestKilledMembersAreDetected(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds() {
		f := newJoinedFleet(t, 32, seed)
		f.run(5 * time.Second)
		for i := 5; i < 32; i += 10 {
			f.byAddress[address(i)].dead = true
		}
		failOnDeath(t, f, func(p *process) bool { return !p.dead })
		t.Logf("3 deaths known to all members after %v", f.runUntilConverged(t, 30*time.Second))
	}
}

// Guards against a running member that is declared dead because of message loss:
// 10% on all links, then all messages in one direction between some members.
func TestLossAndOneWayPartitionsCauseNoDeaths(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds() {
		f := newJoinedFleet(t, 32, seed)
		failOnDeath(t, f, anyProcess)
		f.loss = 0.1
		f.run(2 * time.Minute)
		f.loss = 0
		f.blocked = oneWay
		f.run(2 * time.Minute)
		f.blocked = noLink
		t.Logf("no suspicions left after %v", f.runUntilConverged(t, 30*time.Second))
	}
}

func noLink(string, string) bool { return false }

// oneWay blocks half of the links from one third of the members to the others.
func oneWay(from, to string) bool {
	third := func(a string) bool { return hashString(a)%3 == 0 }
	return third(from) && !third(to) && hashString(from+to)%2 == 0
}

// Guards against a paused member that changes status repeatedly, and against one
// that suspects other members after its pause, while its open connections still
// deliver nothing for 4 s.
func TestPausedMemberDoesNotFlap(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds() {
		f := newJoinedFleet(t, 32, seed)
		paused := f.processes[7]
		dead, alive := map[*process]int{}, map[*process]int{}
		f.onChange = func(observer *process, c Change) {
			m := c.Member()
			if observer == paused || m.Address() != paused.address {
				require.Equal(t, StatusAlive.String(), m.Status().String(),
					"%v: %s saw %s", f.now.Sub(epoch), observer.address, m.Address())
			}
			switch m.Status() {
			case StatusDead:
				dead[observer]++
			case StatusAlive:
				alive[observer]++
			}
		}
		const pauses = 3
		for range pauses {
			paused.paused = true
			f.run(30 * time.Second)
			f.blocked = func(from, _ string) bool { return from == paused.address }
			f.resume(paused)
			f.run(4 * time.Second)
			f.blocked = noLink
			f.run(30 * time.Second)
		}
		require.Len(t, dead, 31)
		for observer := range dead {
			require.LessOrEqual(t, dead[observer], pauses, observer.address)
			require.LessOrEqual(t, alive[observer], pauses, observer.address)
		}
		require.True(t, f.converged())
	}
}

// Guards against a replaced VM whose old incarnation stays a member, with the clock
// of the new VM equal to that of the old one or behind it.
func TestReplacementAtTheSameAddress(t *testing.T) {
	t.Parallel()
	for _, skew := range []time.Duration{0, -time.Hour} {
		f := newJoinedFleet(t, 32, *seedFlag)
		f.run(5 * time.Second)
		failOnDeath(t, f, func(p *process) bool { return !p.dead })
		f.replace(9, skew)
		t.Logf("clock skew %v: replacement known to all members after %v", skew, f.runUntilConverged(t, 30*time.Second))
	}
}

// Guards against a fleet that stays split after a partition, and against a minority
// that considers itself a majority.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds() {
		for _, size := range []int{1, 12} {
			f := newJoinedFleet(t, 32, seed)
			for _, p := range f.processes {
				p.node.SetSeeds(nil) // seeds would reconnect the fleet even without rejoin pings to dead members
			}
			f.run(15 * time.Second)
			minority := map[string]bool{}
			for i := range size {
				minority[address(i)] = true
			}
			f.blocked = func(from, to string) bool { return minority[from] != minority[to] }
			f.run(10 * time.Second)
			for range 5 {
				for _, p := range f.processes {
					require.Equal(t, !minority[p.address], p.node.ReachesMajority(f.now),
						"%v: %s", f.now.Sub(epoch), p.address)
				}
				f.run(10 * time.Second)
			}
			f.blocked = noLink
			t.Logf("partition of %d of 32 healed after %v", size, f.runUntilConverged(t, 2*time.Minute))
		}
	}
}

// Guards against faults that are harmless alone but not in combination, in a large
// fleet: crashes, a pause, replacements, one-way partitions and message loss.
func TestLargeFleetWithManyFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds() {
		f := newJoinedFleet(t, 500, seed)
		paused := f.processes[7] // its death may still be broadcast while it resumes
		failOnDeath(t, f, func(p *process) bool { return !p.dead && p != paused })
		f.run(2 * time.Second)
		for i := 5; i < 500; i += 25 {
			f.byAddress[address(i)].dead = true
		}
		for i := 6; i < 500; i += 50 {
			f.replace(i, 0)
		}
		paused.paused = true
		f.loss, f.blocked = 0.05, oneWay
		f.run(15 * time.Second)
		f.resume(paused)
		f.loss, f.blocked = 0, noLink
		f.run(15 * time.Second)
		running, stopped := f.wrongViews()
		t.Logf("30 s after the first fault: %.3f%% of views of running members are not alive, %.3f%% of views of stopped members are live",
			100*running, 100*stopped)
		require.Less(t, running, 0.005)
		require.Less(t, stopped, 0.02)
		if *longRuns {
			t.Logf("converged after another %v", f.runUntilConverged(t, 3*time.Minute))
		}
	}
}

type traffic struct{ messages, bytes float64 }

// measure returns the average traffic that a node sends per second.
func (f *fleet) measure(d time.Duration) traffic {
	for _, p := range f.processes {
		p.sent, p.bytes = 0, 0
	}
	f.run(d)
	sent, bytes := 0, 0
	for _, p := range f.processes {
		sent, bytes = sent+p.sent, bytes+p.bytes
	}
	unit := d.Seconds() * float64(len(f.processes))
	return traffic{messages: float64(sent) / unit, bytes: float64(bytes) / unit}
}

// Guards against a message rate or size that grows with the fleet.
func TestTrafficPerNodeDoesNotGrowWithFleet(t *testing.T) {
	t.Parallel()
	var first traffic
	for _, size := range []int{32, 128, 500} {
		f := newJoinedFleet(t, size, *seedFlag)
		f.run(3 * time.Second)
		noFaults := f.measure(10 * time.Second)
		f.loss = 0.05
		for i := 3; i < size; i += 16 {
			f.byAddress[address(i)].dead = true
		}
		faults := f.measure(10 * time.Second)
		t.Logf("%3d members: without faults %.2f messages/s and %.0f B/s sent per node; with 5%% loss and 1/16 killed %.2f and %.0f",
			size, noFaults.messages, noFaults.bytes, faults.messages, faults.bytes)
		if size == 32 {
			first = faults
		}
		require.Less(t, faults.messages, 1.5*first.messages)
		require.Less(t, faults.bytes, faults.messages*(messageBytes+MaxUpdates*updateBytes))
		require.Less(t, faults.bytes, 4096.0, "half of the 8 KB/s that a node may use")
	}
}
