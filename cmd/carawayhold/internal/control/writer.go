package control

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

// ledgerWriteLoop writes the queued ledgers one at a time.
func (c *Control) ledgerWriteLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case name := <-c.ledgerWork:
			service, _, ok := c.config.service(name)
			rank := c.evaluatorRank(name)
			if !ok || rank < 0 || !c.needsWrite(service, rank, time.Now()) {
				continue
			}
			if err := c.writeLedger(ctx, service, rank); err != nil && ctx.Err() == nil {
				c.logger.Warn("endpoint: cannot write the ejection ledger", zap.String("service", name), zap.Error(err))
			}
		}
	}
}

// writeLedger reads the current ledger, applies the changes that the evidence
// calls for and writes the result by conditional update. The next evaluation
// retries after a failure, because the evidence persists.
func (c *Control) writeLedger(ctx context.Context, s config.Service, rank int) error {
	version, err := c.readLedger(ctx, s.Name)
	if err != nil {
		return err
	}
	now := time.Now()
	operation := uuid.NewString()
	planned, err := c.draft(s, rank, operation, now)
	if err != nil || !planned.needed {
		return err
	}
	value, err := planned.next.Encode()
	if err != nil {
		return err
	}
	sentAt := time.Now()
	written, err := c.platform.Put(ctx, ejection.ObjectName(s.Name), version, value)
	if err != nil {
		return c.readBack(ctx, s.Name, ejection.NewWrite(operation, planned.base, version), planned.changes, err)
	}
	c.ledgerWritten(s.Name, planned.next, written, sentAt, planned.changes)
	return nil
}

// readLedger reads the ledger from the platform and returns its version, 0 if
// there is none.
func (c *Control) readLedger(ctx context.Context, service string) (int64, error) {
	sentAt := time.Now()
	object, err := c.platform.Get(ctx, ejection.ObjectName(service))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	ledger, err := ejection.Decode(service, object.Value)
	if err != nil {
		return 0, err
	}
	return object.Version, c.ledgers.observePlatform(service, ledger, object.Version, sentAt, time.Now())
}

// ledgerWrite is a drafted write of a ledger.
type ledgerWrite struct {
	base    ejection.Ledger
	next    ejection.Ledger
	changes []ejection.Change
	needed  bool
}

// draft applies removals, returns and proposals to the current copy of the
// ledger.
func (c *Control) draft(s config.Service, rank int, operation string, now time.Time) (ledgerWrite, error) {
	var w ledgerWrite
	var err error
	pool := c.pool(s, now)
	c.ledgers.with(s.Name, func(v *ejection.View) {
		w.base, _ = v.Ledger()
		d := ejection.NewDraft(w.base, pool, c.self.Incarnation().String(), operation, now)
		for _, name := range v.Removable(now) {
			c.logRefusal(s.Name, name, d.Remove(name, v))
		}
		c.evidence.with(s.Name, func(ev *serviceEvidence) {
			for _, name := range ev.returnable(w.base) {
				c.logRefusal(s.Name, name, d.Return(name))
			}
			for _, suspect := range ev.dueSuspects(w.base, rank, now) {
				err := d.Propose(ejection.Candidate{
					Endpoint: suspect.Endpoint, Kind: suspect.Kind.String(), Evidence: suspect.Evidence,
				})
				c.logRefusal(s.Name, suspect.Endpoint, err)
			}
		})
		w.next, w.changes, err = d.Finish()
		w.needed = d.Changed()
	})
	return w, err
}

func (c *Control) logRefusal(service, endpoint string, err error) {
	if err == nil {
		return
	}
	c.logger.Info("endpoint: ledger change refused", zap.String("service", service),
		zap.String("endpoint", endpoint), zap.String("reason", err.Error()))
}

// readBack reads the ledger to find out whether a write that returned an
// error took effect. It returns cause if it did not or if that is unknown.
func (c *Control) readBack(
	ctx context.Context, service string, write ejection.Write, changes []ejection.Change, cause error,
) error {
	if _, err := c.readLedger(ctx, service); err != nil {
		return cause
	}
	outcome := ejection.OutcomePending
	c.ledgers.with(service, func(v *ejection.View) {
		ledger, version := v.Ledger()
		outcome = write.Outcome(ledger, version)
	})
	if outcome != ejection.OutcomeApplied {
		return cause
	}
	c.ledgerChanged(service, changes)
	return nil
}

func (c *Control) ledgerWritten(
	service string, next ejection.Ledger, version int64, sentAt time.Time, changes []ejection.Change,
) {
	if err := c.ledgers.observePlatform(service, next, version, sentAt, time.Now()); err != nil {
		c.logger.Error("endpoint: cannot apply the proxy's own ledger write", zap.Error(err))
	}
	c.ledgerChanged(service, changes)
}

func (c *Control) ledgerChanged(service string, changes []ejection.Change) {
	for _, change := range changes {
		c.logger.Info("endpoint: ledger changed", zap.String("service", service),
			zap.String("action", string(change.Action)), zap.String("endpoint", change.Entry.Endpoint),
			zap.String("kind", change.Entry.Kind), zap.Float64("evidence", change.Entry.Evidence))
	}
	c.refreshAvailability()
	c.publishAudit(service, changes)
}
