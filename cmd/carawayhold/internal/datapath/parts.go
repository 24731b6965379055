// Package datapath connects the configuration to the request path: it builds
// routing tables and keeps the state of services across configurations.
package datapath

import (
	"math/rand/v2"
	"sync"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// Datapath applies configurations to a handler.
type Datapath struct {
	handler *caller.Handler
	clients *endpoint.Set
	logger  *zap.Logger

	mu       sync.Mutex
	balances map[string]*randomOfTwo
}

// New returns a datapath that puts configurations in force in handler.
func New(handler *caller.Handler, clients *endpoint.Set, logger *zap.Logger) *Datapath {
	return &Datapath{handler: handler, clients: clients, logger: logger, balances: map[string]*randomOfTwo{}}
}

// Apply puts a configuration in force for the requests that follow.
func (d *Datapath) Apply(revision int64, services []config.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	table := caller.NewTable(revision, services, d)
	for _, p := range table.Problems() {
		d.logger.Error("caller: route left out", zap.String("problem", p))
	}
	d.handler.SetTable(table)
	d.forget(services)
	d.logger.Info("caller: configuration in force",
		zap.Int64("revision", revision), zap.Int("services", len(services)))
}

// Client returns the client of the endpoint at address.
func (d *Datapath) Client(address string) *endpoint.Client { return d.clients.Client(address) }

// Balance returns the endpoint selection of a service.
func (d *Datapath) Balance(service *config.Service) caller.Balance {
	b, ok := d.balances[service.Name]
	if !ok {
		b = newRandomOfTwo(rand.Uint64())
		d.balances[service.Name] = b
	}
	names := make([]string, len(service.Endpoints))
	for i, e := range service.Endpoints {
		names[i] = e.Name
	}
	b.setEndpoints(names)
	return b
}

// forget drops the state of services and endpoints that were removed.
func (d *Datapath) forget(services []config.Service) {
	addresses := map[string]bool{}
	kept := map[string]bool{}
	for _, s := range services {
		kept[s.Name] = true
		for _, e := range s.Endpoints {
			addresses[e.Address] = true
		}
	}
	d.clients.Retain(addresses)
	for name := range d.balances {
		if !kept[name] {
			delete(d.balances, name)
		}
	}
}
