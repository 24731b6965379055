package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/rollout"
)

const (
	syncPeriod = 2 * time.Second
	// readerStaleAfter is the age of a reader's platform read above which the
	// next reader is tried as well.
	readerStaleAfter = 6 * time.Second
	// maxReadersPerSync bounds the readers that one sync tries.
	maxReadersPerSync = 3
	// directReadPeriod is the shortest time between direct reads of the
	// platform by a proxy without a usable reader.
	directReadPeriod = 5 * time.Second
	// discoveryTimeout bounds how long a starting proxy waits until it has met
	// another member, and discoveryPoll is how often it checks.
	discoveryTimeout = 2 * time.Second
	discoveryPoll    = 100 * time.Millisecond
	// maxStartReports bounds the members that a starting proxy queries.
	maxStartReports = 32
)

// syncLoop keeps the state of this proxy up to date with a reader.
func (c *Control) syncLoop(ctx context.Context) error {
	var directAt time.Time
	return every(ctx, syncPeriod, c.syncNow, func(ctx context.Context) {
		now := time.Now()
		c.observeMembers(now)
		if !c.discoveryDone(now) {
			time.AfterFunc(discoveryPoll, c.requestSync)
			return
		}
		if c.sync(ctx) || !now.After(directAt) {
			return
		}
		// The random delay prevents proxies that lost their readers at the same
		// time from reading the platform at the same time.
		directAt = now.Add(directReadPeriod + rand.N(directReadPeriod))
		c.syncWithoutReader(ctx, now)
	})
}

// sync fetches newer state from the platform, the readers and the other
// members, and reports whether a reader with a recent read of the platform
// was found.
func (c *Control) sync(ctx context.Context) bool {
	if c.config.lacksAccepted() {
		// After a failure, the revision still arrives through the readers.
		_ = c.readHead(ctx)
	}
	if c.config.revision() == 0 {
		c.loadFirstConfig(ctx)
	}
	synced := c.syncAsReader(ctx) || c.syncWithReaders(ctx)
	held := c.config.revision()
	if revision, member := c.members.newestConfig(); held > 0 && revision > held {
		c.fetchFrom(ctx, member)
	}
	return synced
}

// discoveryDone reports whether this proxy has met another member or waited
// long enough for one. Until then it neither reads the configuration from the
// platform nor acts as a reader, so that the proxies of a restarting zone
// fetch from their peers and don't all read the platform.
func (c *Control) discoveryDone(now time.Time) bool {
	return now.Sub(c.started) > discoveryTimeout || c.members.liveCount() > 1 || !c.members.hasSeeds()
}

// observeMembers updates the freshness of the configuration from the
// membership messages.
func (c *Control) observeMembers(now time.Time) {
	if c.members.reachesMajority(now) {
		c.config.observeMajority(now)
	}
	if at, ok := c.members.confirmed(); ok {
		revision, _ := c.members.newestConfig()
		c.config.confirmByPeer(at, 0, revision)
	}
}

// syncAsReader syncs with one other reader if this proxy is a reader.
// Draining marks from responses of endpoints are not stored on the platform,
// so a reader that missed the message gets them only from another reader.
func (c *Control) syncAsReader(ctx context.Context) bool {
	readers := c.members.readers()
	rank := c.members.rank(readers)
	if rank < 0 {
		return false
	}
	if others := slices.Delete(slices.Clone(readers), rank, rank+1); len(others) > 0 {
		// The failure detector of membership handles a reader that doesn't
		// respond.
		_, _ = c.syncWith(ctx, others[rand.IntN(len(others))])
	}
	return true
}

// syncWithReaders tries readers until one has a recent platform read.
func (c *Control) syncWithReaders(ctx context.Context) bool {
	for _, reader := range c.preferredReaders() {
		reply, err := c.syncWith(ctx, reader)
		if err == nil && reply.ConfirmedAgeMillis >= 0 && reply.ConfirmedAgeMillis < readerStaleAfter.Milliseconds() {
			return true
		}
		if ctx.Err() != nil {
			return true
		}
	}
	return false
}

