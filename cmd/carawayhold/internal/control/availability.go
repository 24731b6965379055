package control

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
)

// availabilityPeriod also bounds how long weights lag behind the evidence.
const availabilityPeriod = 500 * time.Millisecond

// availabilityDuty tells the request path what limits the use of endpoints.
func (c *Control) availabilityDuty(ctx context.Context) error {
	return every(ctx, availabilityPeriod, c.applied, func(context.Context) {
		now := time.Now()
		c.datapath.SetLiveProxies(c.members.liveCount())
		for _, s := range c.config.list() {
			c.datapath.SetAvailability(s.Name, c.availability(s, now))
		}
	})
}

func (c *Control) availability(s config.Service, now time.Time) Availability {
	a := Availability{
		Leaving: c.leaving(s),
		Weights: c.evaluators.weights(s, now),
	}
	pool := c.pool(s, now)
	c.ledgers.with(s.Name, func(v *ejection.View) {
		a.Ejected = v.EjectedWithin(pool, now)
		a.EjectedUntil = v.ValidUntil()
		if err := v.Check(pool); err != nil {
			c.logger.Error("endpoint: invariant violated: " + err.Error())
		}
	})
	return a
}

// pool describes what this proxy knows about a service's capacity.
func (c *Control) pool(s config.Service, now time.Time) ejection.Pool {
	_, ref, _ := c.config.service(s.Name)
	return ejection.NewPool(ref.Revision, s.Floor, endpointNames(s),
		ejection.WithLeaving(c.leaving(s)...),
		ejection.WithCold(c.evaluators.cold(s, now)...))
}

func (c *Control) leaving(s config.Service) []string {
	var names []string
	for _, e := range s.Endpoints {
		if c.marks.isLeaving(e.Address) {
			names = append(names, e.Name)
		}
	}
	return names
}

func endpointNames(s config.Service) []string {
	names := make([]string, len(s.Endpoints))
	for i, e := range s.Endpoints {
		names[i] = e.Name
	}
	return names
}
