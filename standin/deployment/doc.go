// Package deployment stands in for the deployment platform in tests: its object
// store, endpoints that register there, its callers, and relays that disturb
// connections. Each part counts what it sees, so that tests check promises from
// outside the proxies.
package deployment
