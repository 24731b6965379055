package once

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

const day = 24 * time.Hour

func failOnViolation(t assert.TestingT) *Invariants {
	return NewInvariants(func(name, detail string) { assert.Fail(t, name, detail) })
}

func newClaimRequest(key string, claim uint64) ClaimRequest {
	return ClaimRequest{
		Key:             NewKey("lager", "a", "graz", key),
		Fingerprint:     NewFingerprint("POST", "/r", []byte(key)),
		Claim:           NewClaimID("p1", claim),
		Claimant:        "p1",
		RetentionMillis: day.Milliseconds(),
	}
}

func newSettlement(c ClaimRequest, state State) Settlement {
	s := Settlement{Key: c.Key, Claim: c.Claim, State: state, RetentionMillis: c.RetentionMillis}
	if state == StateAnswered {
		r := NewResponse(201, nil, []byte("done"))
		s.Response = &r
	}
	return s
}

func apply(t require.TestingT, p *Partition, now time.Time, batch Batch) Result {
	r, err := p.Apply(now, batch)
	require.NoError(t, err)
	r.Confirm()
	return r
}

// Guards against two different inputs with the same key or fingerprint, and
// against a key that its text form does not preserve.
func TestDifferentInputsGiveDifferentKeys(t *testing.T) {
	seen := map[Key]string{}
	for _, parts := range [][4]string{
		{"lager", "a", "graz", "k"},
		{"lager", "a", "gra", "zk"},
		{"lage", "ra", "graz", "k"},
		{"lager", "a", "graz", "l"},
		{"lager", "b", "graz", "k"},
		{"lager", "", "agraz", "k"},
	} {
		key := NewKey(parts[0], parts[1], parts[2], parts[3])
		assert.Empty(t, seen[key], parts)
		seen[key] = fmt.Sprint(parts)
	}
	assert.NotEqual(t, NewFingerprint("POST", "/a", []byte("b")), NewFingerprint("POST", "/ab", nil))
	var read Key
	for key := range seen {
		text, err := key.MarshalText()
		require.NoError(t, err)
		require.NoError(t, read.UnmarshalText(text))
		assert.Equal(t, key, read)
	}
	assert.ErrorIs(t, read.UnmarshalText([]byte("short")), ErrDigest)
}

// Guards against a decision that contradicts the state of the key's record.
func TestClaimDecisionByRecordState(t *testing.T) {
	own, other := newClaimRequest("k", 1), newClaimRequest("k", 2)
	takeOver, wrongTakeOver := other, other
	takeOver.AbandonedClaim = own.Claim
	wrongTakeOver.AbandonedClaim = NewClaimID("p1", 9)
	changed := other
	changed.Fingerprint = NewFingerprint("POST", "/r", []byte("another"))
	for _, c := range []struct {
		name    string
		state   State // of the record that own created; "" for no record
		request ClaimRequest
		want    DecisionKind
	}{
		{"absent", "", own, DecisionGranted},
		{"claimed, same claim again", StateClaimed, own, DecisionGranted},
		{"claimed by another", StateClaimed, other, DecisionHeld},
		{"take-over", StateClaimed, takeOver, DecisionGranted},
		{"take-over of a claim that is not recorded", StateClaimed, wrongTakeOver, DecisionHeld},
		{"claimed, another fingerprint", StateClaimed, changed, DecisionMismatch},
		{"answered, another fingerprint", StateAnswered, changed, DecisionMismatch},
		{"released, another fingerprint", StateReleased, changed, DecisionGranted},
		{"answered", StateAnswered, other, DecisionAnswered},
		{"answered, take-over too late", StateAnswered, takeOver, DecisionAnswered},
		{"unknown", StateUnknown, other, DecisionUnknown},
		{"unknown, take-over", StateUnknown, takeOver, DecisionUnknown},
		{"unknown, own claim", StateUnknown, own, DecisionUnknown},
		{"released", StateReleased, other, DecisionGranted},
		{"released, own claim arrives late", StateReleased, own, DecisionReleased},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPartition("lager", 0, 64, failOnViolation(t))
			if c.state != "" {
				p = apply(t, p, start, Batch{Claims: []ClaimRequest{own}}).Next
			}
			if c.state != "" && c.state != StateClaimed {
				p = apply(t, p, start, Batch{Settlements: []Settlement{newSettlement(own, c.state)}}).Next
			}
			assert.Equal(t, c.want, apply(t, p, start, Batch{Claims: []ClaimRequest{c.request}}).Claims[0].Kind)
		})
	}
}

