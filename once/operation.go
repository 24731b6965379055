package once

// ClaimRequest claims a key, which permits sending the request to an endpoint.
type ClaimRequest struct {
	Key         Key         `msgpack:"key"`
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	Claim       ClaimID     `msgpack:"claim"`
	// Claimant is the incarnation of the process that makes the claim.
	Claimant string `msgpack:"claimant"`
	// AbandonedClaim is the recorded claim to take over, which its claimant
	// reported as abandoned; zero if none.
	AbandonedClaim ClaimID `msgpack:"takeOver"`
	// RetentionMillis is how long the record is kept, in milliseconds.
	RetentionMillis int64 `msgpack:"retentionMillis"`
	// RequireTimedKey means that the service accepts only UUIDv7 keys.
	RequireTimedKey bool `msgpack:"timed"`
	// KeyTimeMillis is the creation time of a UUIDv7 key in Unix milliseconds, or
	// 0 if the key is not a UUIDv7.
	KeyTimeMillis int64 `msgpack:"keyMillis"`
}

// DecisionKind is the kind of a decision about a claim or a lookup.
type DecisionKind string

// The decisions.
const (
	// DecisionGranted: the claim is recorded once the update has taken effect.
	DecisionGranted DecisionKind = "granted"
	// DecisionHeld: another claim is recorded; query its claimant.
	DecisionHeld DecisionKind = "held"
	// DecisionAnswered: the response is recorded.
	DecisionAnswered DecisionKind = "answered"
	// DecisionUnknown: the request may have run.
	DecisionUnknown DecisionKind = "unknown"
	// DecisionMismatch: the key was used with another fingerprint.
	DecisionMismatch DecisionKind = "mismatch"
	// DecisionFull: the request has not run and the partition has no room for its record.
	DecisionFull DecisionKind = "full"
	// DecisionBadKey: the request has not run, and its key is not a UUIDv7 or has
	// a creation time more than ClockMargin in the future.
	DecisionBadKey DecisionKind = "bad-key"
	// DecisionTooOld: a timed key is older than the retention and has no record.
	DecisionTooOld DecisionKind = "too-old"
	// DecisionReleased: no claim of the key has run. A claim gets this decision
	// if the record shows that this same claim was released; a lookup gets it
	// for every released record.
	DecisionReleased DecisionKind = "released"
	// DecisionAbsent: there is no record. Only lookups get it.
	DecisionAbsent DecisionKind = "absent"
)

// Decision is the result of a claim or a lookup against one version of a partition.
type Decision struct {
	Kind DecisionKind `msgpack:"kind"`
	// Claim and Claimant are those of the record found, for DecisionHeld.
	Claim    ClaimID   `msgpack:"claim"`
	Claimant string    `msgpack:"claimant"`
	Response *Response `msgpack:"response"`
}

// NotRun reports whether the decision proves that no submission of the key had
// run as of the partition version that it was made against.
func (d Decision) NotRun() bool {
	switch d.Kind {
	case DecisionGranted, DecisionFull, DecisionBadKey, DecisionReleased:
		return true
	default:
		return false
	}
}

// Lookup queries the recorded outcome of a key.
type Lookup struct {
	Key Key `msgpack:"key"`
}

// Settlement records the outcome of a claim.
type Settlement struct {
	Key   Key     `msgpack:"key"`
	Claim ClaimID `msgpack:"claim"`
	// State is answered, released or unknown.
	State    State     `msgpack:"state"`
	Response *Response `msgpack:"response"`
	// RetentionMillis is how long the record is kept after the settlement, in
	// milliseconds.
	RetentionMillis int64 `msgpack:"retentionMillis"`
	// ClaimedMillis is when the claim was made, in Unix milliseconds by the
	// claimant's clock.
	ClaimedMillis int64 `msgpack:"claimedMillis"`
}

// SettleResult is the result of applying a settlement.
type SettleResult string

// The results of a settlement.
const (
	// SettleStored: the record holds this outcome.
	SettleStored SettleResult = "stored"
	// SettleSuperseded: the record was deleted, belongs to another claim or holds
	// an outcome that takes precedence. The settlement need not be retried.
	SettleSuperseded SettleResult = "superseded"
)
