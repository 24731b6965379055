package control

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

// serviceEvidence is this proxy's evidence about the endpoints of one
// service.
type serviceEvidence struct {
	local     *outlier.LocalWeights
	fleet     *outlier.Evaluator
	processes map[string]process
	// suspectSince is when an endpoint became a suspect at this evaluator.
	suspectSince map[string]time.Time
	weighting    config.Weighting
	activeUntil  time.Time
	// attempts and shed count recently reported attempts, with exponential
	// decay.
	attempts float64
	shed     float64
}

// process is the last known process of an endpoint.
type process struct {
	generation int64
	warmAt     time.Time
}

// evidenceTable holds the evidence of all services. It is safe for concurrent
// use.
type evidenceTable struct {
	mu       sync.Mutex
	services map[string]*serviceEvidence
}

func newEvidenceTable() *evidenceTable {
	return &evidenceTable{services: map[string]*serviceEvidence{}}
}

// apply adapts the table to a configuration change. A service keeps its
// evidence unless its weighting changes.
func (e *evidenceTable) apply(change ConfigurationChange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range change.Removed {
		delete(e.services, name)
	}
	for _, s := range change.Changed {
		ev, ok := e.services[s.Name]
		if !ok || ev.weighting != s.Weighting {
			ev = newServiceEvidence(s)
			e.services[s.Name] = ev
		}
		ev.local.RetainOnly(carawayhold.EndpointNames(s))
		ev.fleet.RetainOnly(carawayhold.EndpointNames(s))
	}
}

func newServiceEvidence(s config.Service) *serviceEvidence {
	return &serviceEvidence{
		local:        carawayhold.NewLocalWeights(s),
		fleet:        carawayhold.NewEvaluator(s),
		processes:    map[string]process{},
		suspectSince: map[string]time.Time{},
		weighting:    s.Weighting,
	}
}

// active returns the services with reports in the last activeWindow.
func (e *evidenceTable) active(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var names []string
	for name, ev := range e.services {
		if now.Before(ev.activeUntil) {
			names = append(names, name)
		}
	}
	return names
}

// with runs work with the evidence of a service, if there is any, while the
// table is locked.
func (e *evidenceTable) with(service string, work func(*serviceEvidence)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ev, ok := e.services[service]; ok {
		work(ev)
	}
}

func (e *evidenceTable) weights(s config.Service, now time.Time) map[string]float64 {
	var weights map[string]float64
	e.with(s.Name, func(ev *serviceEvidence) {
		weights = ev.local.Weights(carawayhold.EndpointNames(s), s.Floor, now)
	})
	return weights
}

// warmingUp returns the endpoints whose process was replaced less than the
// warm-up time ago.
func (e *evidenceTable) warmingUp(s config.Service, now time.Time) []string {
	var names []string
	e.with(s.Name, func(ev *serviceEvidence) {
		for name, p := range ev.processes {
			if now.Before(p.warmAt) {
				names = append(names, name)
			}
		}
	})
	return names
}

// observeProcess records the generation of an endpoint's process and starts
// the warm-up if the process was replaced. The first generation seen starts
// none, since the age of that process is unknown.
func (ev *serviceEvidence) observeProcess(endpoint string, generation int64, warmAt time.Time) {
	known, ok := ev.processes[endpoint]
	switch {
	case generation == 0 || ok && generation <= known.generation:
	case !ok:
		ev.processes[endpoint] = process{generation: generation}
	default:
		ev.processes[endpoint] = process{generation: generation, warmAt: warmAt}
	}
}

func (ev *serviceEvidence) countShed(counts outlier.Counts) {
	for _, n := range counts.Kinds {
		ev.attempts += float64(n)
	}
	ev.shed += float64(counts.Count(outlier.KindShed))
}

// shedRatio returns the ratio of recent attempts that the endpoints of a
// service shed. Each call decays the counts, so it must be called once per
// load period.
func (e *evidenceTable) shedRatio(service string) float64 {
	ratio := 0.0
	e.with(service, func(ev *serviceEvidence) {
		if ev.attempts > 0 {
			ratio = ev.shed / ev.attempts
		}
		ev.attempts *= shedDecay
		ev.shed *= shedDecay
	})
	return ratio
}

// dueSuspects returns the suspects that an evaluator of the given rank may
// propose now.
func (ev *serviceEvidence) dueSuspects(ledger ejection.Ledger, rank int, now time.Time) []outlier.Suspect {
	var due []outlier.Suspect
	suspects := map[string]time.Time{}
	for _, s := range ev.fleet.Suspects(now) {
		if e, listed := ledger.Entry(s.Endpoint); listed && e.State == ejection.StateEjected {
			continue
		}
		since, known := ev.suspectSince[s.Endpoint]
		if !known {
			since = now
		}
		suspects[s.Endpoint] = since
		if now.Sub(since) >= time.Duration(rank)*secondEvaluatorDelay {
			due = append(due, s)
		}
	}
	ev.suspectSince = suspects
	return due
}

// returnable returns the ejected endpoints with enough successful probes to
// return.
func (ev *serviceEvidence) returnable(ledger ejection.Ledger) []string {
	var names []string
	for _, e := range ledger.Entries {
		if e.State == ejection.StateEjected && ev.fleet.Returnable(e.Endpoint, ledger.Ejections(e.Endpoint)) {
			names = append(names, e.Endpoint)
		}
	}
	return names
}
