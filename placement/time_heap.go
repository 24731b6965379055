package placement

import "time"

// timeHeap is a min-heap of attempts by time. Attempts that end before their time are not
// removed until then.
type timeHeap struct {
	entries []timeHeapEntry
}

type timeHeapEntry struct {
	at    time.Time
	token uint64
}

func (h *timeHeap) add(at time.Time, token uint64) {
	h.entries = append(h.entries, timeHeapEntry{at: at, token: token})
	for i := len(h.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.entries[i].at.Before(h.entries[parent].at) {
			return
		}
		h.entries[i], h.entries[parent] = h.entries[parent], h.entries[i]
		i = parent
	}
}

// popBefore removes and returns the earliest attempt if its time is before now.
func (h *timeHeap) popBefore(now time.Time) (uint64, bool) {
	if len(h.entries) == 0 || !h.entries[0].at.Before(now) {
		return 0, false
	}
	token := h.entries[0].token
	last := len(h.entries) - 1
	h.entries[0] = h.entries[last]
	h.entries = h.entries[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h.entries[child].at.Before(h.entries[least].at) {
				least = child
			}
		}
		if least == i {
			return token, true
		}
		h.entries[i], h.entries[least] = h.entries[least], h.entries[i]
		i = least
	}
}
