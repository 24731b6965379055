package main

import (
	"fmt"

	"github.com/carawayhold/carawayhold/config"
)

// serviceSpec describes one service of the two simulated users.
type serviceSpec struct {
	name      string
	endpoints int
	slots     int
	floor     int
	weighting config.Weighting
	zones     []string
}

var (
	zonesHockerwerk = []string{"at-south-1", "at-south-2", "at-south-3"}
	zonesAtelier    = []string{"finistere", "morbihan", "ille-vilaine"}
)

var serviceSpecs = []serviceSpec{
	{"katalog", 8, 4, 5, config.WeightingFalseEjections, zonesHockerwerk},
	{"lager", 13, 4, 9, config.WeightingFalseEjections, zonesHockerwerk},
	{"spedition", 6, 4, 4, config.WeightingFalseEjections, zonesHockerwerk},
	{"patronnier", 7, 6, 4, config.WeightingDetection, zonesAtelier},
	{"depot", 13, 6, 9, config.WeightingDetection, zonesAtelier},
	{"atelier", 6, 6, 4, config.WeightingDetection, zonesAtelier},
}

// service returns the configuration of the service with the given endpoint addresses.
func (s serviceSpec) service(addresses []string) config.Service {
	service := config.Service{
		Name: s.name, Floor: s.floor, Weighting: s.weighting, EchoHeader: "X-Request-Id",
		Routes: []config.Route{
			{PathPrefix: "/" + s.name, Methods: []string{"GET"}, Class: "prompt"},
			{PathPrefix: "/" + s.name + "/browse", Methods: []string{"GET"}, Class: "browse"},
			{PathPrefix: "/" + s.name + "/bookings", Methods: []string{"POST"}, Class: "booking"},
		},
		Classes: []config.Class{
			{Name: "booking", Priority: 3, Repeat: config.RepeatNever, DeadlineMillis: 3000, QueueLimit: 200},
			{Name: "prompt", Priority: 2, Repeat: config.RepeatAllowed, DeadlineMillis: 1000, QueueLimit: 100, Hedge: true},
			{Name: "browse", Priority: 1, Repeat: config.RepeatAllowed, DeadlineMillis: 5000, QueueLimit: 100},
		},
	}
	for i, address := range addresses {
		service.Endpoints = append(service.Endpoints, config.Endpoint{
			Name: endpointName(s.name, i), Address: address, Zone: s.zones[i%len(s.zones)],
			Slots: s.slots, MaxConnections: 300,
		})
	}
	return service
}

func endpointName(service string, index int) string {
	return fmt.Sprintf("%s-%d", service, index+1)
}
