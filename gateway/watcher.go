package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// maxWatchWait bounds a watch without changes, whatever the bound of a change.
	maxWatchWait = time.Second
	// minWatchWait is the shortest wait for the first change.
	minWatchWait = 20 * time.Millisecond
	// membersWatchWait is longer, because changes of members are not urgent.
	membersWatchWait = 10 * time.Second
	// endpointWatchPause is the pause between two watches of the endpoints while they change,
	// so that one call returns several changes. It is far below the 2 s after which a
	// draining endpoint must get no new requests.
	endpointWatchPause = 200 * time.Millisecond
	// responseMargin is the time on top of the wait in which the store must respond.
	responseMargin = 400 * time.Millisecond
	// listTimeout bounds a list call: 300 KB take about 250 ms over a link of 10 Mbit/s.
	listTimeout = time.Second
	// slowTimeout applies after a timeout, because the store may be slow rather than down.
	slowTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the backoff after failed calls; the actual delay
	// is 50 % to 150 % of it.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// backoffFactor is the growth of the backoff. Members that are no hubs call a store that is
	// unavailable less often, because a hub tells them when it answers again.
	backoffFactor       = 2
	memberBackoffFactor = 4
	maxMemberBackoff    = 2 * time.Second
	// reregisterGrace is the time after an outage of the store in which endpoints whose
	// entries expired during the outage register again.
	reregisterGrace = 2200 * time.Millisecond
	// minOutage is the shortest outage during which entries may have expired.
	minOutage = time.Second
)

// errEarlierEra means that the store named an earlier era than another member has seen.
var errEarlierEra = eris.New("gateway: response of an earlier era of the store")

// watcher watches one kind of objects in the store while this member is a hub.
type watcher struct {
	kind         Kind
	gateway      *Gateway
	revision     Revision
	backoff      time.Duration
	failingSince instant // since when calls fail, or 0
	slow         bool
	// trusted means that the state was not listed since this member reads it, because a hub had
	// confirmed it up to a revision.
	trusted bool
	logger  *zap.Logger
}

func newWatcher(kind Kind, g *Gateway) *watcher {
	return &watcher{kind: kind, gateway: g, backoff: initialBackoff, logger: g.logger}
}

// run watches the objects while this member is a hub, or while no other member has sent it
// the state of the fleet in time.
func (w *watcher) run(ctx context.Context) {
	if w.kind == KindMembers {
		w.listInitially(ctx)
	}
	for ctx.Err() == nil {
		if !w.gateway.readsStore(w.kind) {
			w.revision = 0
			w.failingSince = 0
			w.gateway.awaitStoreUse(ctx, w.kind)
			w.begin()
			continue
		}
		if err := w.poll(ctx); err != nil {
			w.handleFailure(ctx, err)
		}
	}
}

// begin prepares the first call. If this member has a state that hubs have confirmed, it asks for
// the changes since then, because hundreds of members may begin in the same moment.
func (w *watcher) begin() {
	if w.kind >= confirmedKinds || !w.gateway.hubsTimedOut(w.kind) {
		return
	}
	w.revision = w.gateway.confirmations.revision(w.kind)
	w.trusted = w.revision != 0
	w.logger.Info("store: no hub confirms the state, reading it", zap.Stringer("kind", w.kind),
		zap.Uint64("since", w.revision.Number()), zap.Duration("age", w.gateway.confirmations.age(w.kind, bootTime())))
}

// listInitially lists the objects at the start, unless another hub is known. At the first
// start of a fleet it first waits for the seeds.
func (w *watcher) listInitially(ctx context.Context) {
	for ctx.Err() == nil && !w.gateway.fleet.hasOtherHub() && bootTime().since(w.gateway.fleet.start) < w.gateway.bootstrapDelay {
		sleep(ctx, startPoll)
	}
	for ctx.Err() == nil && !w.gateway.fleet.hasOtherHub() {
		err := w.list(ctx)
		if err == nil {
			return
		}
		w.handleFailure(ctx, err)
	}
}

