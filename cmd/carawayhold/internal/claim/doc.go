// Package claim runs at-most-once execution in a proxy: it joins the decisions
// of package once to the platform's object API and to the other proxies.
//
// [Coordinator.Claim] obtains the right to send a request, or the final
// outcome of the submission. Claims go to the home proxy of the partition,
// which decides all waiting operations in one conditional update while the
// previous one is in flight; if the home proxy cannot be reached, the
// coordinator updates the object itself. [Coordinator.Settle] ends a claim and
// records its outcome in the background. [Coordinator.Outcome] answers an
// outcome query.
package claim
