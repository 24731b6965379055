package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pingPeriod is the time between two probes of a node.
	pingPeriod = time.Second
	// indirectAfter is how long a probe waits for a direct ack before it asks
	// other members. Round trips inside a region take a few milliseconds.
	indirectAfter = 400 * time.Millisecond
	// indirectHelpers is the number of members asked to ping indirectly.
	indirectHelpers = 3
	// suspectAfter is the number of own probes in a row, with their indirect
	// pings, that must fail before a node tells others of a suspicion. With one,
	// 5% loss and one-way cuts among 500 members caused more suspicions and
	// refutations than bounded messages can carry.
	suspectAfter = 2
	// suspicionTime is how long a member is suspected before it is declared dead.
	suspicionTime = 5 * time.Second
	// isolatedSuspicionTime replaces suspicionTime for a node that receives no
	// acks at all: it is more likely to be cut off itself.
	isolatedSuspicionTime = 30 * time.Second
	// isolatedAfter is the time without any ack after which a node regards
	// itself as cut off.
	isolatedAfter = 3 * time.Second
	// pauseGap is the time between two calls from which a node concludes that
	// it was paused itself: two missed periods.
	pauseGap = 2 * pingPeriod
	// joinPeriod is the time between the pings that fetch the member table
	// after a start.
	joinPeriod = 100 * time.Millisecond
	// settleTime is the time without any new member after which a starting node
	// has a complete table, also when the whole fleet starts at once.
	settleTime = 5 * time.Second
	// maxJoinTime bounds the time of the fast table walk.
	maxJoinTime = time.Minute
	// forgetPeriod is the time between two searches for expired records.
	forgetPeriod = 10 * time.Second
	// rejoinPeriod is the time between pings to seeds that are not members and
	// to members declared dead, which heals a fleet after a partition.
	rejoinPeriod = 5 * time.Second
	// reachWindow is the time over which ReachesMajority judges probes.
	reachWindow = 10 * time.Second
	// reachSamples is the number of probes from which their share counts.
	reachSamples = 5
	// deadRetention is how long a dead member counts as known. Partitions of an
	// hour occur, and the smaller side must not forget the larger one.
	deadRetention = 2 * time.Hour
	// leftRetention is how long a left member is remembered, so that late
	// updates do not bring it back.
	leftRetention = 10 * time.Minute
	// leaveFanOut is the number of members told directly of a planned stop.
	leaveFanOut = 8
	// maxRelays bounds the indirect pings that a node runs for others.
	maxRelays = 256
)

// Node is the membership state of one proxy. It is not safe for concurrent use.
type Node struct {
	self      Update
	placement uint64
	random    *rand.Rand

	records map[Incarnation]*record
	order   []*record // sorted by incarnation
	// failed holds the members whose failedAt is set.
	failed map[Incarnation]struct{}
	// byAddress holds the newest live member at each address.
	byAddress map[string]Incarnation
	seeds     []string
	rumours   rumours
	changes   []Change

	sequence uint64
	probes   map[uint64]*probe
	relays   map[uint64]relay
	rotation []*record // members still to be probed in this round
	cursor   Incarnation
	joined   bool
	// settled ends the fast table walk after a start.
	settled    bool
	startedAt  time.Time
	learnedAt  time.Time // when a member was last heard of for the first time
	leaving    bool
	nextPing   time.Time
	nextJoin   time.Time
	nextRejoin time.Time
	nextForget time.Time
	lastCall   time.Time
	lastAck    time.Time
	// calmUntil is the end of the time in which the node suspects nobody
	// because it was paused.
	calmUntil time.Time
	results   []probeResult

	revision       int64
	newestRevision int64
	newestHolder   Update
	confirmedAt    time.Time
}

// NewNode returns the state of the process described by self. The random source
// is used only by this node.
func NewNode(self Member, now time.Time, random *rand.Rand) *Node {
	return &Node{
		self:       self.update,
		placement:  hashString(self.Address()),
		random:     random,
		records:    map[Incarnation]*record{},
		failed:     map[Incarnation]struct{}{},
		byAddress:  map[string]Incarnation{},
		probes:     map[uint64]*probe{},
		relays:     map[uint64]relay{},
		nextPing:   now,
		nextJoin:   now,
		nextRejoin: now.Add(rejoinPeriod),
		nextForget: now.Add(forgetPeriod),
		lastCall:   now,
		lastAck:    now,
		startedAt:  now,
		learnedAt:  now,
	}
}

