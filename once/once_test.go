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

func strict(t assert.TestingT) *Invariants {
	return NewInvariants(func(name, detail string) { assert.Fail(t, name, detail) })
}

func requestOf(key string, claim uint64) ClaimRequest {
	return ClaimRequest{
		Key:             NewKey("lager", "a", "graz", key),
		Fingerprint:     NewFingerprint("POST", "/r", []byte(key)),
		Claim:           NewClaimID("p1", claim),
		Claimant:        "p1",
		RetentionMillis: day.Milliseconds(),
	}
}

func settlementOf(c ClaimRequest, state State) Settlement {
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

// Guards against a key, or a fingerprint, that two different inputs share.
func TestKeysDiffer(t *testing.T) {
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

// Guards against a decision that differs from the state of the record.
func TestClaimAgainstRecord(t *testing.T) {
	own, other := requestOf("k", 1), requestOf("k", 2)
	takeOver, wrongTakeOver := other, other
	takeOver.AbandonedClaim = own.Claim
	wrongTakeOver.AbandonedClaim = NewClaimID("p1", 9)
	changed := other
	changed.Fingerprint = NewFingerprint("POST", "/r", []byte("another"))
	for _, c := range []struct {
		name  string
		state State // of the record of the own claim; "" for none
		asks  ClaimRequest
		want  DecisionKind
	}{
		{"absent", "", own, DecisionGranted},
		{"claimed, read back", StateClaimed, own, DecisionGranted},
		{"claimed by another", StateClaimed, other, DecisionHeld},
		{"take-over", StateClaimed, takeOver, DecisionGranted},
		{"take-over of a claim that is not recorded", StateClaimed, wrongTakeOver, DecisionHeld},
		{"another fingerprint", StateClaimed, changed, DecisionMismatch},
		{"another fingerprint after the answer", StateAnswered, changed, DecisionMismatch},
		{"another fingerprint after a release", StateReleased, changed, DecisionGranted},
		{"answered", StateAnswered, other, DecisionAnswered},
		{"answered, take-over too late", StateAnswered, takeOver, DecisionAnswered},
		{"unknown", StateUnknown, other, DecisionUnknown},
		{"unknown, take-over", StateUnknown, takeOver, DecisionUnknown},
		{"unknown, own claim", StateUnknown, own, DecisionUnknown},
		{"released", StateReleased, other, DecisionGranted},
		{"released, own claim arrives late", StateReleased, own, DecisionReleased},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPartition("lager", 0, 64, strict(t))
			if c.state != "" {
				p = apply(t, p, start, Batch{Claims: []ClaimRequest{own}}).Next
			}
			if c.state != "" && c.state != StateClaimed {
				p = apply(t, p, start, Batch{Settlements: []Settlement{settlementOf(own, c.state)}}).Next
			}
			assert.Equal(t, c.want, apply(t, p, start, Batch{Claims: []ClaimRequest{c.asks}}).Claims[0].Kind)
		})
	}
}

// Guards against an outcome that replaces a stronger one, or that is lost.
func TestSettlementAgainstRecord(t *testing.T) {
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
			own := requestOf("k", 1)
			p := apply(t, NewPartition("lager", 0, 64, strict(t)), start, Batch{Claims: []ClaimRequest{own}}).Next
			if c.before != StateClaimed {
				p = apply(t, p, start, Batch{Settlements: []Settlement{settlementOf(own, c.before)}}).Next
			}
			r := apply(t, p, start, Batch{Settlements: []Settlement{settlementOf(own, c.settle)}})
			record, _ := r.Next.Record(own.Key)
			assert.Equal(t, c.want, r.Settlements[0])
			assert.Equal(t, c.after, record.State)
		})
	}
}

