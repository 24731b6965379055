// Package admission decides whether requests of a service wait, run, or are
// refused. Each class has a bounded queue and a priority. A request that cannot
// meet its deadline at the current dispatch rate is refused on arrival, and a
// waiting request that can no longer meet it is dropped; in both cases the
// caller gets an immediate response with the time after which to retry.
//
// A Controller does no I/O and reads no clock. The proxy calls Admit when a
// request arrives, Next when an endpoint has capacity, Done when an attempt ends,
// and Expire on a timer. It is not safe for concurrent use.
package admission
