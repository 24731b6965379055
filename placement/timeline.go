package placement

import "time"

// timeline orders attempts by a time. Those that have ended stay in it until then.
type timeline struct {
	entries []moment
}

type moment struct {
	at    time.Time
	token uint64
}

// add inserts an attempt.
func (l *timeline) add(at time.Time, token uint64) {
	l.entries = append(l.entries, moment{at: at, token: token})
	for i := len(l.entries) - 1; i > 0; {
		parent := (i - 1) / 2
		if !l.entries[i].at.Before(l.entries[parent].at) {
			return
		}
		l.entries[i], l.entries[parent] = l.entries[parent], l.entries[i]
		i = parent
	}
}

// take removes the earliest attempt if its time is before now.
func (l *timeline) take(now time.Time) (uint64, bool) {
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
