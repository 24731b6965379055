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
	references map[string]*outlier.LatencyBaseline
}

// NewEvidence returns evidence that is counted in recorder. The function
// answered is told what the responses say about the processes of endpoints.
func NewEvidence(
	recorder *outlier.Recorder, answered func(address string, generation int64, draining bool),
) *Evidence {
	return &Evidence{recorder: recorder, answered: answered, references: map[string]*outlier.LatencyBaseline{}}
}

var kinds = map[endpoint.Kind]outlier.Kind{
	endpoint.KindOK:      outlier.KindOK,
	endpoint.KindInvalid: outlier.KindInvalid,
	endpoint.KindError:   outlier.KindError,
	endpoint.KindTimeout: outlier.KindTimeout,
	endpoint.KindRefused: outlier.KindRefused,
	endpoint.KindShed:    outlier.KindShed,
}

// Record takes the result of one attempt.
func (e *Evidence) Record(service, class, name, address string, result *endpoint.Result) {
	if result.Draining() || result.Generation() != 0 {
		e.answered(address, result.Generation(), result.Draining())
	}
	if result.UnresponsiveConnection() {
		e.recorder.Record(service, name, result.Generation(), outlier.KindUnresponsive)
	}
	kind, ok := kinds[result.Kind()]
	if !ok {
		return
	}
	if kind == outlier.KindOK && e.slow(service, class, name, result.Elapsed()) {
		kind = outlier.KindSlow
	}
	e.recorder.Record(service, name, result.Generation(), kind)
}

func (e *Evidence) slow(service, class, name string, elapsed time.Duration) bool {
	e.mu.RLock()
	reference := e.references[service]
	e.mu.RUnlock()
	return reference != nil && reference.Observe(class, name, elapsed, time.Now())
}

// exceeds reports whether a trial was slower than the other endpoints allow. It
// records nothing, because the endpoint is not in service.
func (e *Evidence) exceeds(service, class, name string, elapsed time.Duration) bool {
	e.mu.RLock()
	reference := e.references[service]
	e.mu.RUnlock()
	if reference == nil {
		return false
	}
	limit, known := reference.Threshold(class, name)
	return known && elapsed > limit
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
			reference = outlier.NewLatencyBaseline()
			e.references[s.Name] = reference
		}
		reference.RetainOnly(carawayhold.EndpointNames(s))
	}
}
