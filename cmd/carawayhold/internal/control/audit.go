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
	topicAudit  = "audit.ejection"
	auditPrefix = "audit/ejection/"
	// auditEntries bounds one service's trail; at about 300 bytes an entry it
	// stays far below the platform's limit of a megabyte.
	auditEntries = 1000
	// auditAttempts and auditPause bound the retries of one entry.
	auditAttempts = 20
	auditPause    = 500 * time.Millisecond
)

// AuditEntry is one change of an ejection ledger in the audit trail.
type AuditEntry struct {
	Service string          `json:"service"`
	Time    time.Time       `json:"time"`
	Proxy   string          `json:"proxy"`
	Action  ejection.Action `json:"action"`
	Entry   ejection.Entry  `json:"entry"`
}

// key identifies an entry, so that it is not written twice after a lost answer.
func (e AuditEntry) key() string {
	return string(e.Action) + "/" + e.Entry.Endpoint + "/" + e.Entry.Operation
}

// publishAudit hands changes to the audit duty.
func (c *Control) publishAudit(service string, changes []ejection.Change) {
	for _, change := range changes {
		payload, err := json.Marshal(AuditEntry{
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
		var entry AuditEntry
		if err := json.Unmarshal(m.Payload, &entry); err == nil {
			c.appendAudit(ctx, entry)
		}
		m.Ack()
	}
	return nil
}

// appendAudit retries while the platform is away. An entry that cannot be
// written in time is logged, so that it is not lost without a trace.
func (c *Control) appendAudit(ctx context.Context, entry AuditEntry) {
	for range auditAttempts {
		err := c.tryAppendAudit(ctx, entry)
		if err == nil || ctx.Err() != nil {
			return
		}
		pause(ctx, auditPause)
	}
	c.logger.Error("operator: audit entry not written", zap.Any("entry", entry))
}

func (c *Control) tryAppendAudit(ctx context.Context, entry AuditEntry) error {
	name := auditPrefix + entry.Service
	object, err := c.platform.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var entries []AuditEntry
	if len(object.Value) > 0 {
		if err := json.Unmarshal(object.Value, &entries); err != nil {
			return eris.Wrapf(err, "control: %s is not readable", name)
		}
	}
	for _, e := range entries {
		if e.key() == entry.key() {
			return nil
		}
	}
	entries = append(entries, entry)
	entries = entries[max(0, len(entries)-auditEntries):]
	value, err := json.Marshal(entries)
	if err != nil {
		return eris.Wrap(err, "control: cannot encode the audit trail")
	}
	_, err = c.platform.Put(ctx, name, object.Version, value)
	return err
}
