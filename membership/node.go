package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pingPeriod is the time between two probes of a node.
	pingPeriod = time.Second
	// indirectAfter is how long a probe waits for a direct ack before it requests
	// indirect pings. Round trips within a region take a few milliseconds.
	indirectAfter = 400 * time.Millisecond
	// indirectHelpers is the number of members requested to ping indirectly.
	indirectHelpers = 3
	// suspectAfter is the number of consecutive own probes that must fail, including
	// their indirect pings, before a node broadcasts a suspicion. With 1, a loss
	// of 5% and one-way partitions among 500 members caused more suspicions and
	// refutations than the bounded messages can carry.
	suspectAfter = 2
	// suspicionTime is how long a member is suspected before it is declared dead.
	suspicionTime = 5 * time.Second
	// isolatedSuspicionTime replaces suspicionTime in a node that receives no acks
	// at all, since the fault is then more likely its own connection.
	isolatedSuspicionTime = 30 * time.Second
	// isolatedAfter is the time without any ack after which a node considers
	// itself isolated.
	isolatedAfter = 3 * time.Second
	// pauseGap is the time between two calls after which a node concludes that its
	// process was paused: two missed periods.
	pauseGap = 2 * pingPeriod
	// joinPeriod is the interval of the pings that fetch the member table after
	// startup.
	joinPeriod = 100 * time.Millisecond
	// settleTime is the time without a newly discovered member after which the
	// member table counts as complete, also when the whole fleet starts at once.
	settleTime = 5 * time.Second
	// maxJoinTime bounds the fast table walk after startup.
	maxJoinTime = time.Minute
	// forgetPeriod is the interval at which expired records are removed.
	forgetPeriod = 10 * time.Second
	// rejoinPeriod is the interval of the pings to seeds without a live member and
	// to dead members, which reconnect the fleet after a partition.
	rejoinPeriod = 5 * time.Second
	// reachWindow is the period whose probes ReachesMajority evaluates.
	reachWindow = 10 * time.Second
	// minReachSamples is the number of probes below which ReachesMajority uses the
	// time since the last ack instead.
	minReachSamples = 5
	// deadRetention is how long a dead member stays known. Partitions of an hour
	// occur, and the smaller side must not forget the larger one.
	deadRetention = 2 * time.Hour
	// leftRetention is how long a left member stays known, so that delayed updates
	// do not bring it back.
	leftRetention = 10 * time.Minute
	// leaveFanOut is the number of members that are notified directly of a shutdown.
	leaveFanOut = 8
	// maxRelays bounds the pending indirect pings that a node sends for others.
	maxRelays = 256
)

// Node is the membership state machine of one proxy. It is not safe for concurrent use.
type Node struct {
	self        Update
	addressHash uint64
	random      *rand.Rand

	records       map[Incarnation]*record
	sortedRecords []*record // by incarnation
	// failed holds the members whose failedAt is set.
	failed map[Incarnation]struct{}
	// byAddress holds the newest live member at each address.
	byAddress  map[string]Incarnation
	seeds      []string
	broadcasts broadcastQueue
	changes    []Change

	sequence uint64
	probes   map[uint64]*probe
	relays   map[uint64]relay
	rotation []*record // members still to be probed in this round
	cursor   Incarnation
	joined   bool
	// settled is set when the fast table walk after startup is over.
	settled         bool
	startedAt       time.Time
	lastNewMemberAt time.Time
	leaving         bool
	nextPing        time.Time
	nextJoin        time.Time
	nextRejoin      time.Time
	nextForget      time.Time
	lastCall        time.Time
	lastAck         time.Time
	// graceUntil is the end of the period in which the node suspects no member,
	// because it was paused.
	graceUntil time.Time
	results    []probeResult

	revision       int64
	newestRevision int64
	newestHolder   Update
	confirmedAt    time.Time
}

