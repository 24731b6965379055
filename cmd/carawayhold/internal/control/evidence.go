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
	// activeTime is how long a service is looked at after its last report.
	activeTime = time.Minute
	// secondDelay is how long the second evaluator leaves a suspect to the first.
	secondDelay = 2 * time.Second
)

// evidenceDuty sends this proxy's counts to the evaluators of each service and
// has the services evaluated that this proxy is an evaluator of.
func (c *Control) evidenceDuty(ctx context.Context) error {
	return every(ctx, outlier.ReportInterval, nil, func(context.Context) {
		for _, report := range c.recorder.Drain() {
			c.sendReport(report)
		}
		now := time.Now()
		for _, s := range c.attended(now) {
			if rank := c.evaluatorRank(s.Name); rank >= 0 && c.needsWrite(s, rank, now) {
				c.queueLedgerWork(s.Name)
			}
		}
	})
}

// attended returns the services that have recent reports or ledger entries. The
// others need no attention, however many are configured.
func (c *Control) attended(now time.Time) []config.Service {
	names := c.evaluators.active(now)
	names = append(names, c.ledgers.listed()...)
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
	c.evaluators.with(report.Service, func(one *evaluation) {
		one.local.Add(report, now)
		one.activeUntil = now.Add(activeTime)
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
		// A lost report delays detection; the next one carries new counts only.
		_ = c.transport.Send(m.Address(), peer.TopicEvidenceReport, payload)
	}
}

// addReport takes a report of this or another proxy as an evaluator.
func (c *Control) addReport(report outlier.Report) {
	service, _, ok := c.config.service(report.Service)
	if !ok {
		return
	}
	now := time.Now()
	c.evaluators.with(report.Service, func(one *evaluation) {
		one.fleet.Add(report, now)
		one.activeUntil = now.Add(activeTime)
		for _, counts := range report.Counts {
			one.countShed(counts)
			one.observeProcess(counts.Endpoint, counts.Generation, now.Add(service.WarmUp()))
		}
	})
}

// needsWrite reports whether the ledger of a service may have to change.
func (c *Control) needsWrite(s config.Service, rank int, now time.Time) bool {
	c.followLedger(s.Name)
	needed := false
	c.ledgers.with(s.Name, func(v *ejection.View) {
		ledger, _ := v.Ledger()
		needed = len(v.Removable(now)) > 0 || !c.floorHolds(s, v, now)
		c.evaluators.with(s.Name, func(one *evaluation) {
			needed = needed || len(one.due(ledger, rank, now)) > 0 || len(one.returnable(ledger)) > 0
		})
	})
	return needed
}

// floorHolds reports whether the view's entries keep the floor with what this
// proxy knows now about leaving endpoints and the configuration.
func (c *Control) floorHolds(s config.Service, v *ejection.View, now time.Time) bool {
	return len(v.EjectedWithin(c.pool(s, now), now)) == len(v.Endpoints(ejection.StateEjected)) || !v.Valid(now)
}

// followLedger tells the evaluator which endpoints the ledger ejects, so that
// evidence from before an ejection does not speak against its return.
func (c *Control) followLedger(service string) {
	var ejected []string
	c.ledgers.with(service, func(v *ejection.View) { ejected = v.Endpoints(ejection.StateEjected) })
	c.evaluators.with(service, func(one *evaluation) { one.fleet.SetEjected(ejected) })
}

// queueLedgerWork hands a service to the ledger write duty. When the queue is
// full, the next evaluation queues it again.
func (c *Control) queueLedgerWork(service string) {
	select {
	case c.ledgerWork <- service:
	default:
	}
}
