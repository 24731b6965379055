// Package membership tracks the proxies of a fleet: which are live, which are
// suspected, and which left. A Node is a pure state machine: it does no I/O,
// starts no goroutine and reads no clock. The caller feeds it received messages
// and ticks, and sends the messages that it returns.
//
// The protocol is a variant of SWIM. In each period of 1 s a node pings one member, and
// requests indirect pings from three others if no ack arrives. A member that
// does not answer is suspected for 5 s and then declared dead, unless it refutes
// the suspicion with a higher counter. Messages carry at most MaxUpdates
// membership updates, so the message rate and size of a node do not depend on
// the number of members.
package membership
