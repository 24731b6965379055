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
func (p *pendingChanges) add(changed []Endpoint) {
	p.mu.Lock()
	for _, e := range changed {
		p.changes[e.ID] = e
	}
	p.mu.Unlock()
	p.notify()
}

// join adds a new member.
func (p *pendingChanges) join(m Member) {
	p.mu.Lock()
	p.joined = append(p.joined, m)
	p.mu.Unlock()
	p.notify()
}

// notify triggers a broadcast, also without changes.
func (p *pendingChanges) notify() {
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

// collect removes and returns the changes of one broadcast. What does not fit into a message
// triggers the next one.
func (p *pendingChanges) collect() ([]Endpoint, []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Endpoint, 0, len(p.changes))
	left := maxSyncBytes
	for id, e := range p.changes {
		if left -= e.encodedBytes(); left < 0 && len(list) > 0 {
			p.notify()
			break
		}
		list = append(list, e)
		delete(p.changes, id)
	}
	joined := p.joined
	p.joined = nil
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
	o.AddUint64("era", e.Revision.Era())
	o.AddUint64("revision", e.Revision.Number())
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
