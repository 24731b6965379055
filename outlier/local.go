package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/config"
)

const (
	// LeastWeight is the least share of its fair weight that a suspected
	// endpoint keeps. It must keep receiving work, because reduced weight is not
	// agreed with the other proxies.
	LeastWeight = 1.0 / 16
	// localHalfLife lets a reduced endpoint recover without traffic.
	localHalfLife = 20 * time.Second
	// reduceFrom is the share of the threshold at which reduction starts.
	reduceFrom = 0.5
)

// LocalWeights reduces the weight of endpoints that one proxy suspects by its own
// evidence. It is not safe for concurrent use.
type LocalWeights struct {
	evaluator *Evaluator
}

// NewLocalWeights returns a local reduction for one service in one proxy.
func NewLocalWeights(w config.Weighting, opts ...EvaluatorOption) *LocalWeights {
	e := NewEvaluator(w, opts...)
	e.localOnly = true
	e.halfLife = localHalfLife
	return &LocalWeights{evaluator: e}
}

// Add takes the proxy's own report.
func (l *LocalWeights) Add(r Report, now time.Time) { l.evaluator.Add(r, now) }

// RetainOnly forgets all endpoints but the given.
func (l *LocalWeights) RetainOnly(endpoints []string) { l.evaluator.RetainOnly(endpoints) }

// Weights returns the weights below 1 by endpoint, between LeastWeight and 1. At
// most len(endpoints)-floor endpoints are reduced, the worst first.
func (l *LocalWeights) Weights(endpoints []string, floor int, now time.Time) map[string]float64 {
	type scored struct {
		endpoint string
		evidence float64
	}
	var reduced []scored
	for _, name := range endpoints {
		evidence, _, threshold := l.evaluator.Evidence(name, now)
		if share := evidence / threshold; share > reduceFrom {
			reduced = append(reduced, scored{endpoint: name, evidence: share})
		}
	}
	slices.SortFunc(reduced, func(a, b scored) int {
		if c := cmp.Compare(b.evidence, a.evidence); c != 0 {
			return c
		}
		return cmp.Compare(a.endpoint, b.endpoint)
	})
	most := max(0, len(endpoints)-floor)
	weights := make(map[string]float64)
	for _, s := range reduced[:min(most, len(reduced))] {
		weights[s.endpoint] = weightFor(s.evidence)
	}
	return weights
}

// weightFor falls geometrically from 1 at reduceFrom to LeastWeight at the
// threshold.
func weightFor(share float64) float64 {
	depth := min(1, (share-reduceFrom)/(1-reduceFrom))
	return math.Pow(LeastWeight, depth)
}
