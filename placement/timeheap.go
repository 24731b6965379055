package placement

import "time"

// timeHeap is a min-heap of attempts by time. Attempts that end early stay in it until
// then.
type timeHeap struct {
	entries []timeHeapEntry
}

type timeHeapEntry struct {
	at    time.Time
	token uint64
}

func (l *timeHeap) add(at time.Time, token uint64) {
	l.entries = append(l.entries, timeHeapEntry{at: at, token: token})
	for i := len(l.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !l.entries[i].at.Before(l.entries[parent].at) {
			return
		}
		l.entries[i], l.entries[parent] = l.entries[parent], l.entries[i]
		i = parent
	}
}

// popBefore removes and returns the earliest attempt if its time is before now.
func (l *timeHeap) popBefore(now time.Time) (uint64, bool) {
	if len(l.entries) == 0 || !l.entries[0].at.Before(now) {
		return 0, false
	}
	token := l.entries[0].token
	last := len(l.entries) - 1
	l.entries[0] = l.entries[last]
	l.entries = l.entries[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if l.entries[child].at.Before(l.entries[least].at) {
				least = child
			}
		}
		if least == i {
			return token, true
		}
		l.entries[i], l.entries[least] = l.entries[least], l.entries[i]
		i = least
	}
}
