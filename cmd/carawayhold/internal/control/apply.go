package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

// applyCandidate activates a complete candidate. Several loops find newer
// configurations; applyMu serializes them so that the request path never
// switches back to an older one. The documents are decoded first, so that a
// revision that cannot be decoded never counts as held.
func (c *Control) applyCandidate(candidate *rollout.Candidate) error {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if candidate.Head().Revision <= c.config.revision() {
		return nil
	}
	d, err := c.config.decode(candidate)
	if err != nil {
		return err
	}
	if err := c.config.holder.Apply(candidate); err != nil {
		return err
	}
	c.config.set(d)
	c.datapath.Apply(d.change)
	c.members.setRevision(d.change.Revision)
	c.evidence.apply(d.change)
	c.refreshAvailability()
	c.notifySyncClients()
	return nil
}

// applyFromPlatform reads the documents of a head and applies it.
func (c *Control) applyFromPlatform(ctx context.Context, head rollout.Head) error {
	candidate, err := c.config.holder.Stage(head)
	if errors.Is(err, rollout.ErrNotNewer) {
		return nil
	}
	if err != nil {
		return err
	}
	c.supplyFromPeer(ctx, candidate)
	for _, ref := range candidate.MissingDocuments() {
		object, err := c.platform.Get(ctx, ref.Name)
		if err != nil {
			return err
		}
		if err := candidate.AddDocument(ref.Name, object.Value); err != nil {
			return err
		}
	}
	return c.applyCandidate(candidate)
}

// supplyFromPeer fetches documents from a member that holds the candidate's
// revision or a newer one. Otherwise the restart of a whole zone would read
// every document from the platform once per proxy. Documents that the member
// lacks are read from the platform; the digests are checked in both cases.
func (c *Control) supplyFromPeer(ctx context.Context, candidate *rollout.Candidate) {
	revision, member := c.members.newestConfig()
	if len(candidate.MissingDocuments()) == 0 || revision < candidate.Head().Revision ||
		member.Incarnation() == c.self.Incarnation() {
		return
	}
	if err := c.fetchDocuments(ctx, member, candidate); err != nil {
		c.logger.Info("operator: reading documents from the platform instead of a peer", zap.String("reason", err.Error()))
	}
}

// applyFromPeer fetches and applies the revisions of a member that this proxy
// lacks.
func (c *Control) applyFromPeer(ctx context.Context, member membership.Member) error {
	reply, err := c.fetch(ctx, member, fetchRequest{Base: c.config.revision()})
	if err != nil {
		return err
	}
	if reply.Delta == nil {
		return nil
	}
	candidate, err := c.config.holder.StageDelta(*reply.Delta)
	if errors.Is(err, rollout.ErrDelta) {
		if reply, err = c.fetch(ctx, member, fetchRequest{}); err != nil || reply.Delta == nil {
			return err
		}
		candidate, err = c.config.holder.StageDelta(*reply.Delta)
	}
	if errors.Is(err, rollout.ErrNotNewer) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := c.fetchDocuments(ctx, member, candidate); err != nil {
		return err
	}
	return c.applyCandidate(candidate)
}

// readHead reads the head from the platform and applies it.
func (c *Control) readHead(ctx context.Context) error {
	sentAt := time.Now()
	object, err := c.platform.Get(ctx, rollout.HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		c.headConfirmed(sentAt, 0)
		return nil
	}
	if err != nil {
		return err
	}
	return c.applyHead(ctx, object.Value, sentAt)
}

func (c *Control) applyHead(ctx context.Context, value []byte, sentAt time.Time) error {
	head, err := rollout.DecodeHead(value)
	if err != nil {
		return err
	}
	c.headConfirmed(sentAt, head.Revision)
	return c.applyFromPlatform(ctx, head)
}

// headConfirmed records that the platform returned this head revision.
func (c *Control) headConfirmed(sentAt time.Time, revision int64) {
	c.config.confirmByPlatform(sentAt, revision)
	c.members.setConfirmed(sentAt)
}
