package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

const (
	topicAudit = "audit.ejection"
	// auditAttempts and auditPause bound the retries of one entry.
	auditAttempts = 20
	auditPause    = 500 * time.Millisecond
)

// publishAudit hands changes to the audit duty.
func (c *Control) publishAudit(service string, changes []ejection.Change) {
	for _, change := range changes {
		payload, err := json.Marshal(ejection.TrailEntry{
			Service: service, Time: time.Now().UTC(), Proxy: c.self.Name(),
			Action: change.Action, Entry: change.Entry,
		})
		if err != nil {
			continue
		}
		if err := c.events.Publish(topicAudit, message.NewMessage(watermill.NewUUID(), payload)); err != nil {
			c.logger.Error("operator: audit entry not queued", zap.Error(err), zap.ByteString("entry", payload))
		}
	}
}

// auditDuty appends ejection changes to the audit trail on the platform.
func (c *Control) auditDuty(ctx context.Context) error {
	entries, err := c.events.Subscribe(ctx, topicAudit)
	if err != nil {
		return eris.Wrap(err, "control: cannot subscribe to audit entries")
	}
	for m := range entries {
		var entry ejection.TrailEntry
		if err := json.Unmarshal(m.Payload, &entry); err == nil {
			c.appendAudit(ctx, entry)
		}
		m.Ack()
	}
	return nil
}

// appendAudit retries while the platform is away. An entry that cannot be
// written in time is logged, so that it is not lost without a trace.
func (c *Control) appendAudit(ctx context.Context, entry ejection.TrailEntry) {
	for range auditAttempts {
		err := c.tryAppendAudit(ctx, entry)
		if err == nil || ctx.Err() != nil {
			return
		}
		pause(ctx, auditPause)
	}
	c.logger.Error("operator: audit entry not written", zap.Any("entry", entry))
}

func (c *Control) tryAppendAudit(ctx context.Context, entry ejection.TrailEntry) error {
	name := ejection.TrailName(entry.Service)
	object, err := c.platform.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	trail, err := ejection.DecodeTrail(object.Value)
	if err != nil || trail.Has(entry) {
		return err
	}
	next, full := trail.Append(entry)
	if len(full) > 0 {
		if err := c.createSegment(ctx, ejection.TrailSegmentName(entry.Service, trail.Archived), full); err != nil {
			return err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "control: cannot encode the audit trail")
	}
	_, err = c.platform.Put(ctx, name, object.Version, value)
	return err
}

// createSegment writes a segment. One that exists already was written from the
// same entries.
func (c *Control) createSegment(ctx context.Context, name string, entries []ejection.TrailEntry) error {
	value, err := json.Marshal(entries)
	if err != nil {
		return eris.Wrap(err, "control: cannot encode an audit segment")
	}
	_, err = c.platform.Put(ctx, name, 0, value)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
