package caller

import (
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// defaultHeldBytes is the size up to which a response is held until complete.
const defaultHeldBytes = 1 << 20

// Balance chooses endpoints of one service. Implementations keep their state
// when the routing table is replaced, and are safe for concurrent use.
type Balance interface {
	// Pick chooses an endpoint that is not among tried and counts it as in use.
	Pick(now time.Time, tried []string) (name string, ok bool)
	// Done ends the use of an endpoint.
	Done(name string, now time.Time, result *endpoint.Result)
}

// Parts supplies the collaborators of the services in a new routing table. It
// returns the same collaborator for a service that it has seen before.
type Parts interface {
	Client(address string) *endpoint.Client
	Balance(service *config.Service) Balance
}

// service is the immutable form of a service description.
type service struct {
	name      string
	teams     []string
	endpoints map[string]*endpoint.Client
	classes   map[string]*class
	balance   Balance
}

// class is the immutable form of a request class.
type class struct {
	service    *service
	name       string
	deadline   time.Duration
	repeatable bool
	rules      endpoint.Rules
}

func newService(c *config.Service, parts Parts) *service {
	s := &service{
		name:      c.Name,
		teams:     c.Teams,
		endpoints: make(map[string]*endpoint.Client, len(c.Endpoints)),
		classes:   make(map[string]*class, len(c.Classes)),
		balance:   parts.Balance(c),
	}
	for _, e := range c.Endpoints {
		s.endpoints[e.Name] = parts.Client(e.Address)
	}
	held := c.HeldBytes
	if held == 0 {
		held = defaultHeldBytes
	}
	for _, v := range c.Classes {
		repeatable := v.Repeat == config.RepeatAllowed
		deadline := time.Duration(v.DeadlineMillis) * time.Millisecond
		s.classes[v.Name] = &class{
			service:    s,
			name:       v.Name,
			deadline:   deadline,
			repeatable: repeatable,
			rules:      endpoint.NewRules(c.EchoHeader, held, repeatable, deadline/2),
		}
	}
	return s
}

// allows reports whether the team may call the service.
func (s *service) allows(team string) bool {
	return len(s.teams) == 0 || slices.Contains(s.teams, team)
}
