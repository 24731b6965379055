// Package proxylog reads the structured logs of proxies. It finds the lines that explain
// the result of one request, and counts the requests that were not served.
package proxylog