// NewNode returns the state machine of the process described by self. The random
// source must not be shared.
func NewNode(self Member, now time.Time, random *rand.Rand) *Node {
	return &Node{
		self:            self.update,
		addressHash:     hashString(self.Address()),
		random:          random,
		records:         map[Incarnation]*record{},
		failed:          map[Incarnation]struct{}{},
		byAddress:       map[string]Incarnation{},
		probes:          map[uint64]*probe{},
		relays:          map[uint64]relay{},
		nextPing:        now,
		nextJoin:        now,
		nextRejoin:      now.Add(rejoinPeriod),
		nextForget:      now.Add(forgetPeriod),
		lastCall:        now,
		lastAck:         now,
		startedAt:       now,
		lastNewMemberAt: now,
	}
}

// SetSeeds replaces the addresses at which members may be found, from the settings
// and the VM list. They are hints: a stale address costs an occasional ping.
func (n *Node) SetSeeds(addresses []string) {
	n.seeds = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool {
		return a == "" || a == n.self.Address
	})
}

// Self returns the local member.
func (n *Node) Self() Member { return Member{update: n.self} }

// Members returns the live members including the local one, in the order of
// their incarnations. Suspected members count as live.
func (n *Node) Members() []Member {
	members := make([]Member, 0, len(n.sortedRecords)+1)
	members = append(members, n.Self())
	for _, r := range n.sortedRecords {
		if r.live() {
			members = append(members, Member{update: r.update})
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return a.update.Incarnation.Compare(b.update.Incarnation)
	})
	return members
}

// Lookup returns the member with an incarnation, whatever its status.
func (n *Node) Lookup(incarnation Incarnation) (Member, bool) {
	if incarnation == n.self.Incarnation {
		return n.Self(), true
	}
	r, ok := n.records[incarnation]
	if !ok {
		return Member{}, false
	}
	return Member{update: r.update}, true
}

// Live returns the number of live members including the local one.
func (n *Node) Live() int {
	live := 1
	for _, r := range n.records {
		if r.live() {
			live++
		}
	}
	return live
}

// Joined reports whether the node has walked a whole member table since its start.
func (n *Node) Joined() bool { return n.joined }

// Changes returns the status changes since the last call.
func (n *Node) Changes() []Change {
	changes := n.changes
	n.changes = nil
	return changes
}

// SetConfigRevision sets the configuration revision that this proxy holds.
func (n *Node) SetConfigRevision(revision int64) {
	n.revision = max(n.revision, revision)
}

// NewestConfig returns the highest known configuration revision and a member that
// holds it. The member is the local one unless a message carried a higher revision.
func (n *Node) NewestConfig() (int64, Member) {
	if n.newestRevision > n.revision {
		return n.newestRevision, Member{update: n.newestHolder}
	}
	return n.revision, n.Self()
}

// SetConfirmed records that the platform confirmed the configuration in a
// response whose request was sent at sentAt.
func (n *Node) SetConfirmed(sentAt time.Time) {
	if sentAt.After(n.confirmedAt) {
		n.confirmedAt = sentAt
	}
}

// Confirmed returns the latest known time at which the platform confirmed the
// configuration, to this node or to another member, and false if there is none. A
// reported age is subtracted from the time at which the ping was sent, so the
// result is never later than the actual confirmation.
func (n *Node) Confirmed() (time.Time, bool) {
	return n.confirmedAt, !n.confirmedAt.IsZero()
}

// ReachesMajority reports whether the node reaches more than half of the known
// members. Two conditions must hold. More than half of the members that did not
// leave are neither suspected nor dead, which relies on the joint result of the
// reachable members. And at least a quarter of the node's own probes in the last
// 10 s were answered, which detects within seconds that almost no member is
// reachable; the limit is low because ten probes cannot distinguish 40% from 60%.
// A node that knows no other member reaches all.
func (n *Node) ReachesMajority(now time.Time) bool {
	known, reached := 1, 1
	for _, r := range n.records {
		switch r.update.Status {
		case StatusAlive:
			known, reached = known+1, reached+1
		case StatusSuspect, StatusDead:
			known++
		}
	}
	if known == 1 {
		return true
	}
	if 2*reached <= known {
		return false
	}
	answered, total := 0, 0
	for _, p := range n.results {
		if now.Sub(p.at) > reachWindow {
			continue
		}
		total++
		if p.answered {
			answered++
		}
	}
	if total < minReachSamples {
		return now.Sub(n.lastAck) <= isolatedAfter
	}
	return 4*answered >= total
}