func (w *watcher) poll(ctx context.Context) error {
	era, eraContext := w.gateway.era()
	if w.revision == 0 || w.revision.Era() < era {
		return w.list(ctx)
	}
	wait := w.wait(bootTime())
	limited, cancel := context.WithTimeout(ctx, wait+w.responseTimeout())
	defer cancel()
	defer context.AfterFunc(eraContext, cancel)()
	began := bootTime()
	batch, err := w.gateway.store.Watch(limited, w.kind, w.revision, wait)
	if errors.Is(err, ErrCompacted) {
		w.logger.Info("store: history is gone, listing again", zap.Stringer("kind", w.kind),
			zap.Uint64("since", w.revision.Number()), zap.Uint64("era", w.revision.Era()))
		return w.list(ctx)
	}
	if eraContext.Err() != nil {
		return w.list(ctx)
	}
	if err != nil {
		return err
	}
	w.handleSuccess(bootTime().since(began) - wait)
	w.gateway.applyBatch(w.kind, batch, false)
	confirmedAt := began
	if now := bootTime(); batch.empty() && now.since(began) >= wait {
		// The store had no change until the wait ended.
		confirmedAt += instant(wait)
	}
	w.confirm(batch.Revision, confirmedAt)
	if w.trusted && w.gateway.fleet.isHub() {
		// Others follow the state of a hub, so that no change may be missing for good.
		return w.list(ctx)
	}
	if w.kind == KindEndpoints && len(batch.Endpoints) > 0 {
		sleep(ctx, min(endpointWatchPause, w.untilOutdated(bootTime())))
	}
	return nil
}

// wait returns how long the next watch waits for a change, so that the state of a hub is confirmed
// again before its last confirmation is older than a watch, and right before a state message.
func (w *watcher) wait(now instant) time.Duration {
	if w.kind >= confirmedKinds {
		return membersWatchWait
	}
	wait := max(minWatchWait, w.untilOutdated(now))
	if !w.gateway.fleet.isHub() {
		return wait
	}
	return min(wait, w.gateway.untilConfirmation(w.kind, now))
}

// untilOutdated returns the time until the last confirmation by this member is older than a watch.
// It is negative if that has passed.
func (w *watcher) untilOutdated(now instant) time.Duration {
	longest := min(maxWatchWait, share(w.gateway.changeBound, watchShare))
	return longest - now.since(w.gateway.fleet.ownConfirmation(w.kind).at)
}

// sleep waits for the duration or until the context is canceled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *watcher) list(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, max(listTimeout, w.responseTimeout()))
	defer cancel()
	began := bootTime()
	batch, err := w.gateway.store.List(limited, w.kind)
	if err != nil {
		return err
	}
	if era, _ := w.gateway.era(); batch.Revision.Era() < era {
		return eris.Wrapf(errEarlierEra, "era %d after %d", batch.Revision.Era(), era)
	}
	w.trusted = false
	w.handleSuccess(bootTime().since(began))
	w.gateway.applyBatch(w.kind, batch, true)
	w.confirm(batch.Revision, began)
	return nil
}

func (w *watcher) responseTimeout() time.Duration {
	if w.slow {
		return slowTimeout
	}
	return responseMargin
}

// confirm records that the state includes all changes up to a revision, and all that the store
// confirmed before an instant.
func (w *watcher) confirm(revision Revision, at instant) {
	confirmed := confirmation{at: at, revision: revision}
	w.gateway.fleet.storeAnswered(w.kind, confirmed)
	w.gateway.confirmations.read(w.kind, confirmed)
	first := w.revision == 0
	w.revision = revision
	// A prompt broadcast keeps other members from taking over the hub role, and from reading the
	// store.
	if w.gateway.fleet.isHub() && (first || w.gateway.confirmationIsUrgent(bootTime())) {
		w.gateway.pending.notify()
	}
}

// handleSuccess ends an outage of the store before what it returned after a time is applied.
func (w *watcher) handleSuccess(responseTime time.Duration) {
	w.slow = responseTime > responseMargin
	w.backoff = initialBackoff
	if w.failingSince == 0 {
		return
	}
	outage := bootTime().since(w.failingSince)
	w.failingSince = 0
	w.logger.Info("store: answers again", zap.Stringer("kind", w.kind), zap.Duration("outage", outage))
	if w.kind != KindEndpoints {
		return
	}
	if outage >= storeFailureGrace && !w.gateway.fleet.isHub() {
		// A member calls the store only after it has heard nothing from it for a while.
		outage = max(outage, w.gateway.confirmations.age(KindEndpoints, bootTime()))
	}
	if outage >= minOutage {
		w.gateway.setReregisterDeadline(time.Now().Add(reregisterGrace))
	}
}

func (w *watcher) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.slow = errors.Is(err, context.DeadlineExceeded)
	w.gateway.fleet.storeFailed(w.kind)
	if w.failingSince == 0 {
		w.failingSince = bootTime()
		w.logger.Warn("store: a call failed", zap.Stringer("kind", w.kind),
			zap.Uint64("since", w.revision.Number()), zap.String("error", err.Error()))
	}
	wait := w.backoff/2 + rand.N(w.backoff)
	if w.gateway.fleet.isHub() || !w.gateway.Ready() {
		w.backoff = min(backoffFactor*w.backoff, maxBackoff)
	} else {
		w.backoff = min(memberBackoffFactor*w.backoff, maxMemberBackoff)
	}
	sleep(ctx, wait)
}
