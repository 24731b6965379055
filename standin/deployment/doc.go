// Package deployment simulates the deployment platform in tests: its object store,
// backend servers that register there, callers, and TCP relays that inject network
// faults. Each part records what it observes, so that tests verify the guarantees of
// the proxies from outside.
package deployment
