package once

import (
	"math"
	"time"
)

// update is one application of a batch. It copies the partition on the first change.
type update struct {
	now     time.Time
	from    *Partition
	next    *Partition
	changed bool
	// superseded holds the outcomes of sent work that find another claim.
	superseded []*Settlement
}

func (u *update) mutable() *Partition {
	if !u.changed {
		u.next = u.from.clone()
		u.changed = true
	}
	return u.next
}

// deleteExpired removes records whose retention is over. It alone causes no
// write: the removal is written with the next operation that changes something.
func (u *update) deleteExpired() {
	if u.now.Add(-ClockMargin).UnixMilli() <= u.from.nextDeadline {
		return
	}
	kept := u.from.clone()
	kept.nextDeadline = math.MaxInt64
	for k, e := range u.from.entries {
		if e.record.expired(u.now) {
			kept.remove(k)
			continue
		}
		kept.nextDeadline = min(kept.nextDeadline, e.record.DeadlineMillis)
	}
	u.from = kept
	u.next = kept
}

func (u *update) find(key Key) *Record {
	found, ok := u.next.entries[key]
	if !ok {
		return nil
	}
	return &found.record
}

func (u *update) claim(c *ClaimRequest) (Decision, error) {
	found := u.find(c.Key)
	if found != nil && found.State != StateReleased {
		decision := decideRecorded(found, c)
		if decision.Kind != DecisionHeld || c.AbandonedClaim != found.Claim || c.AbandonedClaim == c.Claim {
			return decision, nil
		}
	}
	if found != nil && found.Claim == c.Claim {
		return Decision{Kind: DecisionReleased}, nil
	}
	if refusal := u.refuseTimed(c); refusal != "" && found == nil {
		return Decision{Kind: refusal}, nil
	}
	return u.grant(found, c)
}

// decideRecorded decides a claim against a record that is not released.
func decideRecorded(found *Record, c *ClaimRequest) Decision {
	if found.Fingerprint != c.Fingerprint {
		return Decision{Kind: DecisionMismatch}
	}
	switch {
	case found.State == StateAnswered:
		return Decision{Kind: DecisionAnswered, Response: found.Response}
	case found.State == StateUnknown:
		return Decision{Kind: DecisionUnknown}
	case found.Claim == c.Claim && found.Claimant == c.Claimant:
		return Decision{Kind: DecisionGranted}
	default:
		return Decision{Kind: DecisionHeld, Claim: found.Claim, Claimant: found.Claimant}
	}
}

// refuseTimed applies the rules of timed keys to a key without a record.
func (u *update) refuseTimed(c *ClaimRequest) DecisionKind {
	if !c.RequireTimedKey {
		return ""
	}
	if c.KeyTimeMillis == 0 || c.KeyTimeMillis > u.now.Add(ClockMargin).UnixMilli() {
		return DecisionBadKey
	}
	if u.now.UnixMilli()-c.KeyTimeMillis > c.RetentionMillis {
		return DecisionTooOld
	}
	return ""
}

func (u *update) grant(found *Record, c *ClaimRequest) (Decision, error) {
	// A key from a clock ahead of this one is accepted until its own time plus
	// the retention, so its record is kept as long.
	from := max(u.now.UnixMilli(), c.KeyTimeMillis)
	if !c.RequireTimedKey {
		from = u.now.UnixMilli()
	}
	record := Record{
		Key:            c.Key,
		Fingerprint:    c.Fingerprint,
		Claim:          c.Claim,
		Claimant:       c.Claimant,
		State:          StateClaimed,
		DeadlineMillis: from + c.RetentionMillis,
	}
	e, err := newEntry(record)
	if err != nil {
		return Decision{}, err
	}
	if u.next.reserved()+len(e.encoded)+settleReserveBytes > claimLimitBytes {
		return Decision{Kind: DecisionFull}, nil
	}
	if !u.replace(found, e, c.AbandonedClaim) {
		return Decision{Kind: DecisionUnknown}, nil
	}
	return Decision{Kind: DecisionGranted}, nil
}

func (u *update) settle(s *Settlement) (SettleResult, error) {
	found := u.find(s.Key)
	if found == nil || found.Claim != s.Claim {
		if found != nil && s.State != StateReleased && !u.retentionOver(s) {
			u.superseded = append(u.superseded, s)
		}
		return SettleSuperseded, nil
	}
	if found.State == s.State {
		return SettleStored, nil
	}
	if found.State == StateAnswered || found.State == StateUnknown && s.State == StateReleased {
		return SettleSuperseded, nil
	}
	record := *found
	record.State = s.State
	record.Response = s.Response
	record.DeadlineMillis = max(record.DeadlineMillis, u.now.UnixMilli()+s.RetentionMillis)
	e, err := newEntry(record)
	if err != nil {
		return "", err
	}
	old := len(u.next.entries[s.Key].encoded)
	if s.Response != nil && u.next.reserved()+len(e.encoded)-old > MaxValueBytes {
		without := s.Response.withoutContent()
		record.Response = &without
		if e, err = newEntry(record); err != nil {
			return "", err
		}
	}
	if !u.replace(found, e, ClaimID{}) {
		return SettleSuperseded, nil
	}
	return SettleStored, nil
}

// retentionOver reports whether the record of a settlement may have been
// deleted, so that another claim of the key is a new key.
func (u *update) retentionOver(s *Settlement) bool {
	return u.now.UnixMilli()-s.ClaimedMillis > s.RetentionMillis
}

func (u *update) lookup(key Key) Decision {
	found := u.find(key)
	if found == nil {
		return Decision{Kind: DecisionAbsent}
	}
	switch found.State {
	case StateAnswered:
		return Decision{Kind: DecisionAnswered, Response: found.Response}
	case StateReleased:
		return Decision{Kind: DecisionReleased}
	case StateClaimed:
		return Decision{Kind: DecisionHeld, Claim: found.Claim, Claimant: found.Claimant}
	default:
		return Decision{Kind: DecisionUnknown}
	}
}

// replace is the only place that changes a record.
func (u *update) replace(found *Record, next entry, takeOver ClaimID) bool {
	if !u.next.invariants.check(found.mayBecome(&next.record, takeOver), InvariantTransition,
		"key %s: %+v to %+v", next.record.Key, found, &next.record) {
		return false
	}
	u.mutable().put(next)
	return true
}
