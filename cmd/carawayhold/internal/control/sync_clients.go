package control

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// syncClientExpiry is how long after a sync a proxy is notified of changes.
const syncClientExpiry = 10 * time.Second

// syncClients holds the proxies that synced with this one recently. It is
// safe for concurrent use.
type syncClients struct {
	mu        sync.Mutex
	expiresAt map[string]time.Time // by address
}

func newSyncClients() *syncClients {
	return &syncClients{expiresAt: map[string]time.Time{}}
}

func (t *syncClients) add(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiresAt[address] = now.Add(syncClientExpiry)
}

func (t *syncClients) active(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for address, until := range t.expiresAt {
		if now.After(until) {
			delete(t.expiresAt, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// notifySyncClients notifies the proxies that sync with this one of a change.
// One that misses the notice gets the change with its next sync.
func (c *Control) notifySyncClients() {
	for _, address := range c.syncClients.active(time.Now()) {
		_ = c.transport.Send(address, peer.TopicStateChanged, nil)
	}
}
