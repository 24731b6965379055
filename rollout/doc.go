// Package rollout decides which configuration a process holds and how a new
// one is committed. It does no I/O, starts no goroutine and reads no clock.
//
// The platform object [HeadName] holds a [Head]: a revision, an index of
// documents with their digests, and the newest audit entries. [Head.Commit]
// computes the writes of a change; one conditional update of the head makes it
// take effect. A [Holder] applies only a higher revision, and only when every
// document matches its digest. [Freshness] decides whether the process may
// serve with what it holds.
package rollout
