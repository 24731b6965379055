// Package detection simulates a fleet of proxies in front of one service. It
// measures how soon an endpoint with a gray failure stops receiving requests,
// and how often a healthy endpoint is ejected. The decisions are made by the
// packages outlier and ejection; only requests, endpoints, network and
// platform are simulated.
package detection
