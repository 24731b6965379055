package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/config"
)

const (
	// MinWeight is the lowest relative weight of a suspected endpoint. The
	// endpoint must keep receiving requests, because the proxies do not agree on
	// reduced weights.
	MinWeight = 1.0 / 16
	// localHalfLife is short, so that an endpoint with reduced weight recovers
	// without traffic.
	localHalfLife = 20 * time.Second
	// reductionStart is the share of the threshold above which the weight is
	// reduced.
	reductionStart = 0.5
)

// LocalWeights reduces the weight of endpoints that one proxy suspects from its
// own counts alone. It is not safe for concurrent use.
type LocalWeights struct {
	evaluator *Evaluator
}

// NewLocalWeights returns the local weights for one service in one proxy.
func NewLocalWeights(w config.Weighting, opts ...EvaluatorOption) *LocalWeights {
	e := NewEvaluator(w, opts...)
	e.localOnly = true
	e.halfLife = localHalfLife
	return &LocalWeights{evaluator: e}
}

// Add adds a report of the proxy itself.
func (l *LocalWeights) Add(r Report, now time.Time) { l.evaluator.Add(r, now) }

// RetainOnly drops the state of all endpoints except the given ones.
func (l *LocalWeights) RetainOnly(endpoints []string) { l.evaluator.RetainOnly(endpoints) }

// Weights returns the endpoints whose weight is below 1, and their weights from
// MinWeight to 1. At most len(endpoints)-floor endpoints are reduced, those with
// the strongest evidence first.
func (l *LocalWeights) Weights(endpoints []string, floor int, now time.Time) map[string]float64 {
	type scored struct {
		endpoint string
		evidence float64
	}
	var reduced []scored
	for _, name := range endpoints {
		evidence, _, threshold := l.evaluator.Evidence(name, now)
		if share := evidence / threshold; share > reductionStart {
			reduced = append(reduced, scored{endpoint: name, evidence: share})
		}
	}
	slices.SortFunc(reduced, func(a, b scored) int {
		if c := cmp.Compare(b.evidence, a.evidence); c != 0 {
			return c
		}
		return cmp.Compare(a.endpoint, b.endpoint)
	})
	maxReduced := max(0, len(endpoints)-floor)
	weights := make(map[string]float64)
	for _, s := range reduced[:min(maxReduced, len(reduced))] {
		weights[s.endpoint] = weightFor(s.evidence)
	}
	return weights
}

// weightFor returns a weight that falls geometrically from 1 at reductionStart to
// MinWeight at the threshold. The share is the evidence relative to the threshold.
func weightFor(share float64) float64 {
	depth := min(1, (share-reductionStart)/(1-reductionStart))
	return math.Pow(MinWeight, depth)
}