// preferredReaders returns the readers that this proxy tries, in order. The
// order depends on the proxy's name, which spreads the fleet over the
// readers.
func (c *Control) preferredReaders() []membership.Member {
	readers := c.members.readers()
	start := startIndex(c.self.Name(), len(readers))
	var ordered []membership.Member
	for i := range min(maxReadersPerSync, len(readers)) {
		ordered = append(ordered, readers[(start+i)%len(readers)])
	}
	return ordered
}

// preferredReader returns the reader that this proxy tries first: itself, if
// it is one.
func (c *Control) preferredReader() membership.Member {
	if c.members.containsSelf(c.members.readers()) {
		return c.self
	}
	if ordered := c.preferredReaders(); len(ordered) > 0 {
		return ordered[0]
	}
	return c.self
}

// syncOnReaderChange syncs immediately when another proxy becomes the
// preferred reader. Before the first sync the new reader sends no notices to
// this proxy, and a change found elsewhere would take two sync periods
// instead of one.
func (c *Control) syncOnReaderChange() {
	reader := c.preferredReader().Incarnation()
	if former := c.reader.Swap(&reader); former == nil || *former != reader {
		c.requestSync()
	}
}

// syncWith syncs with a member and fetches a newer configuration from it. The
// first configuration of a process is left to loadFirstConfig, which compares
// all members that respond.
func (c *Control) syncWith(ctx context.Context, member membership.Member) (syncReply, error) {
	reply, err := c.requestState(ctx, member)
	if held := c.config.revision(); err == nil && held > 0 && reply.Revision > held {
		c.fetchFrom(ctx, member)
	}
	return reply, err
}

// requestState sends one state.sync request to a member and applies
// everything in the reply except for the configuration.
func (c *Control) requestState(ctx context.Context, member membership.Member) (syncReply, error) {
	var reply syncReply
	sentAt := time.Now()
	request := syncRequest{Revision: c.config.revision(), StoreVersion: c.ledgers.version(), Marks: c.draining.all()}
	if err := c.request(ctx, member, peer.TopicStateSync, request, &reply); err != nil {
		return reply, err
	}
	c.applySyncReply(reply, sentAt, time.Now())
	return reply, nil
}

func (c *Control) fetchFrom(ctx context.Context, member membership.Member) {
	if err := c.applyFromPeer(ctx, member); err != nil {
		c.logger.Warn("operator: cannot fetch the configuration", zap.String("member", member.Name()), zap.Error(err))
	}
}

func (c *Control) applySyncReply(reply syncReply, sentAt, receivedAt time.Time) {
	if reply.ConfirmedAgeMillis >= 0 {
		c.config.confirmByPeer(sentAt, time.Duration(reply.ConfirmedAgeMillis)*time.Millisecond, reply.Revision)
	}
	c.config.observeRevision(reply.Revision)
	changed := len(c.draining.add(reply.Marks)) > 0
	if changed {
		// The mark's own message finds it already set and notifies nobody.
		c.notifySyncClients()
	}
	if reply.LedgersAgeMillis >= 0 {
		age := time.Duration(reply.LedgersAgeMillis) * time.Millisecond
		ledgersChanged := c.applyLedgerUpdate(ledgerUpdate{
			ledgers: reply.Ledgers, storeVersion: reply.StoreVersion,
			readSentAt: sentAt.Add(-age), receivedAt: receivedAt,
		})
		changed = changed || ledgersChanged
	}
	if changed {
		c.refreshAvailability()
	}
}

// applyLedgerUpdate applies an update of the ledgers and reports whether one
// changed.
func (c *Control) applyLedgerUpdate(update ledgerUpdate) bool {
	changed, malformed := c.ledgers.apply(update)
	for _, service := range malformed {
		c.logger.Error("platform: ejection ledger is malformed", zap.String("service", service))
	}
	return changed
}

// handleSync serves state.sync.
func (c *Control) handleSync(_ context.Context, request peer.Request) ([]byte, error) {
	return c.handleSyncPayload(request.Payload(), request.From())
}

