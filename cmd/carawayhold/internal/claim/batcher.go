package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

const (
	// maxQueue bounds the operations that wait for one partition.
	maxQueue = 1024
	// maxBatch bounds the operations in one update.
	maxBatch = 1024
	// maxAttempts bounds the conditional updates tried for one batch. Conflicts
	// arise only while several proxies update a partition directly.
	maxAttempts = 12
	// conflictBackoff is the upper bound of the first wait after a conflict; it
	// grows with every attempt.
	conflictBackoff = 2 * time.Millisecond
	// storeTimeout bounds one platform call.
	storeTimeout = 2 * time.Second
	// settleLinger is how long an outcome waits for a claim that it can share an
	// update with. No caller waits for it; a claimant that dies in this time
	// leaves unknown instead of the response.
	settleLinger = 100 * time.Millisecond
	// maxPace bounds the delay of an update by the write rate, well below
	// homeTimeout.
	maxPace = 250 * time.Millisecond
	// paceBurst is the number of updates that may be made at once after a quiet time.
	paceBurst = 8
	// idleTimeout is how long a batcher without work keeps its goroutine and
	// its copy of the partition, which is up to 900 KB.
	idleTimeout = 30 * time.Second
)

// partitionKey names one partition.
type partitionKey struct {
	service    string
	index      int
	partitions int
}

func (k partitionKey) object() string { return once.ObjectName(k.service, k.index) }

// operation is a claim, a settlement or a lookup; exactly one is set.
type operation struct {
	ctx        context.Context
	claim      *once.ClaimRequest
	settlement *once.Settlement
	lookup     *once.Lookup
	reply      chan reply // with room for the one reply
	neverRan   bool
	inDoubt    bool
}

// reply is the result of an operation.
type reply struct {
	decision once.Decision
	settled  once.SettleResult
	// neverRan means that the record, read after the operation arrived, showed
	// that no claim of the key had run.
	neverRan bool
	// inDoubt means, with an error, that the operation may have taken effect or
	// may still do so.
	inDoubt bool
	err     error
}

// batcher updates one partition. Its fields belong to its goroutine.
type batcher struct {
	coordinator *Coordinator
	key         partitionKey
	queue       chan *operation
	partition   *once.Partition // nil when the stored version is not known
	version     int64
}

// run executes batches until the context ends or the batcher is idle.
func (b *batcher) run(ctx context.Context) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			b.execute(ctx, b.gather(ctx, first))
			idle.Reset(idleTimeout)
		case <-idle.C:
			if b.coordinator.removeIdle(b) {
				return
			}
			idle.Reset(idleTimeout)
		}
	}
}

// gather takes everything that arrived while the previous update was in flight,
// and what arrives while outcomes wait for a claim or the write rate is used up.
func (b *batcher) gather(ctx context.Context, first *operation) []*operation {
	operations := b.collect([]*operation{first})
	if b.coordinator.breaker.isFailing() {
		return operations // they fail at once, or are the next try
	}
	operations = b.collectFor(ctx, operations, settleLinger, hasCaller)
	operations = b.collectFor(ctx, operations, b.paceDelay(), nil)
	return b.collect(operations)
}

// paceDelay returns how long the write rate delays the next update.
func (b *batcher) paceDelay() time.Duration {
	reservation := b.coordinator.pace.Reserve()
	delay := reservation.Delay()
	if delay > maxPace {
		// Without this, updates beyond the rate would delay later ones for long
		// after the load has gone.
		reservation.Cancel()
	}
	return min(delay, maxPace)
}

// collect takes what is in the queue.
func (b *batcher) collect(operations []*operation) []*operation {
	for len(operations) < maxBatch {
		select {
		case o := <-b.queue:
			operations = append(operations, o)
		default:
			return operations
		}
	}
	return operations
}

