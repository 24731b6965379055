package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// minBroadcastInterval is the minimum time between two broadcasts of changes. It is far
	// below the time after which a draining endpoint must get no new requests.
	minBroadcastInterval = 50 * time.Millisecond
	// broadcastIntervalPerMember times the number of members is the interval in large
	// fleets. It bounds the share of processor time that a hub spends on broadcasts.
	broadcastIntervalPerMember = time.Millisecond
)

// pendingChanges collects the changes that a hub has not broadcast yet. Batching them limits
// the number of messages when releases or partitions change many endpoints per second. It
// is safe for concurrent use.
type pendingChanges struct {
	signal chan struct{}

	mu      sync.Mutex
	changes map[string]Endpoint
	joined  []Member
}

func newPendingChanges() *pendingChanges {
	return &pendingChanges{signal: make(chan struct{}, 1), changes: map[string]Endpoint{}}
}

// add adds changed endpoints.
func (n *pendingChanges) add(changed []Endpoint) {
	n.mu.Lock()
	for _, e := range changed {
		n.changes[e.ID] = e
	}
	n.mu.Unlock()
	n.notify()
}

// join adds a new member.
func (n *pendingChanges) join(m Member) {
	n.mu.Lock()
	n.joined = append(n.joined, m)
	n.mu.Unlock()
	n.notify()
}

// notify triggers a broadcast, also without changes.
func (n *pendingChanges) notify() {
	select {
	case n.signal <- struct{}{}:
	default:
	}
}

func (n *pendingChanges) collect() ([]Endpoint, []Member) {
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

// endpointLines logs endpoints as an array.
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
