package control

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
)

// availabilityPeriod also bounds how long weights lag behind the evidence.
const availabilityPeriod = 500 * time.Millisecond

// availabilityDuty tells the request path what limits the use of endpoints: all
// services after a change of the configuration or of the leaving marks, and
// otherwise those with recent reports or ledger entries, and those that were
// limited before.
func (c *Control) availabilityDuty(ctx context.Context) error {
	limited := map[string]bool{}
	var seen [2]int64
	return every(ctx, availabilityPeriod, c.applied, func(context.Context) {
		now := time.Now()
		c.datapath.SetLiveProxies(c.members.liveCount())
		services := c.attended(now)
		if current := [2]int64{c.config.revision(), c.marks.version()}; current != seen {
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
		Draining:  c.leaving(s),
		Weights:   c.evaluators.weights(s, now),
		WarmingUp: c.evaluators.cold(s, now),
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
	return carawayhold.Capacity(s, ref.Revision,
		ejection.WithDraining(c.leaving(s)...),
		ejection.WithWarmingUp(c.evaluators.cold(s, now)...))
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
