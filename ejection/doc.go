// Package ejection maintains a ledger of ejected endpoints per service and
// guarantees the service's capacity floor: the endpoints that any proxy treats
// as ejected, taken together, always leave at least the configured number of
// endpoints, even if proxies use different versions of the ledger.
//
// The ledger is one stored JSON object per service, changed only by conditional
// update. A [Draft] applies changes to a ledger that was read and returns the
// value to write. A [View] is one proxy's copy of the ledger. It is valid for a
// limited time, which starts when the read is sent and is measured by the proxy's
// own clock.
//
// The floor is guaranteed by three rules:
//
//   - A copy that lists an endpoint as ejected expires [Validity] after its read
//     was sent.
//   - An endpoint that is readmitted stays in the ledger in [StateReturning] and
//     still counts as unavailable. A proxy may remove the entry once it has held
//     it for [RemoveHold], when every copy with the endpoint ejected has expired.
//   - A new ejection is allowed only if it leaves the floor with all entries
//     counted as unavailable.
//
// Every proxy refreshes its View of each service every 5 s from the platform, or
// from a peer while the platform does not respond, and does not pick the
// endpoints in [View.EjectedWithin] until [View.ValidUntil]. Proxies that
// evaluate a service also change its ledger: they create a Draft from the View's
// Ledger, call Remove, Return and Propose, write the result of Finish if Changed
// reports true, and pass it to ObservePlatform when the write succeeded. After a
// conflict or a lost response they read the ledger again and use
// [Write.Outcome].
//
// The package does no I/O, starts no goroutines and reads no clock. Pass
// time.Time values as returned by time.Now, because only they carry the
// monotonic reading.
package ejection
