// Package placement decides for all proxies which endpoint of a service runs a
// request, which request waits and which is refused. It holds one view of a
// service: work in flight, evidence and the retry budget. It does no I/O, starts
// no goroutines and reads no clock.
//
// The member that holds the view of a service answers the requests of all others.
// A proxy that cannot reach it decides with a view of its own.
package placement
