package caller

import (
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// service is the immutable routing data of a service.
type service struct {
	config     *config.Service
	classes    map[string]*class
	dispatcher Dispatcher
}

// class is the immutable routing data of a request class.
type class struct {
	service    *service
	name       string
	deadline   time.Duration
	repeatable bool
	rules      endpoint.Rules
	metrics    *classMetrics
}

func newService(c *config.Service, dispatchers DispatcherProvider) *service {
	s := &service{
		config:     c,
		classes:    make(map[string]*class, len(c.Classes)),
		dispatcher: dispatchers.Dispatcher(c),
	}
	for _, v := range c.Classes {
		// A timeout after less than half of the class deadline is caused by the
		// caller's deadline rather than by the endpoint.
		minEvidenceTimeout := v.Deadline() / 2
		s.classes[v.Name] = &class{
			service:    s,
			name:       v.Name,
			deadline:   v.Deadline(),
			repeatable: v.Repeatable(),
			rules:      endpoint.NewRules(c.EchoHeader, c.BufferLimit(), v.Repeatable(), minEvidenceTimeout),
			metrics:    newClassMetrics(c.Name, v.Name),
		}
	}
	return s
}
