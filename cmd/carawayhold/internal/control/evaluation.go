package control

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

// evaluation is the evidence about one service in this proxy.
type evaluation struct {
	local     *outlier.LocalWeights
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
		one.local.RetainOnly(carawayhold.EndpointNames(s))
		one.fleet.RetainOnly(carawayhold.EndpointNames(s))
	}
}

func newEvaluation(s config.Service) *evaluation {
	return &evaluation{
		local:        carawayhold.NewLocalWeights(s),
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
	one.shed += float64(counts.Count(outlier.KindShed))
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
