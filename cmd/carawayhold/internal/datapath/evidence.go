package datapath

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/control"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// Evidence turns the results of attempts into evidence about endpoints.
type Evidence struct {
	recorder *outlier.Recorder
	// answered is told the generation and the draining mark of each response.
	answered func(address string, generation int64, draining bool)

	mu         sync.RWMutex
	references map[string]*outlier.Reference
}

// NewEvidence returns evidence that is counted in recorder. The function
// answered is told what the responses say about the processes of endpoints.
func NewEvidence(
	recorder *outlier.Recorder, answered func(address string, generation int64, draining bool),
) *Evidence {
	return &Evidence{recorder: recorder, answered: answered, references: map[string]*outlier.Reference{}}
}

var kinds = map[endpoint.Kind]outlier.Kind{
	endpoint.KindOK:      outlier.OK,
	endpoint.KindWrong:   outlier.Wrong,
	endpoint.KindError:   outlier.Error,
	endpoint.KindTimeout: outlier.Timeout,
	endpoint.KindRefused: outlier.Refused,
	endpoint.KindShed:    outlier.Shed,
}

// Record takes the result of one attempt.
func (e *Evidence) Record(service, class, name, address string, result *endpoint.Result) {
	if result.Draining() || result.Generation() != 0 {
		e.answered(address, result.Generation(), result.Draining())
	}
	if result.SilentConnection() {
		e.recorder.Record(service, name, result.Generation(), outlier.Silent)
	}
	kind, ok := kinds[result.Kind()]
	if !ok {
		return
	}
	if kind == outlier.OK && e.slow(service, class, name, result.Elapsed()) {
		kind = outlier.Slow
	}
	e.recorder.Record(service, name, result.Generation(), kind)
}

func (e *Evidence) slow(service, class, name string, elapsed time.Duration) bool {
	e.mu.RLock()
	reference := e.references[service]
	e.mu.RUnlock()
	return reference != nil && reference.Slow(class, name, elapsed, time.Now())
}

// apply follows a change of the configuration.
func (e *Evidence) apply(change control.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range change.Removed {
		delete(e.references, name)
	}
	for _, s := range change.Changed {
		reference, ok := e.references[s.Name]
		if !ok {
			reference = outlier.NewReference()
			e.references[s.Name] = reference
		}
		reference.Retain(carawayhold.EndpointNames(s))
	}
}