func (c *Control) handleSyncPayload(payload []byte, from string) ([]byte, error) {
	var request syncRequest
	if err := peer.Decode(payload, &request); err != nil {
		return nil, eris.Wrap(err, "control: malformed request")
	}
	now := time.Now()
	c.syncClients.add(from, now)
	if added := c.draining.add(request.Marks); len(added) > 0 {
		c.refreshAvailability()
		for _, mark := range added {
			c.propagateMark(mark)
		}
	}
	reply := syncReply{
		Revision: c.config.revision(), StoreVersion: c.ledgers.version(),
		ConfirmedAgeMillis: -1, LedgersAgeMillis: -1, Marks: c.draining.all(),
	}
	if age, ok := c.config.confirmedAge(now); ok {
		reply.ConfirmedAgeMillis = roundUpMillis(age)
	}
	if copies, age, held := c.ledgers.newerThan(request.StoreVersion, now); held {
		reply.Ledgers, reply.LedgersAgeMillis = copies, roundUpMillis(age)
	}
	return peer.Encode(reply)
}

// roundUpMillis rounds up, so that an age never looks smaller than it is.
func roundUpMillis(age time.Duration) int64 {
	return (age + time.Millisecond - time.Nanosecond).Milliseconds()
}

// loadFirstConfig loads the first configuration of a new process: from the
// platform, or else the newest one that a majority of the members reports.
func (c *Control) loadFirstConfig(ctx context.Context) {
	if c.readHead(ctx) == nil {
		return
	}
	var reports []rollout.PeerReport
	byIncarnation := map[string]membership.Member{}
	others := c.shuffledPeers()
	for _, m := range others[:min(maxStartReports, len(others))] {
		reply, err := c.requestState(ctx, m)
		if err != nil {
			continue
		}
		id := m.Incarnation().String()
		reports = append(reports, rollout.PeerReport{Incarnation: id, Revision: reply.Revision})
		byIncarnation[id] = m
	}
	source, chosen := rollout.ChooseStart(rollout.StartInput{
		Now: time.Now(), Started: c.started, PlatformRevision: -1,
		Reports: reports, Members: len(others),
	})
	if source != rollout.StartFromPeer {
		return
	}
	if err := c.applyFromPeer(ctx, byIncarnation[chosen]); err != nil {
		c.logger.Warn("operator: cannot fetch the first configuration", zap.Error(err))
	}
}

// shuffledPeers returns the other live members in random order.
func (c *Control) shuffledPeers() []membership.Member {
	var others []membership.Member
	for _, m := range c.members.live() {
		if m.Incarnation() != c.self.Incarnation() {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// syncWithoutReader keeps this proxy up to date while no reader has a recent
// read of the platform. The members ranked next after the readers, as many as
// there are readers, read the platform directly, and so does a proxy that
// doesn't reach a majority of the fleet; the others sync with one of the
// former. If all proxies read directly, a fleet of 5,300 would use a third of
// the platform's read capacity.
func (c *Control) syncWithoutReader(ctx context.Context, now time.Time) {
	count := readerCount(c.members.liveCount())
	ranked := c.members.ranked(readerKey, 2*count)
	next := ranked[min(count, len(ranked)):]
	if len(next) == 0 || c.members.containsSelf(next) || !c.members.reachesMajority(now) {
		c.readDirectly(ctx)
		return
	}
	// The failure detector of membership handles a member that doesn't
	// respond.
	_, _ = c.syncWith(ctx, next[rand.IntN(len(next))])
}

// readDirectly reads the configuration and the ledgers from the platform as a
// reader would.
func (c *Control) readDirectly(ctx context.Context) {
	if err := c.readHead(ctx); err != nil {
		c.logger.Warn("platform: cannot read the configuration directly, and no reader has a recent read", zap.Error(err))
		return
	}
	sentAt := time.Now()
	listing, err := c.platform.List(ctx, ledgerPrefix, c.ledgers.version())
	if err != nil {
		return
	}
	if c.applyLedgerUpdate(newLedgerUpdate(listing, sentAt, time.Now())) {
		c.refreshAvailability()
	}
}
