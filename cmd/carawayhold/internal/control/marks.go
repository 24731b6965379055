package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

// marks holds which endpoint processes are leaving. The VM list and the
// endpoints' own responses use the same generations. Either source sets a mark;
// only a greater generation clears it, so that an old list cannot bring an
// endpoint back.
type marks struct {
	mu      sync.Mutex
	newest  map[string]int64 // greatest generation seen, by address
	leaving map[string]int64 // generation that leaves, by address
	changes int64
}

func newMarks() *marks {
	return &marks{newest: map[string]int64{}, leaving: map[string]int64{}}
}

// endpointAnswered takes what a response said and reports whether it set a new
// mark. A response without a generation speaks for the greatest one seen.
func (m *marks) endpointAnswered(address string, generation int64, draining bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.observe(address, generation, draining)
}

func (m *marks) observe(address string, generation int64, leaving bool) bool {
	if generation == 0 {
		generation = m.newest[address]
	}
	if generation < m.newest[address] {
		return false
	}
	marked, isMarked := m.leaving[address]
	if generation > m.newest[address] {
		m.newest[address] = generation
		if isMarked && generation > marked {
			delete(m.leaving, address)
			m.changes++
			isMarked = false
		}
	}
	if !leaving || isMarked {
		return false
	}
	m.leaving[address] = generation
	m.changes++
	return true
}

// listed takes a VM list and returns the marks that it set.
func (m *marks) listed(list platform.VMList) []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var set []Mark
	for _, vm := range list.VMs {
		if m.observe(vm.Address, vm.Generation, vm.State == platform.VMLeaving) {
			set = append(set, Mark{Address: vm.Address, Generation: m.leaving[vm.Address]})
		}
	}
	return set
}

// add takes the marks of another proxy and returns those that were new.
func (m *marks) add(list []Mark) []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var added []Mark
	for _, k := range list {
		if m.observe(k.Address, k.Generation, true) {
			added = append(added, k)
		}
	}
	return added
}

func (m *marks) isLeaving(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, leaving := m.leaving[address]
	return leaving
}

// version grows whenever a mark is set or cleared.
func (m *marks) version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

func (m *marks) all() []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Mark
	for address, generation := range m.leaving {
		list = append(list, Mark{Address: address, Generation: generation})
	}
	slices.SortFunc(list, func(a, b Mark) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// retain forgets the marks of addresses that no service uses.
func (m *marks) retain(addresses map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address := range m.newest {
		if !addresses[address] {
			delete(m.newest, address)
			delete(m.leaving, address)
		}
	}
}

// forgetPeriod is how often marks of addresses that are not configured any
// longer are dropped.
const forgetPeriod = time.Minute

func (c *Control) forgetMarksDuty(ctx context.Context) error {
	return every(ctx, forgetPeriod, nil, func(context.Context) {
		addresses := map[string]bool{}
		for _, s := range c.config.list() {
			for _, e := range s.Endpoints {
				addresses[e.Address] = true
			}
		}
		c.marks.retain(addresses)
	})
}

// spreadMark passes a mark that is new to this proxy on: to the readers, which
// give it to everybody, and to the proxies that sync with this one.
func (c *Control) spreadMark(mark Mark) {
	payload, err := peer.Encode(mark)
	if err != nil {
		return
	}
	for _, reader := range c.members.readers() {
		if reader.Incarnation() != c.self.Incarnation() {
			// The sync of the reader's proxies makes up for a lost message.
			_ = c.transport.Send(reader.Address(), peer.TopicDrainingMark, payload)
		}
	}
	c.notifyClients()
}
