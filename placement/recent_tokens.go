package placement

import "time"

// endedRetention is the minimum time for which an ended attempt is remembered; the
// maximum is twice as long. Messages about one attempt overtake each other by less than
// 3 s, the time of silence after which proxies close their connections.
const endedRetention = 3 * time.Second

// recentTokens remembers the tokens of attempts for some time. The zero value is empty.
type recentTokens struct {
	current, previous map[uint64]struct{}
	rotateAt          time.Time // when current becomes previous
}

func (t *recentTokens) add(now time.Time, token uint64) {
	if !now.Before(t.rotateAt) {
		t.rotate(now)
	}
	t.current[token] = struct{}{}
}

func (t *recentTokens) rotate(now time.Time) {
	if t.current == nil {
		t.current, t.previous = map[uint64]struct{}{}, map[uint64]struct{}{}
	}
	t.current, t.previous = t.previous, t.current
	clear(t.current)
	if !now.Before(t.rotateAt.Add(endedRetention)) {
		clear(t.previous)
	}
	t.rotateAt = now.Add(endedRetention)
}

func (t *recentTokens) has(token uint64) bool {
	_, inCurrent := t.current[token]
	_, inPrevious := t.previous[token]
	return inCurrent || inPrevious
}
