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
	// maxAuditAttempts and auditRetryDelay bound the retries of one entry.
	maxAuditAttempts = 20
	auditRetryDelay  = 500 * time.Millisecond
)

// publishAudit queues changes for the audit loop.
func (c *Control) publishAudit(service string, changes []ejection.Change) {
	for _, change := range changes {
		payload, err := json.Marshal(ejection.TrailEntry{
			Service: service, Time: time.Now().UTC(), Proxy: c.self.Name(),
			Action: change.Action, Entry: change.Entry,
		})
		if err != nil {
			continue
		}
		if err := c.auditEvents.Publish(topicAudit, message.NewMessage(watermill.NewUUID(), payload)); err != nil {
			c.logger.Error("operator: cannot queue an audit entry", zap.Error(err), zap.ByteString("entry", payload))
		}
	}
}

// auditLoop appends ejection changes to the audit trail on the platform.
func (c *Control) auditLoop(ctx context.Context) error {
	entries, err := c.auditEvents.Subscribe(ctx, topicAudit)
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

// appendAudit retries while the platform is unavailable. An entry that cannot
// be written within the retries is logged, so that it can be recovered.
func (c *Control) appendAudit(ctx context.Context, entry ejection.TrailEntry) {
	for range maxAuditAttempts {
		err := c.tryAppendAudit(ctx, entry)
		if err == nil || ctx.Err() != nil {
			return
		}
		pause(ctx, auditRetryDelay)
	}
	c.logger.Error("operator: cannot write an audit entry", zap.Any("entry", entry))
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

// createSegment writes a full segment of the trail. A segment that already
// exists holds the same entries.
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
