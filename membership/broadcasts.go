package membership

import (
	"math/bits"
	"slices"
)

const (
	// retransmitFactor times log2 of the fleet size is how often a node sends an
	// update. Pings and acks then reach nearly all members; the periodic walk over
	// the member table reaches the rest.
	retransmitFactor = 2
	// maxBroadcasts bounds the queued updates. The periodic walk over the member
	// table delivers those that are dropped.
	maxBroadcasts = 1024
)

type broadcast struct {
	update Update
	sent   int
	added  uint64 // insertion order, so that selection is deterministic
}

// broadcastQueue holds the updates that are still to be sent to other members.
type broadcastQueue struct {
	entries []broadcast
	next    uint64
}

func (q *broadcastQueue) add(u Update) {
	q.next++
	fresh := broadcast{update: u, added: q.next}
	for i := range q.entries {
		if q.entries[i].update.Incarnation == u.Incarnation {
			q.entries[i] = fresh
			return
		}
	}
	if len(q.entries) >= maxBroadcasts {
		q.dropMostSent()
	}
	q.entries = append(q.entries, fresh)
}

func (q *broadcastQueue) dropMostSent() {
	worst := 0
	for at := range q.entries {
		if q.before(worst, at) {
			worst = at
		}
	}
	q.entries = slices.Delete(q.entries, worst, worst+1)
}

// take returns at most limit updates, the least sent first and the newest among
// equals, and increments their send counts.
func (q *broadcastQueue) take(limit, members int) []Update {
	if limit <= 0 || len(q.entries) == 0 {
		return nil
	}
	maxSends := retransmitFactor * bits.Len(uint(members))
	chosen := make([]int, 0, MaxUpdates)
	for at := range q.entries {
		chosen = q.insert(chosen, at, limit)
	}
	taken := make([]Update, 0, MaxUpdates)
	exhausted := false
	for _, at := range chosen {
		taken = append(taken, q.entries[at].update)
		q.entries[at].sent++
		exhausted = exhausted || q.entries[at].sent >= maxSends
	}
	if exhausted {
		q.entries = slices.DeleteFunc(q.entries, func(e broadcast) bool { return e.sent >= maxSends })
	}
	return taken
}

// insert adds the index at to the sorted indices in chosen if its entry is among
// the first limit.
func (q *broadcastQueue) insert(chosen []int, at, limit int) []int {
	place := len(chosen)
	for place > 0 && q.before(at, chosen[place-1]) {
		place--
	}
	if place == limit {
		return chosen
	}
	if len(chosen) == limit {
		chosen = chosen[:limit-1]
	}
	return slices.Insert(chosen, place, at)
}

func (q *broadcastQueue) before(a, b int) bool {
	if q.entries[a].sent != q.entries[b].sent {
		return q.entries[a].sent < q.entries[b].sent
	}
	return q.entries[a].added > q.entries[b].added
}
