package outlier

import (
	"time"

	"github.com/carawayhold/carawayhold/config"
)

// Constants of the sequential tests. The measurements of their effect are in
// docs/measurements/detection.md.
const (
	// minNullRate is the lower bound of the null rate. Below it, one failure
	// among thousands of requests would make an endpoint an outlier.
	minNullRate = 0.005
	// minInvalidNullRate is lower, because a healthy endpoint returns no invalid
	// responses at all.
	minInvalidNullRate = 1e-4
	// longPriorWeight and shortPriorWeight are the weights of the minimum null
	// rate, as a number of requests, in the rates over longHalfLife and
	// shortHalfLife. They dominate while the other endpoints have few requests.
	longPriorWeight  = 100
	shortPriorWeight = 10
	// alternativeRatio and alternativeStep define the failure rate to detect:
	// the higher of null rate times ratio and null rate plus step.
	alternativeRatio = 3
	alternativeStep  = 0.1
	// maxAlternative keeps the likelihood of a success above zero.
	maxAlternative = 0.95
	// invalidAlternative is the rate of invalid responses to detect. Each one
	// then adds about 5 to the statistic, so that two or three suffice.
	invalidAlternative = 0.02
	// maxNullRate is the null rate above which no endpoint is an outlier,
	// because the whole service fails.
	maxNullRate = 0.4
	// minZoneShare is the share of the threshold that each of two zones must
	// contribute to evidence of path-related kinds.
	minZoneShare = 0.2
	// maxInsufficientShare caps, as a share of the threshold, evidence that may
	// result from the path, a short interruption or a failure of the whole service.
	maxInsufficientShare = 0.9
	// largeFleetReporterCap is the share of the threshold that one reporter can
	// contribute to path-related evidence in a large fleet, so that a few
	// partitioned proxies in two zones do not eject an endpoint that the others
	// reach.
	largeFleetReporterCap = 1.0 / 6
	// maxEvidenceRatio is the multiple of the threshold at which evidence stops
	// growing, so that an endpoint that has recovered soon drops below it.
	maxEvidenceRatio = 1.1
	// minRemainingShare is the share of the threshold that the evidence must
	// reach without its worst time window (settings.maxInterruption). One or two
	// random failures outside the window stay below it.
	minRemainingShare = 0.6
	// gainRetention is how far back the worst time window is searched.
	gainRetention = 30 * time.Second
	// If more than overloadEndpointShare of the endpoints fail at least
	// overloadFailureRate of their requests, the service counts as overloaded, and
	// ejections would only remove capacity from it.
	overloadEndpointShare = 1.0 / 3
	overloadFailureRate   = 0.1
	// evidenceHalfLife is the half-life of evidence without newer requests.
	evidenceHalfLife = 60 * time.Second
	// longHalfLife and shortHalfLife are the half-lives of the two counts from
	// which the null rate is computed. The short one follows a sudden overload of
	// the whole service.
	longHalfLife  = 60 * time.Second
	shortHalfLife = 4 * time.Second
	// DefaultWarmUp is how long slow responses of a new generation are ignored.
	DefaultWarmUp = 10 * time.Second
)

// settings are the parts of the test that depend on the weighting.
type settings struct {
	// threshold is the log-likelihood ratio at which an endpoint is suspected.
	threshold float64
	// maxInterruption is the longest interruption of a healthy endpoint that
	// must not lead to an ejection, plus 1 s over which its reports arrive.
	// Without the worst window of that length, the evidence must still reach
	// minRemainingShare of the threshold. Invalid responses are exempt.
	maxInterruption time.Duration
}

func settingsFor(w config.Weighting) settings {
	switch w {
	case config.WeightingDetection:
		return settings{threshold: 7, maxInterruption: 3500 * time.Millisecond}
	case config.WeightingFalseEjections:
		return settings{threshold: 14, maxInterruption: 5 * time.Second}
	default:
		return settings{threshold: 10, maxInterruption: 4 * time.Second}
	}
}
