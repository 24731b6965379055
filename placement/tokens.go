package placement

import "time"

// endedMemory is how long an ended attempt is remembered, and at most twice as long: the
// messages about one attempt overtake each other by less than the silence, 3 s, after which
// proxies close their connections.
const endedMemory = 3 * time.Second

// tokens remembers attempts for some time. The zero value remembers none.
type tokens struct {
	young, old map[uint64]struct{}
	turnsAt    time.Time // when young becomes old
}

func (t *tokens) add(now time.Time, token uint64) {
	if !now.Before(t.turnsAt) {
		t.turn(now)
	}
	t.young[token] = struct{}{}
}

func (t *tokens) turn(now time.Time) {
	if t.young == nil {
		t.young, t.old = map[uint64]struct{}{}, map[uint64]struct{}{}
	}
	t.young, t.old = t.old, t.young
	clear(t.young)
	if !now.Before(t.turnsAt.Add(endedMemory)) {
		clear(t.old)
	}
	t.turnsAt = now.Add(endedMemory)
}

func (t *tokens) has(token uint64) bool {
	_, young := t.young[token]
	_, old := t.old[token]
	return young || old
}
