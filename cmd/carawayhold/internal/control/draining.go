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

// drainingMarks records which endpoint processes are draining. The VM list
// and the responses of the endpoints use the same generation numbers, and
// either can set a mark. Only a greater generation clears it, so that an
// outdated VM list cannot bring a draining endpoint back. It is safe for
// concurrent use.
type drainingMarks struct {
	mu       sync.Mutex
	newest   map[string]int64 // greatest generation seen, by address
	draining map[string]int64 // generation that is draining, by address
	changes  int64
}

func newDrainingMarks() *drainingMarks {
	return &drainingMarks{newest: map[string]int64{}, draining: map[string]int64{}}
}

// observeResponse records what a response or a peer said about an endpoint's
// process and reports whether it set a new mark. A generation of 0 stands for
// the greatest one seen.
func (m *drainingMarks) observeResponse(address string, generation int64, draining bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.observe(address, generation, draining)
}

func (m *drainingMarks) observe(address string, generation int64, draining bool) bool {
	if generation == 0 {
		generation = m.newest[address]
	}
	if generation < m.newest[address] {
		return false
	}
	marked, isMarked := m.draining[address]
	if generation > m.newest[address] {
		m.newest[address] = generation
		if isMarked && generation > marked {
			delete(m.draining, address)
			m.changes++
			isMarked = false
		}
	}
	if !draining || isMarked {
		return false
	}
	m.draining[address] = generation
	m.changes++
	return true
}

// observeVMList records a VM list and returns the marks that it set.
func (m *drainingMarks) observeVMList(list platform.VMList) []drainingMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var set []drainingMark
	for _, vm := range list.VMs {
		if m.observe(vm.Address, vm.Generation, vm.State == platform.VMLeaving) {
			set = append(set, drainingMark{Address: vm.Address, Generation: m.draining[vm.Address]})
		}
	}
	return set
}

// add records the marks of another proxy and returns those that were new.
func (m *drainingMarks) add(list []drainingMark) []drainingMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var added []drainingMark
	for _, mark := range list {
		if m.observe(mark.Address, mark.Generation, true) {
			added = append(added, mark)
		}
	}
	return added
}

func (m *drainingMarks) isDraining(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, draining := m.draining[address]
	return draining
}

// version grows whenever a mark is set or cleared.
func (m *drainingMarks) version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

func (m *drainingMarks) all() []drainingMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []drainingMark
	for address, generation := range m.draining {
		list = append(list, drainingMark{Address: address, Generation: generation})
	}
	slices.SortFunc(list, func(a, b drainingMark) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// retain deletes the marks of all addresses outside the set.
func (m *drainingMarks) retain(addresses map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address := range m.newest {
		if !addresses[address] {
			delete(m.newest, address)
			delete(m.draining, address)
		}
	}
}

// pruneDrainingPeriod is how often the marks of addresses that are no longer
// configured are deleted.
const pruneDrainingPeriod = time.Minute

func (c *Control) pruneDrainingLoop(ctx context.Context) error {
	return every(ctx, pruneDrainingPeriod, nil, func(context.Context) {
		addresses := map[string]bool{}
		for _, s := range c.config.list() {
			for _, e := range s.Endpoints {
				addresses[e.Address] = true
			}
		}
		c.draining.retain(addresses)
	})
}

// propagateMark forwards a mark that is new to this proxy to the readers,
// which pass it on to the whole fleet, and notifies the proxies that sync
// with this one.
func (c *Control) propagateMark(mark drainingMark) {
	payload, err := peer.Encode(mark)
	if err != nil {
		return
	}
	for _, reader := range c.members.readers() {
		if reader.Incarnation() != c.self.Incarnation() {
			// A lost message is compensated by the syncs of the proxies that
			// follow the reader.
			_ = c.transport.Send(reader.Address(), peer.TopicDrainingMark, payload)
		}
	}
	c.notifySyncClients()
}
