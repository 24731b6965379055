// Package gateway implements the proxy process of a fleet. Endpoints register
// themselves in a store, to which an operator also publishes the configuration. All
// proxies run the same code. A few of them, the hubs, watch the store and send
// changes to the other members. One hub per service, its owner, is chosen by rendezvous
// hashing and places the requests of all proxies. A proxy that reaches no hub reads the
// store itself and places requests using only its own view.
package gateway
