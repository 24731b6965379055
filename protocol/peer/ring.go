package peer

import (
	"slices"
	"sync"
)

// item is one frame in a ring.
type item struct {
	frame     []byte
	droppable bool
	id        uint64 // of the request, or zero
}

// ring is a bounded queue of frames with one reader.
type ring struct {
	mutex    sync.Mutex
	items    []item
	capacity int
	filled   chan struct{} // holds a token while items may be present
	dropped  func()
}

func newRing(capacity int, dropped func()) *ring {
	return &ring{capacity: capacity, filled: make(chan struct{}, 1), dropped: dropped}
}

// push appends an item. If the ring is full, the oldest droppable item makes
// room; without one the result is false.
func (r *ring) push(i item) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.items) >= r.capacity && !r.dropOldest() {
		return false
	}
	r.items = append(r.items, i)
	r.signal()
	return true
}

func (r *ring) dropOldest() bool {
	for at := range r.items {
		if r.items[at].droppable {
			r.items = append(r.items[:at], r.items[at+1:]...)
			r.dropped()
			return true
		}
	}
	return false
}

// pop removes the oldest item.
func (r *ring) pop() (item, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.items) == 0 {
		return item{}, false
	}
	first := r.items[0]
	r.items[0] = item{}
	r.items = r.items[1:]
	if len(r.items) > 0 {
		r.signal()
	}
	return first, true
}

// remove takes a request out that nobody waits for any more, and reports whether
// it was still queued.
func (r *ring) remove(id uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for at := range r.items {
		if r.items[at].id == id {
			r.items = append(r.items[:at], r.items[at+1:]...)
			return true
		}
	}
	return false
}

// empty reports whether no item is queued.
func (r *ring) empty() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.items) == 0
}

// contains reports whether a request is still queued.
func (r *ring) contains(id uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.ContainsFunc(r.items, func(i item) bool { return i.id == id })
}

// drain removes all items.
func (r *ring) drain() []item {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	items := r.items
	r.items = nil
	return items
}

func (r *ring) signal() {
	select {
	case r.filled <- struct{}{}:
	default:
	}
}
