// Package detection simulates a fleet of proxies in front of one service and
// measures how soon an endpoint with a gray failure stops receiving work, and
// how often a healthy one is removed. The decisions are those of the packages
// outlier and ejection; only requests, endpoints, network and platform are
// simulated.
package detection
