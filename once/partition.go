package once

import (
	"bytes"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxValueBytes is the maximum size in bytes of an encoded partition; the
	// platform accepts values of up to a megabyte.
	MaxValueBytes = 900_000
	// claimLimitBytes is the partition size in bytes up to which claims are
	// granted. The space above it is kept for the responses of granted claims.
	claimLimitBytes = 800_000
	// settleReserveBytes is the maximum growth in bytes of a record when an
	// outcome without body and headers is recorded. It is reserved when a claim
	// is granted, so that its outcome can always be recorded.
	settleReserveBytes = 64
	// maxClaimantBytes limits the length of a claimant's incarnation, in bytes.
	maxClaimantBytes = 128
)

// Errors that callers test with errors.Is.
var (
	// ErrPartition means that a stored value is malformed or is another partition.
	ErrPartition = eris.New("once: not the expected partition")
	// ErrOperation means that an operation has an invalid field.
	ErrOperation = eris.New("once: invalid operation")
)

// Partition is one version of the records of one partition of a service. Its
// exported methods do not modify it, so a caller may keep using it while an
// update is in flight.
type Partition struct {
	service string
	index   int
	count   int
	entries map[Key]entry
	// size is the encoded size of the records in bytes, claimed the number of
	// records in StateClaimed, and nextDeadline a lower bound of the records'
	// deadlines in Unix milliseconds.
	size         int
	claimed      int
	nextDeadline int64
	invariants   *Invariants
}

type partitionValue struct {
	Service    string            `json:"service"`
	Partition  int               `json:"partition"`
	Partitions int               `json:"partitions"`
	Records    []json.RawMessage `json:"records"`
}

// NewPartition returns the partition with the given index, from 0 to count-1,
// without records. The invariants may be nil.
func NewPartition(service string, index, count int, invariants *Invariants) *Partition {
	return &Partition{
		service:      service,
		index:        index,
		count:        count,
		entries:      map[Key]entry{},
		nextDeadline: math.MaxInt64,
		invariants:   invariants,
	}
}

// DecodePartition reads a value written by Encode. ErrPartition means that it
// is malformed, or was written for another service, index or count.
func DecodePartition(value []byte, service string, index, count int, invariants *Invariants) (*Partition, error) {
	var decoded partitionValue
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, eris.Wrapf(ErrPartition, "%s: %v", ObjectName(service, index), err)
	}
	if decoded.Service != service || decoded.Partition != index || decoded.Partitions != count {
		return nil, eris.Wrapf(ErrPartition, "%s: holds partition %d of %d of service %q, want %d of %d",
			ObjectName(service, index), decoded.Partition, decoded.Partitions, decoded.Service, index, count)
	}
	p := NewPartition(service, index, count, invariants)
	for _, raw := range decoded.Records {
		var record Record
		if err := json.Unmarshal(raw, &record); err != nil {
			return nil, eris.Wrapf(ErrPartition, "%s: record: %v", ObjectName(service, index), err)
		}
		p.put(entry{record: record, encoded: raw})
	}
	return p, nil
}

// Encode returns the value to store, with the records ordered by key.
func (p *Partition) Encode() ([]byte, error) {
	head, err := json.Marshal(partitionValue{
		Service: p.service, Partition: p.index, Partitions: p.count, Records: []json.RawMessage{},
	})
	if err != nil {
		return nil, eris.Wrapf(err, "once: cannot encode %s", ObjectName(p.service, p.index))
	}
	keys := slices.SortedFunc(maps.Keys(p.entries), func(a, b Key) int { return bytes.Compare(a[:], b[:]) })
	value := make([]byte, 0, len(head)+p.size+len(keys))
	value = append(value, head[:len(head)-len("]}")]...)
	for i, k := range keys {
		if i > 0 {
			value = append(value, ',')
		}
		value = append(value, p.entries[k].encoded...)
	}
	value = append(value, "]}"...)
	p.invariants.check(len(value) <= MaxValueBytes, InvariantSize,
		"%s: %d bytes in %d records", ObjectName(p.service, p.index), len(value), len(keys))
	return value, nil
}

// Len returns the number of records.
func (p *Partition) Len() int { return len(p.entries) }

// Record returns the record of a key.
func (p *Partition) Record(key Key) (Record, bool) {
	found, ok := p.entries[key]
	return found.record, ok
}