// Guards against an outcome that overwrites one that takes precedence, and
// against an outcome that is not recorded.
func TestSettlementByRecordState(t *testing.T) {
	for _, c := range []struct {
		before, settle State
		want           SettleResult
		after          State
	}{
		{StateClaimed, StateAnswered, SettleStored, StateAnswered},
		{StateClaimed, StateUnknown, SettleStored, StateUnknown},
		{StateClaimed, StateReleased, SettleStored, StateReleased},
		{StateUnknown, StateAnswered, SettleStored, StateAnswered},
		{StateUnknown, StateReleased, SettleSuperseded, StateUnknown},
		{StateAnswered, StateUnknown, SettleSuperseded, StateAnswered},
		{StateAnswered, StateReleased, SettleSuperseded, StateAnswered},
		{StateAnswered, StateAnswered, SettleStored, StateAnswered},
	} {
		t.Run(fmt.Sprintf("%s then %s", c.before, c.settle), func(t *testing.T) {
			own := newClaimRequest("k", 1)
			p := apply(t, NewPartition("lager", 0, 64, failOnViolation(t)), start, Batch{Claims: []ClaimRequest{own}}).Next
			if c.before != StateClaimed {
				p = apply(t, p, start, Batch{Settlements: []Settlement{newSettlement(own, c.before)}}).Next
			}
			r := apply(t, p, start, Batch{Settlements: []Settlement{newSettlement(own, c.settle)}})
			record, _ := r.Next.Record(own.Key)
			assert.Equal(t, c.want, r.Settlements[0])
			assert.Equal(t, c.after, record.State)
		})
	}
}

// Guards against a record that is deleted before its retention plus ClockMargin,
// and against one that is never deleted.
func TestRetention(t *testing.T) {
	own, other := newClaimRequest("k", 1), newClaimRequest("k", 2)
	p := apply(t, NewPartition("lager", 0, 64, failOnViolation(t)), start, Batch{Claims: []ClaimRequest{own}}).Next
	p = apply(t, p, start, Batch{Settlements: []Settlement{newSettlement(own, StateAnswered)}}).Next
	kept := apply(t, p, start.Add(day+ClockMargin), Batch{Claims: []ClaimRequest{other}})
	assert.Equal(t, DecisionAnswered, kept.Claims[0].Kind)
	deleted := apply(t, p, start.Add(day+ClockMargin+time.Millisecond), Batch{Claims: []ClaimRequest{other}})
	assert.Equal(t, DecisionGranted, deleted.Claims[0].Kind)
}

// Guards against a timed key that is granted again because one process deleted
// its record and another, whose clock is ClockMargin behind, accepts the key.
func TestTimedKeyNotGrantedAgainAfterDeletion(t *testing.T) {
	for _, keyAge := range []time.Duration{-ClockMargin, 0, time.Hour, day} {
		own, later := newClaimRequest("k", 1), newClaimRequest("k", 2)
		for _, r := range []*ClaimRequest{&own, &later} {
			r.RequireTimedKey = true
			r.KeyTimeMillis = start.Add(-keyAge).UnixMilli()
		}
		p := apply(t, NewPartition("lager", 0, 64, failOnViolation(t)), start, Batch{Claims: []ClaimRequest{own}})
		require.Equal(t, DecisionGranted, p.Claims[0].Kind, keyAge)
		for after := time.Duration(0); after < 3*day; after += 7 * time.Minute {
			afterDeletion := apply(t, p.Next, start.Add(after), Batch{Claims: []ClaimRequest{newClaimRequest("x", 3)}}).Next
			slowClock := start.Add(after - ClockMargin)
			d := apply(t, afterDeletion, slowClock, Batch{Claims: []ClaimRequest{later}}).Claims[0]
			require.Contains(t, []DecisionKind{DecisionHeld, DecisionTooOld}, d.Kind, "key age %s, after %s", keyAge, after)
		}
	}
}

