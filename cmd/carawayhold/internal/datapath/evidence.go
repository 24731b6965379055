package datapath

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold"
	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/control"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// EvidenceRecorder records the results of attempts for failure detection. It is safe
// for concurrent use.
type EvidenceRecorder struct {
	recorder *outlier.Recorder
	// onResponse is called with the generation and the draining flag of responses
	// that carry either.
	onResponse func(address string, generation int64, draining bool)

	mu        sync.RWMutex
	baselines map[string]*outlier.LatencyBaseline
}

// NewEvidenceRecorder returns an EvidenceRecorder that counts results in recorder. It calls
// onResponse for each response that carries the generation of the endpoint's
// process or declares that it is draining.
func NewEvidenceRecorder(
	recorder *outlier.Recorder, onResponse func(address string, generation int64, draining bool),
) *EvidenceRecorder {
	return &EvidenceRecorder{recorder: recorder, onResponse: onResponse, baselines: map[string]*outlier.LatencyBaseline{}}
}

var kinds = map[endpoint.Kind]outlier.Kind{
	endpoint.KindOK:      outlier.KindOK,
	endpoint.KindInvalid: outlier.KindInvalid,
	endpoint.KindError:   outlier.KindError,
	endpoint.KindTimeout: outlier.KindTimeout,
	endpoint.KindRefused: outlier.KindRefused,
	endpoint.KindShed:    outlier.KindShed,
}

// Record records the result of an attempt. Kinds of results that say nothing
// about the endpoint are not counted.
func (e *EvidenceRecorder) Record(service, class, name, address string, result *endpoint.Result) {
	if result.Draining() || result.Generation() != 0 {
		e.onResponse(address, result.Generation(), result.Draining())
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

func (e *EvidenceRecorder) slow(service, class, name string, elapsed time.Duration) bool {
	e.mu.RLock()
	baseline := e.baselines[service]
	e.mu.RUnlock()
	return baseline != nil && baseline.Observe(class, name, elapsed, time.Now())
}

// exceedsThreshold reports whether a probe was slower than the threshold derived
// from the other endpoints. It does not update the baseline, because the probed
// endpoint is ejected.
func (e *EvidenceRecorder) exceedsThreshold(service, class, name string, elapsed time.Duration) bool {
	e.mu.RLock()
	baseline := e.baselines[service]
	e.mu.RUnlock()
	if baseline == nil {
		return false
	}
	limit, known := baseline.Threshold(class, name)
	return known && elapsed > limit
}

// apply adds and removes baselines for a change of the configuration.
func (e *EvidenceRecorder) apply(change control.ConfigurationChange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range change.Removed {
		delete(e.baselines, name)
	}
	for _, s := range change.Changed {
		baseline, ok := e.baselines[s.Name]
		if !ok {
			baseline = outlier.NewLatencyBaseline()
			e.baselines[s.Name] = baseline
		}
		baseline.RetainOnly(carawayhold.EndpointNames(s))
	}
}
