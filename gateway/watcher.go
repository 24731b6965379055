package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// watchWait bounds the wait of a watch, so that a silent connection is noticed
	// well before a leaving endpoint must get no more work.
	watchWait = time.Second
	// membersWait is longer, because news of members are not urgent.
	membersWait = 10 * time.Second
	// changesPause is the time between two watches of the endpoints while they change, so
	// that one call brings several changes. It is far below the two seconds after which
	// a leaving endpoint must get no more work.
	changesPause = 200 * time.Millisecond
	// answerTimeout is the time beyond the wait in which the store must answer.
	answerTimeout = 400 * time.Millisecond
	// listTimeout bounds a list: some 300 KB take 250 ms over a link of 10 Mbit/s.
	listTimeout = time.Second
	// slowTimeout is used after a timeout: the store may be slow, not silent.
	slowTimeout = 2 * time.Second
	// retryFirst and retryMost bound the time between failed calls.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// lapseGrace is the time after an outage of the store in which endpoints whose
	// entries lapsed meanwhile register again.
	lapseGrace = 2200 * time.Millisecond
	// outageLeast is the length of a loss of contact from which entries may have lapsed.
	outageLeast = time.Second
)

// watcher follows one kind of objects in the store while this member is a hub.
type watcher struct {
	kind    Kind
	gateway *Gateway
	since   uint64
	backoff time.Duration
	failing age // since when calls fail, or 0
	slow    bool
	logger  *zap.Logger
}

func newWatcher(kind Kind, g *Gateway) *watcher {
	return &watcher{kind: kind, gateway: g, backoff: retryFirst, logger: g.logger}
}

// run watches the objects whenever this member is a hub, and lists them if nobody
// else tells it the state of the fleet.
func (w *watcher) run(ctx context.Context) {
	if w.kind == KindMembers {
		w.once(ctx)
	}
	for ctx.Err() == nil {
		if !w.gateway.fleet.isHub() && !w.gateway.alone() {
			w.since = 0
			w.failing = 0
			w.gateway.awaitDuty(ctx)
			continue
		}
		if err := w.step(ctx); err != nil {
			w.fail(ctx, err)
		}
	}
}

// once lists the objects at the start, unless a hub is heard while the seeds get time to
// answer.
func (w *watcher) once(ctx context.Context) {
	for ctx.Err() == nil && !w.gateway.fleet.heardHub() && bootTime().since(w.gateway.fleet.start) < w.gateway.alonePatience {
		pause(ctx, startPoll)
	}
	for ctx.Err() == nil && !w.gateway.fleet.heardHub() {
		err := w.list(ctx)
		if err == nil {
			return
		}
		w.fail(ctx, err)
	}
}

func (w *watcher) step(ctx context.Context) error {
	wait := watchWait
	if w.kind == KindMembers {
		wait = membersWait
	}
	if w.since == 0 {
		return w.list(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, wait+w.patience())
	defer cancel()
	batch, err := w.gateway.store.Watch(limited, w.kind, w.since, wait)
	if errors.Is(err, ErrCompacted) {
		w.logger.Info("store: history is gone, listing again", zap.Stringer("kind", w.kind), zap.Uint64("since", w.since))
		return w.list(ctx)
	}
	if err != nil {
		return err
	}
	w.succeed()
	w.since = batch.Revision
	w.gateway.apply(w.kind, batch, false)
	if w.kind == KindEndpoints && len(batch.Endpoints) > 0 {
		pause(ctx, changesPause)
	}
	return nil
}

// pause waits, unless the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *watcher) list(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, max(listTimeout, w.patience()))
	defer cancel()
	batch, err := w.gateway.store.List(limited, w.kind)
	if err != nil {
		return err
	}
	w.succeed()
	w.since = batch.Revision
	w.gateway.apply(w.kind, batch, true)
	return nil
}

func (w *watcher) patience() time.Duration {
	if w.slow {
		return slowTimeout
	}
	return answerTimeout
}

func (w *watcher) succeed() {
	w.gateway.fleet.storeAnswered()
	if w.since == 0 && w.gateway.fleet.isHub() {
		// The other members need not take over.
		w.gateway.news.wake()
	}
	w.backoff = retryFirst
	if w.failing == 0 {
		return
	}
	outage := bootTime().since(w.failing)
	w.failing = 0
	w.logger.Info("store: answers again", zap.Stringer("kind", w.kind), zap.Duration("outage", outage))
	if w.kind == KindEndpoints && outage >= outageLeast {
		w.gateway.setLapseEnd(time.Now().Add(lapseGrace))
	}
}

func (w *watcher) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.slow = errors.Is(err, context.DeadlineExceeded)
	w.gateway.fleet.storeFailed()
	if w.failing == 0 {
		w.failing = bootTime()
		w.logger.Warn("store: a call failed", zap.Stringer("kind", w.kind),
			zap.Uint64("since", w.since), zap.String("error", err.Error()))
	}
	wait := w.backoff/2 + rand.N(w.backoff)
	w.backoff = min(2*w.backoff, retryMost)
	pause(ctx, wait)
}
