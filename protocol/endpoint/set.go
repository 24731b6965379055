package endpoint

import (
	"sync"
	"time"
)

// Set holds the clients of all endpoints by address, so that connections survive
// changes of the configuration. It is safe for concurrent use.
type Set struct {
	options []Option

	mu      sync.Mutex
	clients map[string]*Client
}

// NewSet returns an empty set. The options apply to every client.
func NewSet(options ...Option) *Set {
	return &Set{options: options, clients: map[string]*Client{}}
}

// Client returns the client of the endpoint at address. The first call creates it.
func (s *Set) Client(address string) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[address]
	if !ok {
		c = NewClient(address, s.options...)
		s.clients[address] = c
	}
	return c
}

// Retain closes and removes the clients of addresses that are not in inUse.
func (s *Set) Retain(inUse map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.clients {
		if !inUse[address] {
			c.Close()
			delete(s.clients, address)
		}
	}
}

// Remove closes and removes the clients of the given addresses.
func (s *Set) Remove(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range addresses {
		if c, ok := s.clients[address]; ok {
			c.Close()
			delete(s.clients, address)
		}
	}
}

// CloseIdle closes connections of all clients that have been idle for the idle timeout.
func (s *Set) CloseIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.CloseIdle(now)
	}
}

// CloseAllIdle closes all idle connections of all clients.
func (s *Set) CloseAllIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.CloseAllIdle()
	}
}

// Close closes and removes all clients.
func (s *Set) Close() { s.Retain(nil) }
