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
	// watchWait bounds a watch without changes, so that a dead connection is detected well
	// before the 2 s after which a draining endpoint must get no new requests.
	watchWait = time.Second
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
	logger       *zap.Logger
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
		if !w.gateway.fleet.isHub() && !w.gateway.peersTimedOut() {
			w.revision = 0
			w.failingSince = 0
			w.gateway.awaitStoreUse(ctx)
			continue
		}
		if err := w.poll(ctx); err != nil {
			w.handleFailure(ctx, err)
		}
	}
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
	wait := watchWait
	if w.kind == KindMembers {
		wait = membersWatchWait
	}
	era, eraContext := w.gateway.era()
	if w.revision == 0 || w.revision.Era() < era {
		return w.list(ctx)
	}
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
	w.handleSuccess()
	w.gateway.applyBatch(w.kind, batch, false)
	confirmedAt := began
	if now := bootTime(); batch.empty() && now.since(began) >= wait {
		// The store had no change until the wait ended.
		confirmedAt += instant(wait)
	}
	w.confirm(batch.Revision, confirmedAt)
	if w.kind == KindEndpoints && len(batch.Endpoints) > 0 {
		sleep(ctx, endpointWatchPause)
	}
	return nil
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
	w.handleSuccess()
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
	if first && w.gateway.fleet.isHub() {
		// A prompt broadcast keeps other members from taking over the hub role.
		w.gateway.pending.notify()
	}
}

// handleSuccess ends an outage of the store before what it returned is applied.
func (w *watcher) handleSuccess() {
	w.backoff = initialBackoff
	if w.failingSince == 0 {
		return
	}
	outage := bootTime().since(w.failingSince)
	w.failingSince = 0
	w.logger.Info("store: answers again", zap.Stringer("kind", w.kind), zap.Duration("outage", outage))
	if w.kind == KindEndpoints && outage >= minOutage {
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
	w.backoff = min(2*w.backoff, maxBackoff)
	sleep(ctx, wait)
}
