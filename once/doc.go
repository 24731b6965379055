// Package once decides at-most-once execution of non-repeatable requests. It
// does no I/O, starts no goroutine and reads no clock.
//
// A request is identified by a [Key] and a [Fingerprint]. Before it may be sent
// to an endpoint, a record that names its claim is written to a [Partition] by
// a conditional update; [Partition.Apply] decides a batch of claims and
// settlements against one version of the partition, so that applying the same
// batch again after a lost write answer is the read-back. The process that
// made the claim drives a [Claim] through its states.
//
// The outcome not-run of a submission means: no submission of the key had run
// when the outcome was decided, and this submission never will. A submission
// that could not read the record therefore ends as unknown, unless the caller
// declared that it had never submitted the key before.
//
// A partition holds about 4,100 records without response bodies, and fewer with
// them (TestFullPartition). Over the default retention of 24 h, 64 partitions
// therefore sustain about 3 bookings a second per service; more needs a shorter
// retention or more partitions.
package once
