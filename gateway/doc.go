// Package gateway runs a proxy of a fleet whose endpoints register themselves and
// whose configuration is written by an operator into a store. All proxies are
// alike. A few of them, the hubs, watch the store and tell the others; one hub a
// service places the requests of all proxies. A proxy that hears no hub reads the
// store itself and decides alone.
package gateway