// Paused reports whether the node was paused recently and therefore suspects no
// member.
func (n *Node) Paused(now time.Time) bool { return now.Before(n.graceUntil) }

// Leave announces a planned shutdown and returns the messages to send. Afterwards
// the node sends no pings.
func (n *Node) Leave(now time.Time) []Outgoing {
	n.lastCall = now
	n.leaving = true
	n.self.Counter++
	n.self.Status = StatusLeft
	out := make([]Outgoing, 0, leaveFanOut)
	for _, r := range n.pickLive(leaveFanOut, Incarnation{}) {
		m := n.message(now, KindLeave)
		out = append(out, Outgoing{address: r.update.Address, message: m})
	}
	return out
}

// Tick runs the periodic work and returns the messages to send. Call it every
// 100 ms.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.detectPause(now)
	if n.leaving {
		return nil
	}
	out := n.advanceProbes(now)
	n.advanceSuspicions(now)
	if !now.Before(n.nextPing) {
		n.nextPing = now.Add(pingPeriod)
		out = append(out, n.probeNext(now)...)
		out = append(out, n.probeFailing(now)...)
	}
	if !n.settled && !now.Before(n.nextJoin) {
		n.nextJoin = now.Add(joinPeriod)
		out = append(out, n.join(now)...)
	}
	if !now.Before(n.nextForget) {
		n.nextForget = now.Add(forgetPeriod)
		n.forget(now)
	}
	if !now.Before(n.nextRejoin) {
		n.nextRejoin = now.Add(rejoinPeriod)
		out = append(out, n.rejoin(now)...)
	}
	return out
}

// detectPause checks whether the process was paused since the last call. Probes and
// failures from before a pause are not evidence against other members.
func (n *Node) detectPause(now time.Time) {
	if now.Sub(n.lastCall) > pauseGap {
		n.graceUntil = now.Add(suspicionTime)
		clear(n.probes)
		clear(n.relays)
		for _, i := range n.failingMembers() {
			n.clearFailure(i)
		}
	}
	if now.After(n.lastCall) {
		n.lastCall = now
	}
}

// ForgetDead marks the dead members for which gone returns true as left, so that
// they no longer count for ReachesMajority. Call it with a VM list that no longer
// contains their VMs: otherwise members replaced at other addresses count as known
// for two hours.
func (n *Node) ForgetDead(now time.Time, gone func(Member) bool) {
	for _, r := range n.sortedRecords {
		if r.update.Status == StatusDead && gone(Member{update: r.update}) {
			n.markReplaced(now, r.update.Incarnation)
		}
	}
}

// forget removes the records whose retention has expired.
func (n *Node) forget(now time.Time) {
	n.sortedRecords = slices.DeleteFunc(n.sortedRecords, func(r *record) bool {
		expired := r.update.Status == StatusDead && now.Sub(r.changedAt) > deadRetention ||
			r.update.Status == StatusLeft && now.Sub(r.changedAt) > leftRetention
		if expired {
			delete(n.records, r.update.Incarnation)
		}
		return expired
	})
}

// pickLive returns up to count distinct random live members other than except. The
// number of draws is bounded, so that the cost does not depend on the number of
// members; fewer members may be returned.
func (n *Node) pickLive(count int, except Incarnation) []*record {
	picked := make([]*record, 0, count)
	for range 4*count + 16 {
		if len(n.sortedRecords) == 0 || len(picked) == count {
			break
		}
		r := n.sortedRecords[n.random.IntN(len(n.sortedRecords))]
		if r.live() && r.update.Incarnation != except && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}

// failingMembers returns the members whose last probes by this node failed, sorted
// by incarnation.
func (n *Node) failingMembers() []Incarnation {
	failing := make([]Incarnation, 0, len(n.failed))
	for i := range n.failed {
		failing = append(failing, i)
	}
	slices.SortFunc(failing, Incarnation.Compare)
	return failing
}

func (n *Node) clearFailure(i Incarnation) {
	if r, ok := n.records[i]; ok {
		r.failedAt = time.Time{}
		r.failures = 0
	}
	delete(n.failed, i)
}
