// Package placement schedules the requests of a service: it decides which endpoint runs
// a request, which requests wait in a queue and which are refused. A Scheduler holds
// one view of one service: the attempts in flight, the evidence about its endpoints and
// the retry budget. The package does no I/O, starts no goroutines and reads no clock.
//
// One member of the fleet, the owner of the service, decides for all proxies. A proxy
// that cannot reach the owner decides by its own view.
package placement
