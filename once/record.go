package once

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// State is the state of a record.
type State string

// The states of a record.
const (
	// StateClaimed: the claimant may send or have sent the request, or may have
	// abandoned the claim.
	StateClaimed State = "claimed"
	// StateAnswered: the backend's response is recorded. This state is final.
	StateAnswered State = "answered"
	// StateReleased: no claim of the key has run, so the key may be claimed again.
	StateReleased State = "released"
	// StateUnknown: the request may have run. Only StateAnswered may follow.
	StateUnknown State = "unknown"
)

// Record is the stored state of one key.
type Record struct {
	Key         Key         `json:"k"`
	Fingerprint Fingerprint `json:"f"`
	Claim       ClaimID     `json:"c"`
	// Claimant is the incarnation of the process that made the claim.
	Claimant string    `json:"m"`
	State    State     `json:"s"`
	Response *Response `json:"r,omitempty"`
	// DeadlineMillis is the Unix time in milliseconds after which the record
	// may be deleted.
	DeadlineMillis int64 `json:"d"`
}

func (r *Record) expired(now time.Time) bool {
	return now.Add(-ClockMargin).UnixMilli() > r.DeadlineMillis
}

// canTransitionTo reports whether the record may be replaced by next. A nil
// record means that there is none yet. abandonedClaim is the claim that a new
// claim takes over, or zero.
func (r *Record) canTransitionTo(next *Record, abandonedClaim ClaimID) bool {
	if r == nil || r.State == StateReleased {
		return next.State == StateClaimed
	}
	sameClaim := r.Claim == next.Claim && r.Claimant == next.Claimant &&
		r.Key == next.Key && r.Fingerprint == next.Fingerprint
	switch r.State {
	case StateClaimed:
		if next.State == StateClaimed {
			return !abandonedClaim.IsZero() && abandonedClaim == r.Claim && next.Claim != r.Claim
		}
		return sameClaim
	case StateUnknown:
		return sameClaim && next.State == StateAnswered
	default:
		return false
	}
}

// entry is a record with its JSON encoding.
type entry struct {
	record  Record
	encoded []byte
}

func newEntry(record Record) (entry, error) {
	encoded, err := json.Marshal(&record)
	if err != nil {
		return entry{}, eris.Wrapf(err, "once: cannot encode the record of key %s", record.Key)
	}
	return entry{record: record, encoded: encoded}, nil
}
