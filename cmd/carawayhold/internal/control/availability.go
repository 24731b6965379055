package control

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
)

// availabilityPeriod also bounds the delay with which new evidence changes
// the weights.
const availabilityPeriod = 500 * time.Millisecond

// availabilityLoop passes the availability of endpoints to the request path.
// After a change of the configuration or of the draining marks it does so for
// all services, otherwise for those with recent reports, ledger entries or
// previous limits.
func (c *Control) availabilityLoop(ctx context.Context) error {
	limited := map[string]bool{}
	var seen [2]int64
	return every(ctx, availabilityPeriod, c.availabilityWake, func(context.Context) {
		now := time.Now()
		c.datapath.SetLiveProxies(c.members.liveCount())
		services := c.activeServices(now)
		if current := [2]int64{c.config.revision(), c.draining.version()}; current != seen {
			seen = current
			services = c.config.list()
		}
		for name := range limited {
			if s, _, ok := c.config.service(name); ok {
				services = append(services, s)
			}
		}
		clear(limited)
		for _, s := range services {
			a := c.availability(s, now)
			c.datapath.SetAvailability(s.Name, a)
			if a.limits() {
				limited[s.Name] = true
			}
		}
	})
}

func (a Availability) limits() bool {
	return len(a.Ejected)+len(a.Draining)+len(a.Weights)+len(a.WarmingUp) > 0
}

func (c *Control) availability(s config.Service, now time.Time) Availability {
	a := Availability{
		Draining:  c.drainingEndpoints(s),
		Weights:   c.evidence.weights(s, now),
		WarmingUp: c.evidence.warmingUp(s, now),
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

// pool describes the capacity of a service as this proxy knows it.
func (c *Control) pool(s config.Service, now time.Time) ejection.Pool {
	_, ref, _ := c.config.service(s.Name)
	return carawayhold.Capacity(s, ref.Revision,
		ejection.WithDraining(c.drainingEndpoints(s)...),
		ejection.WithWarmingUp(c.evidence.warmingUp(s, now)...))
}

func (c *Control) drainingEndpoints(s config.Service) []string {
	var names []string
	for _, e := range s.Endpoints {
		if c.draining.isDraining(e.Address) {
			names = append(names, e.Name)
		}
	}
	return names
}
