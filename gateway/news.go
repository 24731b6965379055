package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// newsPause is the least time between two messages of changes to all members. It
	// is far below the time in which a leaving endpoint must get no more work.
	newsPause = 50 * time.Millisecond
	// newsPauseMember for each member bounds the part of a hub's processor time that
	// messages take.
	newsPauseMember = time.Millisecond
)

// news collects the changes that a hub has not told yet. It answers releases and
// partitions that change many endpoints a second. It is safe for concurrent use.
type news struct {
	waiting chan struct{}

	mu      sync.Mutex
	changes map[string]Endpoint
	joined  []Member
}

func newNews() *news {
	return &news{waiting: make(chan struct{}, 1), changes: map[string]Endpoint{}}
}

// add takes changes.
func (n *news) add(changed []Endpoint) {
	n.mu.Lock()
	for _, e := range changed {
		n.changes[e.ID] = e
	}
	n.mu.Unlock()
	n.wake()
}

// join takes a new member.
func (n *news) join(m Member) {
	n.mu.Lock()
	n.joined = append(n.joined, m)
	n.mu.Unlock()
	n.wake()
}

// wake has the hub's state told soon.
func (n *news) wake() {
	select {
	case n.waiting <- struct{}{}:
	default:
	}
}

func (n *news) take() ([]Endpoint, []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]Endpoint, 0, len(n.changes))
	for id, e := range n.changes {
		list = append(list, e)
		delete(n.changes, id)
	}
	joined := n.joined
	n.joined = nil
	return list, joined
}

// endpointLines writes endpoints into a log line.
type endpointLines []Endpoint

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l endpointLines) MarshalLogArray(a zapcore.ArrayEncoder) error {
	for _, e := range l {
		if err := a.AppendObject(endpointLine(e)); err != nil {
			return err
		}
	}
	return nil
}

type endpointLine Endpoint

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e endpointLine) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("id", e.ID)
	o.AddString("service", e.Service)
	o.AddString("address", e.Address)
	o.AddUint64("revision", e.Revision)
	switch {
	case e.Deregistered:
		o.AddString("state", "gone")
	case e.Draining:
		o.AddString("state", "leaving")
	default:
		o.AddString("state", "ready")
	}
	return nil
}
