package once

// ClaimRequest asks for the right to send one request to an endpoint.
type ClaimRequest struct {
	Key         Key         `msgpack:"key"`
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	Claim       ClaimID     `msgpack:"claim"`
	// Claimant is the incarnation of the asking process.
	Claimant string `msgpack:"claimant"`
	// AbandonedClaim names the claim that its claimant declared abandoned; zero if none.
	AbandonedClaim ClaimID `msgpack:"takeOver"`
	// RetentionMillis is how long the record is kept, in milliseconds.
	RetentionMillis int64 `msgpack:"retentionMillis"`
	// RequireTimedKey means that the service accepts only UUIDv7 keys.
	RequireTimedKey bool `msgpack:"timed"`
	// KeyTimeMillis is the Unix time in milliseconds in a UUIDv7 key, 0 if the key
	// is none.
	KeyTimeMillis int64 `msgpack:"keyMillis"`
}

// DecisionKind is what a partition says about a claim or a lookup.
type DecisionKind string

// The decisions.
const (
	// DecisionGranted: the claim is in the record once the update took effect.
	DecisionGranted DecisionKind = "granted"
	// DecisionHeld: another claim is recorded; ask its claimant.
	DecisionHeld DecisionKind = "held"
	// DecisionAnswered: the response is recorded.
	DecisionAnswered DecisionKind = "answered"
	// DecisionUnknown: the key may have run.
	DecisionUnknown DecisionKind = "unknown"
	// DecisionMismatch: the key was used with another fingerprint.
	DecisionMismatch DecisionKind = "mismatch"
	// DecisionFull: the key has not run and there is no room for its record.
	DecisionFull DecisionKind = "full"
	// DecisionBadKey: the key has not run and is not a UUIDv7 of about now.
	DecisionBadKey DecisionKind = "bad-key"
	// DecisionTooOld: a timed key is older than the retention and has no record.
	DecisionTooOld DecisionKind = "too-old"
	// DecisionReleased: the recorded claims of the key have not run, and the
	// asking claim was withdrawn; or the answer to a lookup.
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

// NotRun reports whether the decision shows that no claim of the key had run
// in the version of the partition that it was made against.
func (d Decision) NotRun() bool {
	switch d.Kind {
	case DecisionGranted, DecisionFull, DecisionBadKey, DecisionReleased:
		return true
	default:
		return false
	}
}

// Lookup asks for the recorded outcome of a key.
type Lookup struct {
	Key Key `msgpack:"key"`
}

// Settlement records how a claim ended.
type Settlement struct {
	Key   Key     `msgpack:"key"`
	Claim ClaimID `msgpack:"claim"`
	// State is answered, released or unknown.
	State    State     `msgpack:"state"`
	Response *Response `msgpack:"response"`
	// RetentionMillis is how long the record is kept from now, in milliseconds.
	RetentionMillis int64 `msgpack:"retentionMillis"`
	// ClaimedMillis is the claimant's Unix time in milliseconds at which the
	// claim was made.
	ClaimedMillis int64 `msgpack:"claimedMillis"`
}

// SettleResult is what became of a settlement.
type SettleResult string

// The results of a settlement.
const (
	// SettleStored: the record shows this outcome.
	SettleStored SettleResult = "stored"
	// SettleSuperseded: the record is gone, belongs to another claim or holds a
	// stronger outcome; there is nothing left to record.
	SettleSuperseded SettleResult = "superseded"
)
