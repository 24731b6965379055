package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// spreadFactor times log2 of the fleet size is how often a node passes on
	// an update. Three reaches every member with high probability under 20% loss.
	spreadFactor = 3
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
		r.sort()
		r.entries = r.entries[:maxRumours-1]
	}
	r.entries = append(r.entries, fresh)
}

func (r *rumours) sort() {
	slices.SortFunc(r.entries, func(a, b rumour) int {
		if order := cmp.Compare(a.sent, b.sent); order != 0 {
			return order
		}
		return cmp.Compare(b.order, a.order)
	})
}

// take returns at most limit updates and counts them as sent once more.
func (r *rumours) take(limit, members int) []Update {
	if limit <= 0 || len(r.entries) == 0 {
		return nil
	}
	r.sort()
	count := min(limit, len(r.entries))
	taken := make([]Update, 0, MaxUpdates)
	for i := range count {
		taken = append(taken, r.entries[i].update)
		r.entries[i].sent++
	}
	most := spreadFactor * bits.Len(uint(members))
	r.entries = slices.DeleteFunc(r.entries, func(e rumour) bool { return e.sent >= most })
	return taken
}
