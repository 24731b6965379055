package once

import (
	"math"
	"time"
)

// update applies one batch to base. It copies the partition before the first change.
type update struct {
	now     time.Time
	base    *Partition
	next    *Partition
	changed bool
	// superseded holds the settlements of sent requests whose record belongs to
	// another claim.
	superseded []*Settlement
}

func (u *update) mutable() *Partition {
	if !u.changed {
		u.next = u.base.clone()
		u.changed = true
	}
	return u.next
}

// deleteExpired removes expired records. It does not set changed: the removal
// is written together with the next operation that changes a record.
func (u *update) deleteExpired() {
	if u.now.Add(-ClockMargin).UnixMilli() <= u.base.nextDeadline {
		return
	}
	kept := u.base.clone()
	kept.nextDeadline = math.MaxInt64
	for k, e := range u.base.entries {
		if e.record.expired(u.now) {
			kept.remove(k)
			continue
		}
		kept.nextDeadline = min(kept.nextDeadline, e.record.DeadlineMillis)
	}
	u.base = kept
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
		decision := decideExisting(found, c)
		if decision.Kind != DecisionHeld || c.AbandonedClaim != found.Claim || c.AbandonedClaim == c.Claim {
			return decision, nil
		}
	}
	if found != nil && found.Claim == c.Claim {
		return Decision{Kind: DecisionReleased}, nil
	}
	if rejection := u.rejectTimedKey(c); rejection != "" && found == nil {
		return Decision{Kind: rejection}, nil
	}
	return u.grant(found, c)
}

// decideExisting decides a claim of a key whose record is not released.
func decideExisting(found *Record, c *ClaimRequest) Decision {
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

// rejectTimedKey returns the decision that rejects a key without a record if the
// service requires timed keys, or "" if the key is accepted.
func (u *update) rejectTimedKey(c *ClaimRequest) DecisionKind {
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
	// A timed key is accepted until its creation time plus the retention. If the
	// clock that created it is ahead, that is later than now plus the retention,
	// and the record must be kept until then.
	retainFrom := max(u.now.UnixMilli(), c.KeyTimeMillis)
	if !c.RequireTimedKey {
		retainFrom = u.now.UnixMilli()
	}
	record := Record{
		Key:            c.Key,
		Fingerprint:    c.Fingerprint,
		Claim:          c.Claim,
		Claimant:       c.Claimant,
		State:          StateClaimed,
		DeadlineMillis: retainFrom + c.RetentionMillis,
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
		if found != nil && s.State != StateReleased && !u.retentionElapsed(s) {
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
		incomplete := s.Response.withoutContent()
		record.Response = &incomplete
		if e, err = newEntry(record); err != nil {
			return "", err
		}
	}
	if !u.replace(found, e, ClaimID{}) {
		return SettleSuperseded, nil
	}
	return SettleStored, nil
}

// retentionElapsed reports whether the settled claim's record may have expired
// and been deleted, so that another claim of the key is no violation.
func (u *update) retentionElapsed(s *Settlement) bool {
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

// replace stores next in place of found, and reports false if the transition is
// not allowed. All changes of records go through it.
func (u *update) replace(found *Record, next entry, abandonedClaim ClaimID) bool {
	if !u.next.invariants.check(found.canTransitionTo(&next.record, abandonedClaim), InvariantTransition,
		"key %s: %+v to %+v", next.record.Key, found, &next.record) {
		return false
	}
	u.mutable().put(next)
	return true
}