// Guards against keys that a service with timed keys must reject: no UUIDv7,
// created in the future, or older than the retention.
func TestTimedKeyValidation(t *testing.T) {
	created, err := KeyTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
	require.NoError(t, err)
	assert.Equal(t, int64(1645557742000), created.UnixMilli()) // the example of RFC 9562
	for _, bad := range []string{
		"", "k1", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
		"017f22e279b07cc398c4dc0c0c07398f----", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
	} {
		_, err := KeyTime(bad)
		assert.ErrorIs(t, err, ErrTimedKey, bad)
	}
	for name, c := range map[string]struct {
		keyMillis int64
		want      DecisionKind
	}{
		"not a UUIDv7":    {0, DecisionBadKey},
		"from the future": {start.Add(ClockMargin + time.Millisecond).UnixMilli(), DecisionBadKey},
		"too old":         {start.Add(-day - time.Millisecond).UnixMilli(), DecisionTooOld},
		"oldest accepted": {start.Add(-day).UnixMilli(), DecisionGranted},
	} {
		r := newClaimRequest("k", 1)
		r.RequireTimedKey = true
		r.KeyTimeMillis = c.keyMillis
		p := NewPartition("lager", 0, 64, failOnViolation(t))
		assert.Equal(t, c.want, apply(t, p, start, Batch{Claims: []ClaimRequest{r}}).Claims[0].Kind, name)
	}
}

// Guards against a full partition that grants claims without space for their
// outcomes, or that exceeds the size that the platform accepts.
func TestFullPartition(t *testing.T) {
	p := NewPartition("lager", 0, 64, failOnViolation(t))
	response := NewResponse(201, nil, []byte(strings.Repeat("x", MaxBodyBytes)))
	var granted []ClaimRequest
	for full, i := false, uint64(0); !full; {
		var batch Batch
		for range 50 {
			i++
			batch.Claims = append(batch.Claims, newClaimRequest(fmt.Sprint(i), i))
		}
		result := apply(t, p, start, batch)
		for j, d := range result.Claims {
			if d.Kind == DecisionGranted {
				granted = append(granted, batch.Claims[j])
				continue
			}
			full = true
			require.Equal(t, DecisionFull, d.Kind)
			require.True(t, d.NotRun())
		}
		p = result.Next
	}
	var batch Batch
	for _, r := range granted {
		s := newSettlement(r, StateAnswered)
		s.Response = &response
		batch.Settlements = append(batch.Settlements, s)
	}
	result := apply(t, p, start, batch)
	value, err := result.Next.Encode()
	require.NoError(t, err)
	omitted := 0
	for i, r := range granted {
		require.Equal(t, SettleStored, result.Settlements[i])
		record, _ := result.Next.Record(r.Key)
		if record.Response.Incomplete {
			omitted++
		}
	}
	assert.LessOrEqual(t, len(value), MaxValueBytes)
	assert.Positive(t, omitted)
	t.Logf("%d records in %d bytes, %d without body", len(granted), len(value), omitted)
}

// Guards against an incomplete response that is replayed as a complete one, and
// against a stored cookie.
func TestOversizedResponseIsMarkedIncomplete(t *testing.T) {
	headers := map[string][]string{"Content-Type": {"text/plain"}, "Set-Cookie": {"secret"}}
	kept := NewResponse(201, headers, []byte("x"))
	assert.Equal(t, map[string]string{"Content-Type": "text/plain"}, kept.Headers)
	assert.False(t, kept.Incomplete)
	large := NewResponse(201, headers, make([]byte, MaxBodyBytes+1))
	assert.True(t, large.Incomplete)
	assert.Empty(t, large.Body)
	assert.True(t, NewResponse(201, map[string][]string{"Location": {strings.Repeat("l", maxHeaderBytes)}}, nil).Incomplete)
}

// Guards against decoding the value of another partition as this one.
func TestDecodePartitionRejectsOtherPartitions(t *testing.T) {
	value, err := NewPartition("lager", 1, 64, nil).Encode()
	require.NoError(t, err)
	for _, c := range []struct {
		service      string
		index, count int
	}{{"katalog", 1, 64}, {"lager", 2, 64}, {"lager", 1, 32}} {
		_, err := DecodePartition(value, c.service, c.index, c.count, nil)
		assert.ErrorIs(t, err, ErrPartition, c)
	}
	_, err = DecodePartition([]byte("{"), "lager", 1, 64, nil)
	assert.ErrorIs(t, err, ErrPartition)
}

