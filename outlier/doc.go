// Package outlier finds endpoints with gray failures from the outcomes of real
// requests.
//
// Every proxy counts outcomes per endpoint and kind in a Recorder and sends
// them as a Report to the service's evaluators. A LatencyBaseline decides which
// responses are slow. An Evaluator sums the reports of all proxies and runs one
// sequential test (CUSUM of Bernoulli log-likelihood ratios) per endpoint and
// kind. The null hypothesis is the failure rate of the service's other
// endpoints, so a failure of the whole service makes no endpoint an outlier.
// Suspects are proposed for ejection in the ledger. LocalWeights reduces the
// weight of suspected endpoints in one proxy while no ejection can be agreed.
// ProbeDue distributes the probes of ejected endpoints over proxies of
// different zones.
//
// The package does no I/O, starts no goroutines and reads no clock.
package outlier
