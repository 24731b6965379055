// Package once ensures that a non-repeatable request is executed at most once.
// It contains the decision logic only: it does no I/O, starts no goroutine and
// reads no clock.
//
// A request is identified by a [Key], derived from its Idempotency-Key header,
// and a [Fingerprint] of its content. A process claims the key before it sends
// the request to an endpoint: a conditional update writes a [Record] with the
// claim to a [Partition], a stored object that holds many records. The process
// that made the claim, the claimant, drives a [Claim] through its states and
// finally records the outcome as a [Settlement].
//
// [Partition.Apply] decides a batch of claims and settlements against one
// version of the partition. It is idempotent: if the response to a write was
// lost, applying the same batch to the partition that is read back shows
// whether the write took effect.
//
// The outcome not-run of a submission means that no submission of the key had
// run when the outcome was decided, and that this submission never will. A
// submission that could not read the record therefore ends as unknown, unless
// the caller declared that it had never submitted the key before.
//
// A partition holds about 4,100 records without response bodies, and fewer with
// them (TestFullPartition). Over the default retention of 24 h, 64 partitions
// therefore sustain about 3 requests a second per service. A higher rate needs
// a shorter retention or more partitions.
package once
