package control

import (
	"context"
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	evaluatorsPerService = 2
	// activeWindow is how long a service is evaluated after its last report.
	activeWindow = time.Minute
	// secondEvaluatorDelay is how long the second evaluator waits for the
	// first one to propose a suspect.
	secondEvaluatorDelay = 2 * time.Second
)

// evidenceLoop sends this proxy's counts to the evaluators of each service,
// and queues the ledger writes of services that this proxy evaluates.
func (c *Control) evidenceLoop(ctx context.Context) error {
	return every(ctx, outlier.ReportInterval, nil, func(context.Context) {
		for _, report := range c.recorder.Drain() {
			c.sendReport(report)
		}
		now := time.Now()
		for _, s := range c.activeServices(now) {
			if rank := c.evaluatorRank(s.Name); rank >= 0 && c.needsWrite(s, rank, now) {
				c.queueLedgerWork(s.Name)
			}
		}
	})
}

// activeServices returns the services with recent reports or ledger entries.
// The others are skipped, so that the cost doesn't grow with the number of
// configured services.
func (c *Control) activeServices(now time.Time) []config.Service {
	names := c.evidence.active(now)
	names = append(names, c.ledgers.withEntries()...)
	slices.Sort(names)
	var services []config.Service
	for _, name := range slices.Compact(names) {
		if s, _, ok := c.config.service(name); ok {
			services = append(services, s)
		}
	}
	return services
}

func (c *Control) evaluatorRank(service string) int {
	return c.members.rank(c.members.ranked(service, evaluatorsPerService))
}

func (c *Control) sendReport(report outlier.Report) {
	now := time.Now()
	c.evidence.with(report.Service, func(ev *serviceEvidence) {
		ev.local.Add(report, now)
		ev.activeUntil = now.Add(activeWindow)
	})
	payload, err := peer.Encode(report)
	if err != nil {
		return
	}
	for _, m := range c.members.ranked(report.Service, evaluatorsPerService) {
		if m.Incarnation() == c.self.Incarnation() {
			c.addReport(report)
			continue
		}
		// A lost report isn't resent and only delays detection: the next one
		// carries new counts only.
		_ = c.transport.Send(m.Address(), peer.TopicEvidenceReport, payload)
	}
}

// addReport adds a report of this or another proxy to the evaluator of its
// service.
func (c *Control) addReport(report outlier.Report) {
	service, _, ok := c.config.service(report.Service)
	if !ok {
		return
	}
	now := time.Now()
	c.evidence.with(report.Service, func(ev *serviceEvidence) {
		ev.fleet.Add(report, now)
		ev.activeUntil = now.Add(activeWindow)
		for _, counts := range report.Counts {
			ev.countShed(counts)
			ev.observeProcess(counts.Endpoint, counts.Generation, now.Add(service.WarmUp()))
		}
	})
}

// needsWrite reports whether the ledger of a service may have to change.
func (c *Control) needsWrite(s config.Service, rank int, now time.Time) bool {
	c.updateEjected(s.Name)
	needed := false
	c.ledgers.with(s.Name, func(v *ejection.View) {
		ledger, _ := v.Ledger()
		needed = len(v.Removable(now)) > 0 || !c.floorHolds(s, v, now)
		c.evidence.with(s.Name, func(ev *serviceEvidence) {
			needed = needed || len(ev.dueSuspects(ledger, rank, now)) > 0 || len(ev.returnable(ledger)) > 0
		})
	})
	return needed
}

// floorHolds reports whether the ejected entries of the view leave the floor
// intact, given the draining endpoints and the configuration that this proxy
// currently knows.
func (c *Control) floorHolds(s config.Service, v *ejection.View, now time.Time) bool {
	return len(v.EjectedWithin(c.pool(s, now), now)) == len(v.Endpoints(ejection.StateEjected)) || !v.Valid(now)
}

// updateEjected passes the endpoints that the ledger ejects to the evaluator,
// so that evidence from before an ejection doesn't prevent the endpoint's
// return.
func (c *Control) updateEjected(service string) {
	var ejected []string
	c.ledgers.with(service, func(v *ejection.View) { ejected = v.Endpoints(ejection.StateEjected) })
	c.evidence.with(service, func(ev *serviceEvidence) { ev.fleet.SetEjected(ejected) })
}

// queueLedgerWork queues a service for the ledger write loop. If the queue is
// full, the next evaluation queues the service again.
func (c *Control) queueLedgerWork(service string) {
	select {
	case c.ledgerWork <- service:
	default:
	}
}
