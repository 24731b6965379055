// Package balance chooses the endpoint for an attempt. Endpoints have few slots
// that all proxies of the fleet share, so each proxy keeps an adaptive
// concurrency limit per endpoint: additive increase, multiplicative decrease on
// the endpoint's own declared shed responses. A limit below one means that the
// proxy waits between two attempts at the endpoint.
//
// Among the usable endpoints two are drawn at random according to their weights,
// and the one with less work relative to its limit is chosen. A Pool does no I/O
// and reads no clock; it is not safe for concurrent use.
package balance
