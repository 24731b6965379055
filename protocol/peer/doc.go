// Package peer carries messages between the proxies of a fleet over TCP. A frame
// is a length of 4 bytes (big endian, at most 1 MiB) followed by a msgpack
// Envelope; a frame of length zero is a heartbeat.
//
// A Transport is a watermill publisher and subscriber, and answers requests with
// a deadline. Messages are delivered at most once. Queues are bounded: evidence
// and load messages displace the oldest, everything else fails at once when a
// queue is full or the peer cannot be reached.
//
// Each direction between two proxies has its own connection. It is opened on
// first use, carries a heartbeat every second both ways, and is closed after 3 s
// without any byte or 15 s without any message.
package peer
