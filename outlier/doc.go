// Package outlier finds endpoints with gray failures from the outcomes of real
// requests.
//
// Every proxy counts outcomes per endpoint and kind in a Recorder and sends
// them as a Report to the service's evaluators. A LatencyBaseline decides which
// responses are slow. An Evaluator sums the reports of all proxies and runs one
// sequential test (CUSUM of Bernoulli log-likelihood ratios) per endpoint and
// kind against the rate of the service's other endpoints, so that trouble of
// the whole service makes no endpoint an outlier. Its Suspects are proposed to
// the ejection ledger. LocalWeights reduces the weight of suspected endpoints in one
// proxy when no ejection can be agreed. Probes shares probes of ejected
// endpoints among proxies of different zones.
//
// The package does no I/O, starts no goroutines and reads no clock.
package outlier
