package membership

import (
	"slices"
	"sort"
	"time"
)

// minPageEntries is the number of table entries reserved in an ack. Without it,
// a burst of changes would stop the table walk, which delivers the updates that
// broadcasts missed.
const minPageEntries = 2

// Handle processes a received message and returns the messages to send. It ignores
// messages without a valid sender, from the node itself, or with more than
// MaxUpdates updates.
func (n *Node) Handle(now time.Time, m Message) []Outgoing {
	n.detectPause(now)
	if !m.Sender.valid() || m.Sender.Incarnation == n.self.Incarnation || len(m.Updates)+len(m.Page) > MaxUpdates {
		return nil
	}
	n.merge(now, m.Sender, true)
	for _, u := range m.Updates {
		n.merge(now, u, n.joined)
	}
	for _, u := range m.Page {
		n.merge(now, u, false)
	}
	if m.ConfigRevision > n.newestRevision {
		n.newestRevision = m.ConfigRevision
		n.newestHolder = m.Sender
	}
	switch m.Kind {
	case KindPing:
		return n.handlePing(now, m)
	case KindAck:
		return n.handleAck(now, m)
	case KindPingRequest:
		return n.handlePingRequest(now, m)
	default:
		return nil
	}
}

// handlePing also acks a ping meant for another incarnation: the ack names this
// one, so the sender learns that the other is gone.
func (n *Node) handlePing(now time.Time, m Message) []Outgoing {
	ack := n.message(now, KindAck)
	ack.Sequence = m.Sequence
	ack.Target = n.self.Incarnation
	if !m.Joining {
		ack.Updates = n.updatesFor(m.Sender.Incarnation, MaxUpdates-minPageEntries)
	}
	ack.Page, ack.Cursor = n.page(m.Cursor, MaxUpdates-len(ack.Updates))
	return []Outgoing{{address: m.Sender.Address, message: ack}}
}

func (n *Node) handleAck(now time.Time, m Message) []Outgoing {
	if r, ok := n.relays[m.Sequence]; ok && !m.Relayed {
		delete(n.relays, m.Sequence)
		return n.relayAck(now, r, m)
	}
	p, ok := n.probes[m.Sequence]
	if !ok {
		return nil
	}
	if m.Relayed && m.Target != p.target {
		return nil
	}
	delete(n.probes, m.Sequence)
	n.lastAck = now
	if m.ConfirmedAgeMillis >= 0 {
		n.SetConfirmed(p.sentAt.Add(-time.Duration(m.ConfirmedAgeMillis) * time.Millisecond))
	}
	targetAnswered := m.Target == p.target
	if p.sampled {
		n.recordResult(now, true)
	}
	n.clearFailure(m.Target)
	if !m.Relayed {
		n.advanceCursor(m)
		if !targetAnswered && !p.target.IsZero() {
			n.markReplaced(now, p.target)
		}
	}
	return nil
}

func (n *Node) handlePingRequest(now time.Time, m Message) []Outgoing {
	if m.TargetAddress == "" || len(n.relays) >= maxRelays {
		return nil
	}
	n.sequence++
	n.relays[n.sequence] = relay{
		address: m.Sender.Address, sequence: m.Sequence, target: m.Target, deadline: now.Add(pingPeriod),
	}
	ping := n.message(now, KindPing)
	ping.Sequence = n.sequence
	ping.Target = m.Target
	ping.Cursor = n.cursor
	ping.Updates = n.updatesFor(m.Target, MaxUpdates)
	return []Outgoing{{address: m.TargetAddress, message: ping}}
}

func (n *Node) relayAck(now time.Time, r relay, m Message) []Outgoing {
	if m.Target != r.target {
		return nil
	}
	n.lastAck = now
	ack := n.message(now, KindAck)
	ack.Sequence = r.sequence
	ack.Target = r.target
	ack.Relayed = true
	ack.Updates = []Update{m.Sender}
	return []Outgoing{{address: r.address, message: ack}}
}

// message returns a message of the given kind without updates.
func (n *Node) message(now time.Time, kind Kind) Message {
	m := Message{Kind: kind, Sender: n.self, ConfigRevision: n.revision, ConfirmedAgeMillis: -1}
	if !n.confirmedAt.IsZero() {
		// Rounded up, so that the age never shrinks as nodes forward it.
		m.ConfirmedAgeMillis = int64((now.Sub(n.confirmedAt) + time.Millisecond - 1) / time.Millisecond)
	}
	return m
}

