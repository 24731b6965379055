// Package balance picks the endpoint for an attempt. All proxies of the fleet
// share the few slots of each endpoint, so each proxy keeps an adaptive
// concurrency limit per endpoint, with additive increase, and multiplicative
// decrease when the endpoint sheds. With a limit below one, the proxy waits
// between two attempts at the endpoint.
//
// A Pool draws two of the usable endpoints at random according to their weights
// and picks the one with the lower load relative to its limit. It does no I/O and
// reads no clock; it is not safe for concurrent use.
package balance