// Guards against a batch with an invalid operation that is applied in part.
func TestApplyRejectsInvalidOperations(t *testing.T) {
	noClaim, noClaimant, noRetention := newClaimRequest("k", 1), newClaimRequest("k", 1), newClaimRequest("k", 1)
	noClaim.Claim = ClaimID{}
	noClaimant.Claimant = ""
	noRetention.RetentionMillis = 0
	for _, batch := range []Batch{
		{Claims: []ClaimRequest{noClaim}},
		{Claims: []ClaimRequest{noClaimant}},
		{Claims: []ClaimRequest{noRetention}},
		{Settlements: []Settlement{newSettlement(noClaim, StateReleased)}},
		{Settlements: []Settlement{{Claim: NewClaimID("p1", 1), State: StateClaimed}}},
		{Settlements: []Settlement{{Claim: NewClaimID("p1", 1), State: StateAnswered}}},
	} {
		batch.Claims = append([]ClaimRequest{newClaimRequest("good", 2)}, batch.Claims...)
		_, err := NewPartition("lager", 0, 64, failOnViolation(t)).Apply(start, batch)
		assert.ErrorIs(t, err, ErrOperation)
	}
}

// Guards against an order of calls in which a request is sent twice or after
// its claim was abandoned, or not-run is returned after it may have run.
func TestClaimStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := NewClaim(NewClaimID("p1", 1), Key{1}, Fingerprint{2}, start.Add(time.Second), failOnViolation(t))
		now := start
		sent, notRun := false, false // the request may have been sent; the outcome not-run was returned
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				_ = claim.Grant()
			case 1:
				if claim.BeginSend(now) == nil {
					require.False(t, sent || notRun)
					require.False(t, now.After(start.Add(time.Second)))
					sent = true
				}
			case 2:
				if claim.MarkNotSent() == nil {
					sent = false
				}
			case 3:
				if claim.MarkAnswered(Response{Status: 201}) == nil {
					require.True(t, sent)
				}
			case 4:
				_ = claim.MarkUnknown()
			case 5:
				_ = claim.Abandon()
			case 6:
				evidence := Evidence{NotRun: rapid.Bool().Draw(t, "neverRan")}
				if claim.Reject(evidence, ReasonNotSent).Outcome() == OutcomeNotRun {
					require.False(t, sent)
					require.True(t, evidence.NotRun)
					notRun = true
				}
			default:
				now = now.Add(300 * time.Millisecond)
			}
			if s, ended := claim.Settlement(day, start); ended {
				require.Equal(t, sent, s.State != StateReleased)
			}
		}
	})
}

// Guards against different decisions when a batch is applied again to the
// partition that is read back after a lost write response, and against cached
// sizes and counts that differ from those of a freshly decoded partition.
func TestApplyIsIdempotentAfterLostResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition("lager", 0, 64, failOnViolation(t))
		claimed := map[Key]ClaimRequest{}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := start
		for i := range uint64(20) {
			var batch Batch
			for j := range uint64(1 + random.IntN(4)) {
				r := newClaimRequest(fmt.Sprint(random.IntN(6)), 10*i+j)
				r.RetentionMillis = int64(1 + random.IntN(int(day.Milliseconds())))
				batch.Claims = append(batch.Claims, r)
			}
			for _, held := range claimed {
				states := []State{StateAnswered, StateReleased, StateUnknown}
				batch.Settlements = append(batch.Settlements, newSettlement(held, states[random.IntN(3)]))
			}
			first := apply(t, p, now, batch)
			value, err := first.Next.Encode()
			require.NoError(t, err)
			read, err := DecodePartition(value, "lager", 0, 64, failOnViolation(t))
			require.NoError(t, err)
			require.Equal(t, first.Next.size, read.size)
			require.Equal(t, first.Next.claimed, read.claimed)
			second := apply(t, read, now, Batch{Claims: batch.Claims})
			require.False(t, second.Changed)
			clear(claimed)
			for k, d := range first.Claims {
				require.Equal(t, d.Kind, second.Claims[k].Kind)
				if d.Kind == DecisionGranted {
					claimed[batch.Claims[k].Key] = batch.Claims[k]
				}
			}
			p = read
			now = now.Add(time.Duration(random.IntN(int(day))))
		}
	})
}
