package control

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// clientMemory is how long a proxy that synced is sent notices of changes.
const clientMemory = 10 * time.Second

// clientTable remembers which proxies synced with this one lately.
type clientTable struct {
	mu     sync.Mutex
	forget map[string]time.Time // time at which the address is forgotten
}

func newClientTable() *clientTable {
	return &clientTable{forget: map[string]time.Time{}}
}

func (t *clientTable) seen(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget[address] = now.Add(clientMemory)
}

func (t *clientTable) current(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for address, until := range t.forget {
		if now.After(until) {
			delete(t.forget, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// notifyClients tells the proxies that sync with this one that there is
// something new. A lost notice delays them until their next sync.
func (c *Control) notifyClients() {
	for _, address := range c.clients.current(time.Now()) {
		_ = c.transport.Send(address, peer.TopicStateChanged, nil)
	}
}