// updatesFor returns up to limit updates to send along with a message to receiver.
// An update that the receiver has to refute comes first.
func (n *Node) updatesFor(receiver Incarnation, limit int) []Update {
	var first []Update
	if r, ok := n.records[receiver]; ok && r.update.Status != StatusAlive {
		first = append(first, r.update)
	}
	rest := n.broadcasts.take(limit-len(first), len(n.sortedRecords)+1)
	for _, u := range rest {
		if u.Incarnation != receiver || len(first) == 0 {
			first = append(first, u)
		}
	}
	return first
}

// page returns up to limit members after cursor and the new cursor, which is
// zero at the end of the table.
func (n *Node) page(cursor Incarnation, limit int) ([]Update, Incarnation) {
	if limit <= 0 {
		return nil, cursor
	}
	start := sort.Search(len(n.sortedRecords), func(i int) bool {
		return n.sortedRecords[i].update.Incarnation.Compare(cursor) > 0
	})
	updates := make([]Update, 0, limit)
	for _, r := range n.sortedRecords[start:] {
		if r.update.Status == StatusLeft {
			continue
		}
		if len(updates) == limit {
			return updates, updates[limit-1].Incarnation
		}
		updates = append(updates, r.update)
	}
	return updates, Incarnation{}
}

// advanceCursor moves the cursor of the table walk. The first complete walk sets
// joined.
func (n *Node) advanceCursor(m Message) {
	if m.Cursor.IsZero() {
		n.joined = true
	}
	n.cursor = m.Cursor
}

// merge applies an update that overrides the known state, and queues it for
// broadcast. An update about an unknown member is queued only if announce is set;
// it is unset for pages, whose members are already known elsewhere.
func (n *Node) merge(now time.Time, u Update, announce bool) {
	if !u.valid() {
		return
	}
	if u.Incarnation == n.self.Incarnation {
		n.refute(u)
		return
	}
	if u.Address == n.self.Address {
		n.mergeOwnAddress(now, u)
		return
	}
	known, ok := n.records[u.Incarnation]
	if ok && !u.overrides(known.update) {
		return
	}
	n.apply(now, u)
	if ok || announce {
		n.broadcasts.add(u)
	}
	if n.records[u.Incarnation].live() {
		n.replaceOlder(now, u)
	}
}

// refute raises the counter of the local node to override an update that reports it
// as suspect, dead or left.
func (n *Node) refute(u Update) {
	if n.leaving || u.Status == StatusAlive || u.Counter < n.self.Counter {
		return
	}
	n.self.Counter = u.Counter + 1
	n.broadcasts.add(n.self)
}

// mergeOwnAddress handles an update about another incarnation at the local address.
// If this node receives acks, the other incarnation is gone and is marked as left.
func (n *Node) mergeOwnAddress(now time.Time, u Update) {
	if u.Status == StatusLeft || now.Sub(n.lastAck) > isolatedAfter {
		return
	}
	u.Status = StatusLeft
	n.broadcasts.add(u)
}

// replaceOlder marks an older incarnation at the address of u as left. If u has
// the older start time, both stay: the clock of a replaced VM may be behind, and
// the next ping to the address shows which of them answers.
func (n *Node) replaceOlder(now time.Time, u Update) {
	other, ok := n.byAddress[u.Address]
	if ok && other.Compare(u.Incarnation) > 0 {
		return
	}
	if ok && other != u.Incarnation {
		n.markReplaced(now, other)
	}
	n.byAddress[u.Address] = u.Incarnation
}

// markReplaced marks a member as left because another incarnation is at its address
// or its VM no longer exists.
func (n *Node) markReplaced(now time.Time, i Incarnation) {
	r, ok := n.records[i]
	if !ok || r.update.Status == StatusLeft {
		return
	}
	left := r.update
	left.Status = StatusLeft
	n.applyAndBroadcast(now, left)
}

// applyAndBroadcast applies an update that this node has inferred and queues it for broadcast.
func (n *Node) applyAndBroadcast(now time.Time, u Update) {
	n.apply(now, u)
	n.broadcasts.add(u)
}

// apply stores an update that overrides the known state.
func (n *Node) apply(now time.Time, u Update) {
	r, ok := n.records[u.Incarnation]
	if !ok {
		r = &record{addressHash: hashString(u.Address)}
		n.records[u.Incarnation] = r
		at, _ := slices.BinarySearchFunc(n.sortedRecords, u.Incarnation, func(r *record, i Incarnation) int {
			return r.update.Incarnation.Compare(i)
		})
		n.sortedRecords = slices.Insert(n.sortedRecords, at, r)
		n.lastNewMemberAt = now
	}
	before := r.update.Status
	if before != u.Status {
		r.changedAt = now
		n.changes = append(n.changes, Change{member: Member{update: u}, previousStatus: before})
	}
	r.update = u
	n.clearFailure(u.Incarnation)
	if !r.live() && n.byAddress[u.Address] == u.Incarnation {
		delete(n.byAddress, u.Address)
	}
}
