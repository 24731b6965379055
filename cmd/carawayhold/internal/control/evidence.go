package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawayhold/carawayhold"
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

// evaluation is the evidence about one service in this proxy.
type evaluation struct {
	local     *outlier.Local
	fleet     *outlier.Evaluator
	processes map[string]process
	// suspectSince is the time at which an endpoint became a suspect here.
	suspectSince map[string]time.Time
	weighting    config.Weighting
	activeUntil  time.Time
	// attempts and shed count lately reported attempts, decaying with time.
	attempts float64
	shed     float64
}

// process is what is known about the current process of an endpoint.
type process struct {
	generation int64
	warmAt     time.Time
}

// evaluators holds the evidence of all services, safe for concurrent use.
type evaluators struct {
	mu       sync.Mutex
	services map[string]*evaluation
}

func newEvaluators() *evaluators {
	return &evaluators{services: map[string]*evaluation{}}
}

// apply follows a change of the configuration. A service keeps its evidence
// unless its weighting changes.
func (e *evaluators) apply(change Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range change.Removed {
		delete(e.services, name)
	}
	for _, s := range change.Changed {
		one, ok := e.services[s.Name]
		if !ok || one.weighting != s.Weighting {
			one = newEvaluation(s)
			e.services[s.Name] = one
		}
		one.local.Retain(carawayhold.EndpointNames(s))
		one.fleet.Retain(carawayhold.EndpointNames(s))
	}
}

func newEvaluation(s config.Service) *evaluation {
	return &evaluation{
		local:        carawayhold.NewLocal(s),
		fleet:        carawayhold.NewEvaluator(s),
		processes:    map[string]process{},
		suspectSince: map[string]time.Time{},
		weighting:    s.Weighting,
	}
}

// active returns the services with reports in the last minute.
func (e *evaluators) active(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for name, one := range e.services {
		if now.Before(one.activeUntil) {
			names = append(names, name)
		}
	}
	return names
}

// with runs work with the evaluation of a service, if there is one.
func (e *evaluators) with(service string, work func(*evaluation)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if one, ok := e.services[service]; ok {
		work(one)
	}
}

func (e *evaluators) weights(s config.Service, now time.Time) map[string]float64 {
	var weights map[string]float64
	e.with(s.Name, func(one *evaluation) {
		weights = one.local.Weights(carawayhold.EndpointNames(s), s.Floor, now)
	})
	return weights
}

// cold returns the endpoints whose process was replaced less than the warm-up ago.
func (e *evaluators) cold(s config.Service, now time.Time) []string {
	var names []string
	e.with(s.Name, func(one *evaluation) {
		for name, p := range one.processes {
			if now.Before(p.warmAt) {
				names = append(names, name)
			}
		}
	})
	return names
}

// observeProcess notes a replaced process. The first generation that is seen
// says nothing about the age of the process.
func (one *evaluation) observeProcess(endpoint string, generation int64, warmAt time.Time) {
	known, ok := one.processes[endpoint]
	switch {
	case generation == 0 || ok && generation <= known.generation:
	case !ok:
		one.processes[endpoint] = process{generation: generation}
	default:
		one.processes[endpoint] = process{generation: generation, warmAt: warmAt}
	}
}

func (one *evaluation) countShed(counts outlier.Counts) {
	for _, n := range counts.Kinds {
		one.attempts += float64(n)
	}
	one.shed += float64(counts.Of(outlier.Shed))
}

// shedRatio returns the share of attempts that the endpoints of a service shed
// lately, and lets older attempts count less. Call it once per load period.
func (e *evaluators) shedRatio(service string) float64 {
	ratio := 0.0
	e.with(service, func(one *evaluation) {
		if one.attempts > 0 {
			ratio = one.shed / one.attempts
		}
		one.attempts *= shedDecay
		one.shed *= shedDecay
	})
	return ratio
}

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
	c.evaluators.with(service, func(one *evaluation) { one.fleet.Follow(ejected) })
}

// due returns the suspects that an evaluator of that rank proposes now.
func (one *evaluation) due(ledger ejection.Ledger, rank int, now time.Time) []outlier.Suspect {
	var due []outlier.Suspect
	suspects := map[string]time.Time{}
	for _, s := range one.fleet.Suspects(now) {
		if e, listed := ledger.Entry(s.Endpoint); listed && e.State == ejection.StateEjected {
			continue
		}
		since, known := one.suspectSince[s.Endpoint]
		if !known {
			since = now
		}
		suspects[s.Endpoint] = since
		if now.Sub(since) >= time.Duration(rank)*secondDelay {
			due = append(due, s)
		}
	}
	one.suspectSince = suspects
	return due
}

// returnable returns the ejected endpoints with enough proof for a return.
func (one *evaluation) returnable(ledger ejection.Ledger) []string {
	var names []string
	for _, e := range ledger.Entries {
		if e.State == ejection.StateEjected && one.fleet.Returnable(e.Endpoint, ledger.Ejections(e.Endpoint)) {
			names = append(names, e.Endpoint)
		}
	}
	return names
}

// queueLedgerWork hands a service to the ledger write duty. When the queue is
// full, the next evaluation queues it again.
func (c *Control) queueLedgerWork(service string) {
	select {
	case c.ledgerWork <- service:
	default:
	}
}
