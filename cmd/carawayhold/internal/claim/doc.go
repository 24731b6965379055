// Package claim implements at-most-once execution of requests in a proxy. It
// applies the rules of package once to records that are kept in the platform's
// object store, one object per partition.
//
// [Coordinator.Claim] returns the right to send a request, or the final outcome
// of the submission. Claims go to the home proxy of the partition, which
// batches the operations that arrive during one conditional update into the
// next one. If the home proxy is unreachable, the coordinator updates the object
// itself. [Coordinator.Settle] ends a claim and records its outcome in the
// background. [Coordinator.Outcome] looks up the outcome of an earlier
// submission.
package claim
