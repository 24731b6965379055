package control

import (
	"context"
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/protocol/operator"
)

// Status returns the state of this proxy for operators.
func (c *Control) Status(context.Context) (operator.Status, error) {
	now := time.Now()
	ready, reason := c.Readiness()
	status := operator.Status{
		Proxy: c.self.Name(), Zone: c.self.Zone(),
		Revision: c.config.revision(), KnownRevision: c.config.known(),
		ConfirmedAgeMillis: -1, Ready: ready,
	}
	if !ready {
		status.Reason = reason
	}
	if age, ok := c.config.confirmedAge(now); ok {
		status.ConfirmedAgeMillis = roundUpMillis(age)
	}
	for _, m := range c.members.live() {
		if m.Incarnation() == c.self.Incarnation() {
			continue
		}
		revision, age := c.members.reported(m, now)
		status.Members = append(status.Members, operator.MemberStatus{
			Name: m.Name(), Address: m.Address(), Zone: m.Zone(), State: m.Status().String(),
			Revision: revision, AgeMillis: age.Milliseconds(),
		})
	}
	return status, nil
}

// Endpoints returns how this proxy sees the endpoints of a service.
func (c *Control) Endpoints(_ context.Context, name string) ([]operator.EndpointStatus, bool, error) {
	service, _, ok := c.config.service(name)
	if !ok {
		return nil, false, nil
	}
	now := time.Now()
	available := c.availability(service, now)
	var ledger ejection.Ledger
	c.ledgers.with(name, func(v *ejection.View) { ledger, _ = v.Ledger() })
	load := c.datapath.Load(name)
	var list []operator.EndpointStatus
	for _, e := range service.Endpoints {
		status := c.endpointStatus(name, e, available, ledger, now)
		status.InFlight, status.Limit = load[e.Name].InFlight, load[e.Name].Limit
		list = append(list, status)
	}
	return list, true, nil
}

func (c *Control) endpointStatus(
	service string, e config.Endpoint, available Availability, ledger ejection.Ledger, now time.Time,
) operator.EndpointStatus {
	status := operator.EndpointStatus{
		Name: e.Name, Address: e.Address, Zone: e.Zone, State: operator.EndpointServing, Weight: 1,
	}
	if weight, reduced := available.Weights[e.Name]; reduced {
		status.State, status.Weight = operator.EndpointReduced, weight
	}
	if entry, listed := ledger.Entry(e.Name); listed {
		status.Evidence = append(status.Evidence, operator.Evidence{Kind: entry.Kind, Score: entry.Evidence})
		status.State = operator.EndpointReturning
		if slices.Contains(available.Ejected, e.Name) {
			status.State, status.Weight = operator.EndpointEjected, 0
		}
	}
	if slices.Contains(available.Draining, e.Name) {
		status.State, status.Weight = operator.EndpointDraining, 0
	}
	c.evidence.with(service, func(ev *serviceEvidence) {
		if evidence, kind, threshold := ev.fleet.Evidence(e.Name, now); evidence > 0 {
			status.Evidence = append(status.Evidence, operator.Evidence{
				Kind: kind.String(), Score: evidence, Threshold: threshold,
			})
		}
	})
	return status
}
