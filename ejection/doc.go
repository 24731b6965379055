// Package ejection keeps the per-service ledger of ejected endpoints and the
// capacity floor (P1): however many proxies hold old copies, the endpoints that
// any of them treats as ejected never leave fewer than the configured floor.
//
// The ledger is one JSON object per service, changed only by conditional
// update. A Draft applies changes to a ledger that was read and yields the
// value to write. A View is one proxy's copy with its validity, counted on the
// proxy's own monotonic clock from the moment the read was sent.
//
// The floor rests on three rules. A copy that lists an endpoint as ejected
// expires Validity after its read was sent. An endpoint on its way back stays
// in the ledger as returning, still counted as lost, until a proxy has seen
// that same returning entry for RemoveHold, which outlasts every such copy. A
// new ejection must leave the floor with all entries counted.
//
// Every proxy refreshes its View of each service every 5 s from the platform, or
// from a peer while the platform gives no answer, and keeps EjectedWithin out of
// selection until ValidUntil. An evaluator also turns its View's Ledger into a
// Draft with Remove, Return and Propose, writes the result of Finish if Changed,
// and passes it to ObservePlatform when the write succeeded. After a conflict or
// a lost response it reads again and asks Write.Outcome.
//
// The package does no I/O, starts no goroutines and reads no clock. Pass
// time.Time values as returned by time.Now, because only they carry the
// monotonic reading.
package ejection
