package peer

import (
	"slices"
	"sync"
)

// queuedFrame is one frame in a sendQueue.
type queuedFrame struct {
	frame     []byte
	droppable bool
	id        uint64 // request identifier, or zero for a message without reply
}

// sendQueue is a bounded queue of frames with one reader.
type sendQueue struct {
	mutex    sync.Mutex
	frames   []queuedFrame
	capacity int
	ready    chan struct{} // holds a token while frames may be queued
	dropped  func()
}

func newSendQueue(capacity int, dropped func()) *sendQueue {
	return &sendQueue{capacity: capacity, ready: make(chan struct{}, 1), dropped: dropped}
}

// push appends a frame. If the queue is full, it drops the oldest droppable frame, or
// returns false if there is none.
func (q *sendQueue) push(f queuedFrame) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.frames) >= q.capacity && !q.dropOldest() {
		return false
	}
	q.frames = append(q.frames, f)
	q.signal()
	return true
}

func (q *sendQueue) dropOldest() bool {
	for i := range q.frames {
		if q.frames[i].droppable {
			q.frames = append(q.frames[:i], q.frames[i+1:]...)
			q.dropped()
			return true
		}
	}
	return false
}

// pop removes and returns the oldest frame.
func (q *sendQueue) pop() (queuedFrame, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.frames) == 0 {
		return queuedFrame{}, false
	}
	first := q.frames[0]
	q.frames[0] = queuedFrame{}
	q.frames = q.frames[1:]
	if len(q.frames) > 0 {
		q.signal()
	}
	return first, true
}

// remove removes a request that was cancelled and reports whether it was still queued.
func (q *sendQueue) remove(id uint64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for i := range q.frames {
		if q.frames[i].id == id {
			q.frames = append(q.frames[:i], q.frames[i+1:]...)
			return true
		}
	}
	return false
}

func (q *sendQueue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.frames) == 0
}

// contains reports whether a request is still queued.
func (q *sendQueue) contains(id uint64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return slices.ContainsFunc(q.frames, func(f queuedFrame) bool { return f.id == id })
}

// drain removes and returns all frames.
func (q *sendQueue) drain() []queuedFrame {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

func (q *sendQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
