package membership

import (
	"math/bits"
	"slices"
)

const (
	// spreadFactor times log2 of the fleet size is how often a node passes on
	// an update. Pings and acks together then reach nearly all members; the table
	// walk reaches the rest.
	spreadFactor = 2
	// maxRumours bounds the updates waiting to be passed on. The periodic table
	// walk repairs what is dropped.
	maxRumours = 1024
)

type rumour struct {
	update Update
	sent   int
	order  uint64 // insertion order, so that selection is deterministic
}

// rumours holds the updates that are still being passed on, least sent first.
type rumours struct {
	entries []rumour
	next    uint64
}

func (r *rumours) add(u Update) {
	r.next++
	fresh := rumour{update: u, order: r.next}
	for i := range r.entries {
		if r.entries[i].update.Incarnation == u.Incarnation {
			r.entries[i] = fresh
			return
		}
	}
	if len(r.entries) >= maxRumours {
		r.dropMostSent()
	}
	r.entries = append(r.entries, fresh)
}

func (r *rumours) dropMostSent() {
	worst := 0
	for at := range r.entries {
		if r.before(worst, at) {
			worst = at
		}
	}
	r.entries = slices.Delete(r.entries, worst, worst+1)
}

// take returns at most limit updates, the least sent first and the newest among
// equals, and counts them as sent once more.
func (r *rumours) take(limit, members int) []Update {
	if limit <= 0 || len(r.entries) == 0 {
		return nil
	}
	most := spreadFactor * bits.Len(uint(members))
	chosen := make([]int, 0, MaxUpdates)
	for at := range r.entries {
		chosen = r.insert(chosen, at, limit)
	}
	taken := make([]Update, 0, MaxUpdates)
	spent := false
	for _, at := range chosen {
		taken = append(taken, r.entries[at].update)
		r.entries[at].sent++
		spent = spent || r.entries[at].sent >= most
	}
	if spent {
		r.entries = slices.DeleteFunc(r.entries, func(e rumour) bool { return e.sent >= most })
	}
	return taken
}

// insert adds the entry at to the sorted choice if it is among the best limit.
func (r *rumours) insert(chosen []int, at, limit int) []int {
	place := len(chosen)
	for place > 0 && r.before(at, chosen[place-1]) {
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

func (r *rumours) before(a, b int) bool {
	if r.entries[a].sent != r.entries[b].sent {
		return r.entries[a].sent < r.entries[b].sent
	}
	return r.entries[a].order > r.entries[b].order
}
