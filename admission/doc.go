// Package admission decides which requests of a service wait, run, or are
// refused. Each class has a bounded queue and a priority. A request that cannot
// meet its deadline at the current service rate is refused on arrival, and one
// that can no longer meet it is given up at once; in both cases the caller gets
// an immediate answer with the time after which to retry.
//
// A Controller is pure: it does no I/O and reads no clock. The proxy calls Admit
// when a request arrives, Next when an endpoint has room, Done when an attempt
// ends, and Expire on a timer. It is not safe for concurrent use.
package admission
