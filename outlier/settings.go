package outlier

import (
	"time"

	"github.com/carawayhold/carawayhold/config"
)

// Sequential test constants. docs/measurements/detection.md has the runs they
// were chosen by.
const (
	// nullMinimum is the least null rate. A lower one would make an endpoint an
	// outlier for one failure among thousands of requests.
	nullMinimum = 0.005
	// wrongNullMinimum is lower, because a healthy endpoint gives no wrong
	// responses at all.
	wrongNullMinimum = 1e-4
	// nullPrior is the weight of the minimum in requests while the other
	// endpoints have few.
	nullPrior = 100
	// alternativeRatio and alternativeStep give the failure rate to detect:
	// whichever is higher of ratio times the null rate and null plus step.
	alternativeRatio = 3
	alternativeStep  = 0.1
	// alternativeMaximum keeps the likelihood of a success above zero.
	alternativeMaximum = 0.95
	// nullLimit is the null rate above which nobody is an outlier: the whole
	// service is in trouble.
	nullLimit = 0.4
	// twoZoneShare is the least share of the threshold that a second zone must
	// contribute to path evidence.
	twoZoneShare = 0.2
	// pathCap is the share of the threshold that path evidence from one zone
	// can reach.
	pathCap = 0.9
	// reporterCap is the share of the threshold that path evidence from one
	// reporter can reach in a large fleet, so that a few partitioned proxies in
	// two zones do not eject an endpoint that the others reach.
	reporterCap = 0.125
	// evidenceHalfLife fades evidence that no newer request confirms.
	evidenceHalfLife = 60 * time.Second
	// nullHalfLife and overloadHalfLife are the memories of the null rate. The
	// short one follows a sudden overload of the whole service.
	nullHalfLife     = 60 * time.Second
	overloadHalfLife = 2 * time.Second
	// DefaultWarmUp is how long slowness of a new generation does not count.
	DefaultWarmUp = 10 * time.Second
)

// settings are the parts of the test that depend on the weighting.
type settings struct {
	// threshold is the log-likelihood ratio at which an endpoint is suspected.
	threshold float64
	// intervals is the least number of report intervals over which the evidence
	// must be spread, so that one short interruption does not suffice.
	intervals float64
}

func settingsFor(w config.Weighting) settings {
	switch w {
	case config.WeightingDetection:
		return settings{threshold: 6, intervals: 2}
	case config.WeightingFalseEjections:
		return settings{threshold: 14, intervals: 8}
	default:
		return settings{threshold: 9, intervals: 4}
	}
}
