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
	// nullPrior and overloadPrior are the weights of the minimum in requests
	// while the other endpoints have few, in the long and the short memory.
	nullPrior     = 100
	overloadPrior = 10
	// alternativeRatio and alternativeStep give the failure rate to detect:
	// whichever is higher of ratio times the null rate and null plus step.
	alternativeRatio = 3
	alternativeStep  = 0.1
	// alternativeMaximum keeps the likelihood of a success above zero.
	alternativeMaximum = 0.95
	// wrongAlternative is the rate of wrong responses to detect. It makes each
	// one count about 5, so that two or three suffice.
	wrongAlternative = 0.02
	// nullLimit is the null rate above which nobody is an outlier: the whole
	// service is in trouble.
	nullLimit = 0.4
	// twoZoneShare is the least share of the threshold that a second zone must
	// contribute to path evidence.
	twoZoneShare = 0.2
	// insufficientCap is the share of the threshold that evidence can reach
	// which may be about the path, a short interruption or the whole service.
	insufficientCap = 0.9
	// reporterCap is the share of the threshold that path evidence from one
	// reporter can reach in a large fleet, so that a few partitioned proxies in
	// two zones do not eject an endpoint that the others reach.
	reporterCap = 1.0 / 6
	// evidenceLimit is the multiple of the threshold at which evidence stops
	// growing, so that an endpoint that has recovered is soon no suspect.
	evidenceLimit = 1.1
	// remainder is the share of the threshold that must remain without the worst
	// stretch. One or two chance failures before or after it do not reach it.
	remainder = 0.6
	// stretchMemory is how far back the worst stretch is looked for.
	stretchMemory = 30 * time.Second
	// troubleShare is the share of the endpoints beyond which failures of
	// troubleRate are trouble of the service and not of one endpoint. Removing
	// capacity would make it worse.
	troubleShare = 1.0 / 3
	troubleRate  = 0.1
	// evidenceHalfLife fades evidence that no newer request confirms.
	evidenceHalfLife = 60 * time.Second
	// nullHalfLife and overloadHalfLife are the memories of the null rate. The
	// short one follows a sudden overload of the whole service.
	nullHalfLife     = 60 * time.Second
	overloadHalfLife = 4 * time.Second
	// DefaultWarmUp is how long slowness of a new generation does not count.
	DefaultWarmUp = 10 * time.Second
)

// settings are the parts of the test that depend on the weighting.
type settings struct {
	// threshold is the log-likelihood ratio at which an endpoint is suspected.
	threshold float64
	// interruption is the length of an interruption of a healthy endpoint that
	// must not suffice, and 1 s over which its reports spread: without the worst
	// stretch of that length, the evidence must still reach remainder of the
	// threshold. Wrong responses are exempt.
	interruption time.Duration
}

func settingsFor(w config.Weighting) settings {
	switch w {
	case config.WeightingDetection:
		return settings{threshold: 7, interruption: 3500 * time.Millisecond}
	case config.WeightingFalseEjections:
		return settings{threshold: 14, interruption: 5 * time.Second}
	default:
		return settings{threshold: 10, interruption: 4 * time.Second}
	}
}