// Guards against a record that disappears early, and one that stays for ever.
func TestRetention(t *testing.T) {
	own, other := requestOf("k", 1), requestOf("k", 2)
	p := apply(t, NewPartition("lager", 0, 64, strict(t)), start, Batch{Claims: []ClaimRequest{own}}).Next
	p = apply(t, p, start, Batch{Settlements: []Settlement{settlementOf(own, StateAnswered)}}).Next
	kept := apply(t, p, start.Add(day+ClockMargin), Batch{Claims: []ClaimRequest{other}})
	assert.Equal(t, DecisionAnswered, kept.Claims[0].Kind)
	gone := apply(t, p, start.Add(day+ClockMargin+time.Millisecond), Batch{Claims: []ClaimRequest{other}})
	assert.Equal(t, DecisionGranted, gone.Claims[0].Kind)
}

// Guards against a timed key that is granted again after its record was
// deleted, with clocks that differ by up to ClockMargin.
func TestTimedKeysNeverReturn(t *testing.T) {
	for _, keyAge := range []time.Duration{-ClockMargin, 0, time.Hour, day} {
		own, again := requestOf("k", 1), requestOf("k", 2)
		for _, r := range []*ClaimRequest{&own, &again} {
			r.RequireTimedKey = true
			r.KeyTimeMillis = start.Add(-keyAge).UnixMilli()
		}
		p := apply(t, NewPartition("lager", 0, 64, strict(t)), start, Batch{Claims: []ClaimRequest{own}})
		require.Equal(t, DecisionGranted, p.Claims[0].Kind, keyAge)
		for after := time.Duration(0); after < 3*day; after += 7 * time.Minute {
			deleted := apply(t, p.Next, start.Add(after), Batch{Claims: []ClaimRequest{requestOf("x", 3)}}).Next
			slow := start.Add(after - ClockMargin)
			d := apply(t, deleted, slow, Batch{Claims: []ClaimRequest{again}}).Claims[0]
			require.Contains(t, []DecisionKind{DecisionHeld, DecisionTooOld}, d.Kind, "key age %s, after %s", keyAge, after)
		}
	}
}

// Guards against a key that is not a UUIDv7 of about now in a timed service.
func TestTimedKeys(t *testing.T) {
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
		"not a UUIDv7":     {0, DecisionBadKey},
		"from the future":  {start.Add(ClockMargin + time.Millisecond).UnixMilli(), DecisionBadKey},
		"too old":          {start.Add(-day - time.Millisecond).UnixMilli(), DecisionTooOld},
		"as old as can be": {start.Add(-day).UnixMilli(), DecisionGranted},
	} {
		r := requestOf("k", 1)
		r.RequireTimedKey = true
		r.KeyTimeMillis = c.keyMillis
		p := NewPartition("lager", 0, 64, strict(t))
		assert.Equal(t, c.want, apply(t, p, start, Batch{Claims: []ClaimRequest{r}}).Claims[0].Kind, name)
	}
}

