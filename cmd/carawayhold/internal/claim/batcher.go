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
	// maxQueue bounds the queued operations of one partition.
	maxQueue = 1024
	// maxBatch bounds the operations in one update.
	maxBatch = 1024
	// maxAttempts bounds the conditional updates tried for one batch. Conflicts
	// occur only while several proxies update the same partition.
	maxAttempts = 12
	// conflictBackoff is the increment per retry of the upper bound of the random
	// delay after a conflict. The first retry has no delay.
	conflictBackoff = 2 * time.Millisecond
	// storeTimeout bounds one platform call.
	storeTimeout = 2 * time.Second
	// settleLinger is how long a batch of settlements waits for a claim to share
	// its update. No caller waits for a settlement, but if the claimant crashes in
	// this time, the outcome is unknown and the response is lost.
	settleLinger = 100 * time.Millisecond
	// maxWriteDelay bounds the delay that the write rate adds to an update. It must
	// be well below homeTimeout.
	maxWriteDelay = 250 * time.Millisecond
	// writeBurst is the number of updates without delay after an idle period.
	writeBurst = 8
	// idleTimeout is how long an idle batcher keeps its goroutine and its cached
	// partition of up to 900 KB.
	idleTimeout = 30 * time.Second
)

// partitionKey identifies a partition of a service.
type partitionKey struct {
	service    string
	index      int
	partitions int
}

func (k partitionKey) object() string { return once.ObjectName(k.service, k.index) }

// operation is a claim, a settlement or a lookup; exactly one of them is set.
type operation struct {
	ctx        context.Context
	claim      *once.ClaimRequest
	settlement *once.Settlement
	lookup     *once.Lookup
	reply      chan reply // has capacity 1
	notRun     bool
	inDoubt    bool
}

// reply is the result of an operation.
type reply struct {
	decision once.Decision
	settled  once.SettleResult
	// notRun reports that the record, read after the operation arrived, showed
	// that no claim of the key had run.
	notRun bool
	// inDoubt reports, if err is set, that the operation may have been applied or
	// may still be.
	inDoubt bool
	err     error
}

// batcher updates one partition. Except for the queue, its fields are used only
// by its goroutine.
type batcher struct {
	coordinator *Coordinator
	key         partitionKey
	queue       chan *operation
	partition   *once.Partition // cached copy; nil if it must be read again
	version     int64
}

// run executes batches until the context is cancelled or the batcher has been idle
// for idleTimeout.
func (b *batcher) run(ctx context.Context) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			b.execute(ctx, b.collectBatch(ctx, first))
			idle.Reset(idleTimeout)
		case <-idle.C:
			if b.coordinator.removeIdle(b) {
				return
			}
			idle.Reset(idleTimeout)
		}
	}
}

// collectBatch returns the operations that were queued during the previous update
// and those that arrive during the delays by settleLinger and the write rate.
func (b *batcher) collectBatch(ctx context.Context, first *operation) []*operation {
	operations := b.collect([]*operation{first})
	if b.coordinator.breaker.isFailing() {
		return operations // they fail at once or become the next probe
	}
	operations = b.collectFor(ctx, operations, settleLinger, hasCaller)
	operations = b.collectFor(ctx, operations, b.writeDelay(), nil)
	return b.collect(operations)
}

func (b *batcher) writeDelay() time.Duration {
	reservation := b.coordinator.writeLimiter.Reserve()
	delay := reservation.Delay()
	if delay > maxWriteDelay {
		// Otherwise the reservations of a load peak would delay updates long after
		// the peak.
		reservation.Cancel()
	}
	return min(delay, maxWriteDelay)
}

// collect appends the queued operations without waiting.
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

// collectFor appends operations that arrive within the wait. It stops early if
// enough returns true for the operations so far; enough may be nil.
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

// hasCaller reports whether a caller waits for any of the operations, that is,
// whether not all are settlements.
func hasCaller(operations []*operation) bool {
	return slices.ContainsFunc(operations, func(o *operation) bool { return o.settlement == nil })
}

func (b *batcher) execute(ctx context.Context, operations []*operation) {
	if !b.coordinator.breaker.allow(time.Now()) {
		fail(operations, ErrUnavailable)
		return
	}
	fresh := false // whether the cached copy was read after all operations had arrived
	for attempt := range maxAttempts {
		operations = dropCancelled(operations)
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
		done, err := b.tryUpdate(ctx, operations, fresh)
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

// tryUpdate applies the operations to the cached copy. It returns false if the
// partition must be read again: after a conflict, after a write with an unknown
// result, or if the decisions need no write but the copy may be stale.
func (b *batcher) tryUpdate(ctx context.Context, operations []*operation, fresh bool) (bool, error) {
	result, err := b.partition.Apply(time.Now(), batchOf(operations))
	if err != nil {
		return false, err
	}
	if fresh {
		recordNotRun(operations, result)
	}
	if !result.Changed {
		if !fresh && !isFinal(result) {
			return false, nil
		}
		replyAll(operations, result)
		return true, nil
	}
	value, err := result.Next.Encode()
	if err != nil {
		return false, err
	}
	written, err := b.write(ctx, value)
	if errors.Is(err, ErrUnavailable) {
		// The write may have been applied; the next read shows whether it was.
		for _, o := range operations {
			o.inDoubt = true
		}
		return false, nil
	}
	if err != nil || !written {
		return false, err
	}
	b.partition = result.Next
	replyAll(operations, result)
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

// write returns false after a conflict, and ErrUnavailable if the result of the
// write is unknown.
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
		b.coordinator.stats.unknownWrites.Add(1)
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

// replyAll sends the replies of a result that was written, or that needs no write.
func replyAll(operations []*operation, result once.Result) {
	result.Confirm()
	for i, r := range repliesOf(operations, result) {
		operations[i].reply <- r
	}
}

func recordNotRun(operations []*operation, result once.Result) {
	for i, r := range repliesOf(operations, result) {
		operations[i].notRun = r.decision.NotRun()
	}
}

func fail(operations []*operation, err error) {
	for _, o := range operations {
		o.fail(err)
	}
}

func (o *operation) fail(err error) {
	o.reply <- reply{err: err, notRun: o.notRun, inDoubt: o.inDoubt}
}

// dropCancelled fails and removes the operations whose context has ended. Writing
// their claims would be safe but useless.
func dropCancelled(operations []*operation) []*operation {
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

// isFinal reports whether every decision would be the same for a newer version of
// the partition.
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