// collectFor takes what arrives within the time, or until enough holds.
func (b *batcher) collectFor(
	ctx context.Context, operations []*operation, wait time.Duration, enough func([]*operation) bool,
) []*operation {
	if wait <= 0 || enough != nil && enough(operations) {
		return operations
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(operations) < maxBatch {
		select {
		case <-ctx.Done():
			return operations
		case <-timer.C:
			return operations
		case o := <-b.queue:
			operations = append(operations, o)
			if enough != nil && enough(operations[len(operations)-1:]) {
				return operations
			}
		}
	}
	return operations
}

// hasCaller reports whether a caller waits for one of the operations.
func hasCaller(operations []*operation) bool {
	return slices.ContainsFunc(operations, func(o *operation) bool { return o.settlement == nil })
}

func (b *batcher) execute(ctx context.Context, operations []*operation) {
	if !b.coordinator.breaker.allow(time.Now()) {
		fail(operations, ErrUnavailable)
		return
	}
	fresh := false // the copy was read after all operations had arrived
	for attempt := range maxAttempts {
		operations = dropEnded(operations)
		if len(operations) == 0 {
			return
		}
		if b.partition == nil {
			if err := b.read(ctx); err != nil {
				fail(operations, err)
				return
			}
			fresh = true
		}
		done, err := b.attempt(ctx, operations, fresh)
		if err != nil {
			fail(operations, err)
			return
		}
		if done {
			return
		}
		b.partition = nil
		b.backOff(ctx, attempt)
	}
	fail(operations, eris.Wrapf(ErrUnavailable, "%s: %d conflicts", b.key.object(), maxAttempts))
}

// attempt applies the operations to the copy. It returns false when the copy
// must be read again: after a conflict, after a write whose answer was lost, or
// when a decision that needs no write was made on a copy that may be old.
func (b *batcher) attempt(ctx context.Context, operations []*operation, fresh bool) (bool, error) {
	result, err := b.partition.Apply(time.Now(), batchOf(operations))
	if err != nil {
		return false, err
	}
	if fresh {
		noteEvidence(operations, result)
	}
	if !result.Changed {
		if !fresh && !isFinal(result) {
			return false, nil
		}
		answer(operations, result)
		return true, nil
	}
	value, err := result.Next.Encode()
	if err != nil {
		return false, err
	}
	written, err := b.write(ctx, value)
	if errors.Is(err, ErrUnavailable) {
		// The write may have taken effect; the records read back tell.
		for _, o := range operations {
			o.inDoubt = true
		}
		return false, nil
	}
	if err != nil || !written {
		return false, err
	}
	b.partition = result.Next
	answer(operations, result)
	return true, nil
}

func (b *batcher) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b.coordinator.stats.reads.Add(1)
	object, err := b.coordinator.store.Get(ctx, b.key.object())
	if errors.Is(err, platform.ErrNotFound) {
		b.coordinator.reportPlatform(true)
		b.partition = once.NewPartition(b.key.service, b.key.index, b.key.partitions, b.coordinator.invariants)
		b.version = 0
		return nil
	}
	b.coordinator.reportPlatform(err == nil)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%v", err)
	}
	b.version = object.Version
	b.partition, err = once.DecodePartition(
		object.Value, b.key.service, b.key.index, b.key.partitions, b.coordinator.invariants)
	return err
}

// write returns false after a conflict, and ErrUnavailable if nothing is known
// about the write.
func (b *batcher) write(ctx context.Context, value []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b.coordinator.stats.updates.Add(1)
	version, err := b.coordinator.store.Put(ctx, b.key.object(), b.version, value)
	switch {
	case err == nil:
		b.coordinator.reportPlatform(true)
		b.version = version
		return true, nil
	case errors.Is(err, platform.ErrConflict):
		b.coordinator.stats.conflicts.Add(1)
		return false, nil
	default:
		b.coordinator.stats.lostAnswers.Add(1)
		return false, eris.Wrapf(ErrUnavailable, "%v", err)
	}
}

func (b *batcher) backOff(ctx context.Context, attempt int) {
	if attempt == 0 {
		return
	}
	wait := time.NewTimer(rand.N(conflictBackoff * time.Duration(attempt)))
	defer wait.Stop()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
}

func batchOf(operations []*operation) once.Batch {
	var batch once.Batch
	for _, o := range operations {
		switch {
		case o.claim != nil:
			batch.Claims = append(batch.Claims, *o.claim)
		case o.settlement != nil:
			batch.Settlements = append(batch.Settlements, *o.settlement)
		default:
			batch.Lookups = append(batch.Lookups, *o.lookup)
		}
	}
	return batch
}

// repliesOf returns the replies in the order of the operations.
func repliesOf(operations []*operation, result once.Result) []reply {
	replies := make([]reply, 0, len(operations))
	claims, settlements, lookups := 0, 0, 0
	for _, o := range operations {
		switch {
		case o.claim != nil:
			replies = append(replies, reply{decision: result.Claims[claims]})
			claims++
		case o.settlement != nil:
			replies = append(replies, reply{settled: result.Settlements[settlements]})
			settlements++
		default:
			replies = append(replies, reply{decision: result.Lookups[lookups]})
			lookups++
		}
	}
	return replies
}

// answer replies with a result that is known to hold.
func answer(operations []*operation, result once.Result) {
	result.Confirm()
	for i, r := range repliesOf(operations, result) {
		operations[i].reply <- r
	}
}

func noteEvidence(operations []*operation, result once.Result) {
	for i, r := range repliesOf(operations, result) {
		operations[i].neverRan = r.decision.NotRun()
	}
}

func fail(operations []*operation, err error) {
	for _, o := range operations {
		o.fail(err)
	}
}

func (o *operation) fail(err error) {
	o.reply <- reply{err: err, neverRan: o.neverRan, inDoubt: o.inDoubt}
}

// dropEnded answers the operations that nobody waits for any more. Writing
// their claims would be safe and useless.
func dropEnded(operations []*operation) []*operation {
	kept := operations[:0:0]
	for _, o := range operations {
		if err := o.ctx.Err(); err != nil {
			o.fail(err)
			continue
		}
		kept = append(kept, o)
	}
	return kept
}

// isFinal reports whether every decision would be the same on a newer version.
func isFinal(result once.Result) bool {
	for _, d := range append(append([]once.Decision(nil), result.Claims...), result.Lookups...) {
		if d.Kind != once.DecisionAnswered {
			return false
		}
	}
	for _, s := range result.Settlements {
		if s != once.SettleStored {
			return false
		}
	}
	return true
}