// Guards against a full partition that grants claims whose outcome has no
// room, or that exceeds the size that the platform accepts.
func TestFullPartition(t *testing.T) {
	p := NewPartition("lager", 0, 64, strict(t))
	response := NewResponse(201, nil, []byte(strings.Repeat("x", MaxBodyBytes)))
	var granted []ClaimRequest
	for full, i := false, uint64(0); !full; {
		var batch Batch
		for range 50 {
			i++
			batch.Claims = append(batch.Claims, requestOf(fmt.Sprint(i), i))
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
		s := settlementOf(r, StateAnswered)
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

// Guards against a response that is replayed as complete and is not.
func TestResponseIsKeptWholeOrMarked(t *testing.T) {
	headers := map[string][]string{"Content-Type": {"text/plain"}, "Set-Cookie": {"secret"}}
	kept := NewResponse(201, headers, []byte("x"))
	assert.Equal(t, map[string]string{"Content-Type": "text/plain"}, kept.Headers)
	assert.False(t, kept.Incomplete)
	large := NewResponse(201, headers, make([]byte, MaxBodyBytes+1))
	assert.True(t, large.Incomplete)
	assert.Empty(t, large.Body)
	assert.True(t, NewResponse(201, map[string][]string{"Location": {strings.Repeat("l", maxHeaderBytes)}}, nil).Incomplete)
}

// Guards against a value of another partition that is taken for this one.
func TestDecodeRefusesOtherPartitions(t *testing.T) {
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

// Guards against an operation with a missing field that is applied in part.
func TestApplyRefusesInvalidOperations(t *testing.T) {
	noClaim, noClaimant, noRetention := requestOf("k", 1), requestOf("k", 1), requestOf("k", 1)
	noClaim.Claim = ClaimID{}
	noClaimant.Claimant = ""
	noRetention.RetentionMillis = 0
	for _, batch := range []Batch{
		{Claims: []ClaimRequest{noClaim}},
		{Claims: []ClaimRequest{noClaimant}},
		{Claims: []ClaimRequest{noRetention}},
		{Settlements: []Settlement{settlementOf(noClaim, StateReleased)}},
		{Settlements: []Settlement{{Claim: NewClaimID("p1", 1), State: StateClaimed}}},
		{Settlements: []Settlement{{Claim: NewClaimID("p1", 1), State: StateAnswered}}},
	} {
		batch.Claims = append([]ClaimRequest{requestOf("good", 2)}, batch.Claims...)
		_, err := NewPartition("lager", 0, 64, strict(t)).Apply(start, batch)
		assert.ErrorIs(t, err, ErrOperation)
	}
}

// Guards the claim's state machine against every order of steps: sent at most
// once, never after it was abandoned, and not-run never after it may have run.
func TestClaimSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := NewClaim(NewClaimID("p1", 1), Key{1}, Fingerprint{2}, start.Add(time.Second), strict(t))
		now := start
		reached, notRun := false, false // bytes may have reached an endpoint; the caller was told not-run
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				_ = claim.Grant()
			case 1:
				if claim.BeginSend(now) == nil {
					require.False(t, reached || notRun)
					require.False(t, now.After(start.Add(time.Second)))
					reached = true
				}
			case 2:
				if claim.MarkNotSent() == nil {
					reached = false
				}
			case 3:
				if claim.Answer(Response{Status: 201}) == nil {
					require.True(t, reached)
				}
			case 4:
				_ = claim.MarkUnknown()
			case 5:
				_ = claim.Abandon()
			case 6:
				evidence := Evidence{NotRun: rapid.Bool().Draw(t, "neverRan")}
				if claim.Reject(evidence, ReasonNotSent).Outcome() == OutcomeNotRun {
					require.False(t, reached)
					require.True(t, evidence.NotRun)
					notRun = true
				}
			default:
				now = now.Add(300 * time.Millisecond)
			}
			if s, ended := claim.Settlement(day, start); ended {
				require.Equal(t, reached, s.State != StateReleased)
			}
		}
	})
}

// Guards against a batch that is not idempotent: applied again after a lost
// write answer it must decide the same; and against sizes that drift.
func TestApplyAgainAfterLostAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPartition("lager", 0, 64, strict(t))
		claimed := map[Key]ClaimRequest{}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := start
		for i := range uint64(20) {
			var batch Batch
			for j := range uint64(1 + random.IntN(4)) {
				r := requestOf(fmt.Sprint(random.IntN(6)), 10*i+j)
				r.RetentionMillis = int64(1 + random.IntN(int(day.Milliseconds())))
				batch.Claims = append(batch.Claims, r)
			}
			for _, held := range claimed {
				states := []State{StateAnswered, StateReleased, StateUnknown}
				batch.Settlements = append(batch.Settlements, settlementOf(held, states[random.IntN(3)]))
			}
			first := apply(t, p, now, batch)
			value, err := first.Next.Encode()
			require.NoError(t, err)
			read, err := DecodePartition(value, "lager", 0, 64, strict(t))
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