// SetSeeds replaces the addresses that may belong to members, from the settings
// and the VM list. They are hints: a stale address costs one ping now and then.
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
	members := make([]Member, 0, len(n.order)+1)
	members = append(members, n.Self())
	for _, r := range n.order {
		if r.live() {
			members = append(members, Member{update: r.update})
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return a.update.Incarnation.Compare(b.update.Incarnation)
	})
	return members
}

// Lookup returns what is known about an incarnation, live or not.
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

// NewestConfig returns the highest configuration revision that any message
// carried and a member that holds it. The member is the local one if no higher
// revision was heard of.
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

// Confirmed returns the time of the platform's last confirmation that this node
// knows of, its own or one reported by a member, and false if there is none. A
// reported age counts from the moment the ping was sent, so the result is never
// later than the confirmation.
func (n *Node) Confirmed() (time.Time, bool) {
	return n.confirmedAt, !n.confirmedAt.IsZero()
}

// ReachesMajority reports whether the node reaches more than half of the members
// it knows: more than half of those that did not leave are neither suspected nor
// dead, and not more than three quarters of its probes of the last 10 s failed.
// The first part relies on what the reachable members found together; the second
// detects within seconds that nearly nobody is reachable. A sample of ten is too
// small to tell 40% from 60%. A node that knows no other member reaches all.
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
	if total < reachSamples {
		return now.Sub(n.lastAck) <= isolatedAfter
	}
	return 4*answered >= total
}

// Paused reports whether the node was paused recently and suspects nobody.
func (n *Node) Paused(now time.Time) bool { return now.Before(n.calmUntil) }

// Leave announces a planned stop. The node sends no pings afterwards.
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

// Tick advances the node. Call it every 100 ms.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.observe(now)
	if n.leaving {
		return nil
	}
	out := n.advanceProbes(now)
	n.advanceSuspicions(now)
	if !now.Before(n.nextPing) {
		n.nextPing = now.Add(pingPeriod)
		out = append(out, n.ping(now)...)
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

// observe detects that the process was paused between two calls. Probes and
// failures from before the pause prove nothing about the other members.
func (n *Node) observe(now time.Time) {
	if now.Sub(n.lastCall) > pauseGap {
		n.calmUntil = now.Add(suspicionTime)
		clear(n.probes)
		clear(n.relays)
		for _, i := range n.failing() {
			n.clearFailure(i)
		}
	}
	if now.After(n.lastCall) {
		n.lastCall = now
	}
}

// ForgetDead turns dead members for which gone returns true into left ones, which
// no longer count for ReachesMajority. Call it with a VM list that no longer
// names their VMs: otherwise members that were replaced at other addresses count
// as known for two hours.
func (n *Node) ForgetDead(now time.Time, gone func(Member) bool) {
	for _, r := range n.order {
		if r.update.Status == StatusDead && gone(Member{update: r.update}) {
			n.replace(now, r.update.Incarnation)
		}
	}
}

// forget drops records whose retention has passed.
func (n *Node) forget(now time.Time) {
	n.order = slices.DeleteFunc(n.order, func(r *record) bool {
		expired := r.update.Status == StatusDead && now.Sub(r.changedAt) > deadRetention ||
			r.update.Status == StatusLeft && now.Sub(r.changedAt) > leftRetention
		if expired {
			delete(n.records, r.update.Incarnation)
		}
		return expired
	})
}

// pickLive returns up to count different random live members other than except.
// It draws at random and gives up after a bounded number of draws, so that its
// cost does not depend on the number of members.
func (n *Node) pickLive(count int, except Incarnation) []*record {
	picked := make([]*record, 0, count)
	for range 4*count + 16 {
		if len(n.order) == 0 || len(picked) == count {
			break
		}
		r := n.order[n.random.IntN(len(n.order))]
		if r.live() && r.update.Incarnation != except && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}

// failing returns the members whose last own probes failed, in a fixed order.
func (n *Node) failing() []Incarnation {
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
