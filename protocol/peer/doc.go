// Package peer is the transport for messages between the proxies of a fleet over TCP. A
// frame is a length of 4 bytes (big endian, at most 1 MiB) followed by an Envelope in
// msgpack. A frame of length zero is a heartbeat.
//
// A Transport is a watermill publisher and subscriber, and supports requests with a
// deadline. Messages are delivered at most once. Queues are bounded. If a queue is full, a
// new message replaces the oldest evidence or load report in it; without one, sending
// fails immediately. Sending also fails immediately while a peer is unreachable.
//
// Each direction between two proxies has its own connection. It is opened on first use,
// carries a heartbeat every second both ways, and is closed after 3 s without any byte or
// 15 s without any message.
package peer
