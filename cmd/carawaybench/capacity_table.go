package main

import (
	"math/rand/v2"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/caller/dispatch"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// benchParts creates a dispatcher for each service of a routing table.
type benchParts struct{ clients *endpoint.Set }

func (p benchParts) Dispatcher(service *config.Service) caller.Dispatcher {
	d := dispatch.New("entry-1", "zone-1", p.clients, rand.New(rand.NewPCG(1, 1)))
	d.Configure(service)
	return d
}

func tableMemory() (slopeRow, error) {
	samples, err := bySize(routeSizes, func(size int) (float64, error) {
		list := services(targetServices, size, 0, 0)
		// The first table registers the metrics of the classes, which stay.
		caller.NewTable(1, list, benchParts{clients: endpoint.NewSet()})
		return heapOf(func() any { return caller.NewTable(1, list, benchParts{clients: endpoint.NewSet()}) }, list), nil
	})
	return slopeRow{name: "memory of the routing table", unit: "B/route", samples: samples, target: targetRoutes}, err
}

func tableTime() (slopeRow, error) {
	samples, err := bySize(routeSizes, func(size int) (float64, error) {
		list := services(targetServices, size, targetEndpoints, 0)
		parts := benchParts{clients: endpoint.NewSet()}
		return shortestTime(buildRuns, func() { caller.NewTable(1, list, parts) }), nil
	})
	return slopeRow{name: "processor time to build the routing table", unit: "ns/route", samples: samples, target: targetRoutes}, err
}

func tableChangeTime() (slopeRow, error) {
	samples, err := bySize(routeSizes, func(size int) (float64, error) {
		list := services(targetServices, size, targetEndpoints, 0)
		parts := benchParts{clients: endpoint.NewSet()}
		table := caller.NewTable(1, list, parts)
		return shortestTime(buildRuns, func() { table.WithChanges(2, list[:1], nil, parts) }), nil
	})
	return slopeRow{name: "processor time to change one service in the routing table", unit: "ns/route", samples: samples, target: targetRoutes}, err
}

func endpointMemory() (slopeRow, error) {
	samples, err := bySize(endpointSizes, func(size int) (float64, error) {
		list := services(targetServices, 0, size, 0)
		return heapOf(func() any {
			parts := benchParts{clients: endpoint.NewSet()}
			return []any{caller.NewTable(1, list, parts), parts.clients}
		}, list), nil
	})
	return slopeRow{name: "memory of endpoint clients", unit: "B/endpoint", samples: samples, target: targetEndpoints}, err
}
