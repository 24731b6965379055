// Package rollout decides how a configuration change is committed and which
// configuration a process applies. It does no I/O, starts no goroutine and reads
// no clock.
//
// A configuration consists of one document per service and a [Head], stored as
// the platform object [HeadName]: a revision, an index of the documents with
// their digests, and the newest audit entries. [Head.Commit] computes the writes
// of a change, which takes effect when the head is replaced by a conditional
// update. A [Holder] keeps the configuration of one process. It applies another
// only if the revision is higher and every document matches its digest.
// [Freshness] decides whether the process may serve with its configuration.
package rollout
