// Package proxylog reads the structured logs of proxies and finds what decided a request.
package proxylog