// Batch is a set of operations that are written with one conditional update.
// Settlements are applied first, so that a key which the batch releases can be
// claimed in the same batch.
type Batch struct {
	Settlements []Settlement
	Claims      []ClaimRequest
	Lookups     []Lookup
}

// Result holds the decisions on a batch, in the order of its operations.
type Result struct {
	Settlements []SettleResult
	Claims      []Decision
	Lookups     []Decision
	// Changed means that the decisions are valid only once Next has replaced the
	// stored version that the batch was applied to.
	Changed bool
	Next    *Partition

	superseded []*Settlement
}

// Confirm checks the invariants that apply to stored versions only. Call it
// when the result is known to be valid: after the write succeeded or, if
// Changed is false, when the partition was read after the operations arrived.
func (r *Result) Confirm() {
	for _, s := range r.superseded {
		r.Next.invariants.check(false, InvariantSuperseded,
			"key %s: cannot record %s for claim %s: the record belongs to another claim", s.Key, s.State, s.Claim)
	}
}

// Apply decides a batch at time now without modifying p. It is idempotent: for
// operations that have already taken effect, applying the batch to a later
// version gives the same decisions. ErrOperation means that an operation is
// invalid and that none was applied.
func (p *Partition) Apply(now time.Time, batch Batch) (Result, error) {
	if err := batch.validate(); err != nil {
		return Result{}, err
	}
	u := update{now: now, base: p, next: p}
	u.deleteExpired()
	result := Result{}
	for i := range batch.Settlements {
		settled, err := u.settle(&batch.Settlements[i])
		if err != nil {
			return Result{}, err
		}
		result.Settlements = append(result.Settlements, settled)
	}
	for i := range batch.Claims {
		decision, err := u.claim(&batch.Claims[i])
		if err != nil {
			return Result{}, err
		}
		result.Claims = append(result.Claims, decision)
	}
	for _, l := range batch.Lookups {
		result.Lookups = append(result.Lookups, u.lookup(l.Key))
	}
	result.Changed = u.changed
	result.Next = u.next
	result.superseded = u.superseded
	return result, nil
}

func (b *Batch) validate() error {
	for i := range b.Claims {
		c := &b.Claims[i]
		switch {
		case c.Claim.IsZero():
			return eris.Wrap(ErrOperation, "claim: want a claim id")
		case c.Claimant == "" || len(c.Claimant) > maxClaimantBytes:
			return eris.Wrapf(ErrOperation, "claimant: %d bytes, want 1 to %d", len(c.Claimant), maxClaimantBytes)
		case c.RetentionMillis <= 0:
			return eris.Wrapf(ErrOperation, "retentionMillis: %d, want more than 0", c.RetentionMillis)
		}
	}
	for i := range b.Settlements {
		s := &b.Settlements[i]
		switch {
		case s.Claim.IsZero():
			return eris.Wrap(ErrOperation, "claim: want a claim id")
		case s.State != StateAnswered && s.State != StateReleased && s.State != StateUnknown:
			return eris.Wrapf(ErrOperation, "state: %q, want answered, released or unknown", s.State)
		case (s.State == StateAnswered) != (s.Response != nil):
			return eris.Wrap(ErrOperation, "response: must be set if and only if the state is answered")
		}
	}
	return nil
}

func (p *Partition) put(e entry) {
	p.remove(e.record.Key)
	p.entries[e.record.Key] = e
	p.size += len(e.encoded) + 1
	if e.record.State == StateClaimed {
		p.claimed++
	}
	p.nextDeadline = min(p.nextDeadline, e.record.DeadlineMillis)
}

func (p *Partition) remove(key Key) {
	old, ok := p.entries[key]
	if !ok {
		return
	}
	delete(p.entries, key)
	p.size -= len(old.encoded) + 1
	if old.record.State == StateClaimed {
		p.claimed--
	}
}

// reserved returns the encoded size in bytes, including the space reserved for
// the outcomes of claims that are not settled.
func (p *Partition) reserved() int {
	const envelopeBytes = 256 // the JSON around the records, without the service name
	return envelopeBytes + len(p.service) + p.size + p.claimed*settleReserveBytes
}

func (p *Partition) clone() *Partition {
	c := *p
	c.entries = maps.Clone(p.entries)
	return &c
}
