package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/rollout"
)

const (
	syncPeriod = 2 * time.Second
	// staleAfter is the age of a reader's platform read above which the next
	// reader is asked as well.
	staleAfter = 6 * time.Second
	// readersAsked bounds the readers that one sync asks.
	readersAsked = 3
	// directPeriod limits how often a proxy without a usable reader reads the
	// platform itself.
	directPeriod = 5 * time.Second
	// settleTime is how long a starting proxy looks for members at most, and
	// settlePoll how often it checks.
	settleTime = 2 * time.Second
	settlePoll = 100 * time.Millisecond
	// startReports is the most members that a starting proxy asks.
	startReports = 32
)

// syncDuty keeps this proxy in step with its reader.
func (c *Control) syncDuty(ctx context.Context) error {
	var directAt time.Time
	return every(ctx, syncPeriod, c.syncNow, func(ctx context.Context) {
		now := time.Now()
		c.observeMembers(now)
		if !c.settled(now) {
			time.AfterFunc(settlePoll, c.requestSync)
			return
		}
		if c.sync(ctx) || !now.After(directAt) {
			return
		}
		// The spread keeps proxies that lost their readers together from reading
		// the platform together.
		directAt = now.Add(directPeriod + rand.N(directPeriod))
		c.withoutReader(ctx, now)
	})
}

// sync takes what the platform, the members and the readers have, and reports
// whether a reader with a recent read of the platform was found.
func (c *Control) sync(ctx context.Context) bool {
	if c.config.lacksAccepted() {
		// What fails here is made up for by the readers.
		_ = c.readHead(ctx)
	}
	if c.config.revision() == 0 {
		c.start(ctx)
	}
	synced := c.syncAsReader(ctx) || c.syncWithReaders(ctx)
	held := c.config.revision()
	if revision, member := c.members.newestConfig(); held > 0 && revision > held {
		c.fetchFrom(ctx, member)
	}
	return synced
}

// settled reports whether this proxy has had the time to meet another member.
// Until then it takes no configuration from the platform and does not act as a
// reader: a zone that starts again should ask its peers, not all of the platform.
func (c *Control) settled(now time.Time) bool {
	return now.Sub(c.started) > settleTime || c.members.liveCount() > 1 || !c.members.hasSeeds()
}

// observeMembers passes on what membership messages say about the configuration.
func (c *Control) observeMembers(now time.Time) {
	if c.members.reachesMajority(now) {
		c.config.observeMajority(now)
	}
	if at, ok := c.members.confirmed(); ok {
		revision, _ := c.members.newestConfig()
		c.config.confirmByPeer(at, 0, revision)
	}
}

// syncAsReader syncs with one other reader if this proxy is a reader. Leaving
// marks that an endpoint's response showed are not on the platform, so a reader
// that missed the message learns of them only from another reader.
func (c *Control) syncAsReader(ctx context.Context) bool {
	readers := c.members.readers()
	rank := c.members.rank(readers)
	if rank < 0 {
		return false
	}
	if others := slices.Delete(slices.Clone(readers), rank, rank+1); len(others) > 0 {
		// A reader that does not answer is left to membership.
		_, _ = c.syncWith(ctx, others[rand.IntN(len(others))])
	}
	return true
}

// syncWithReaders asks readers until one has a recent platform read.
func (c *Control) syncWithReaders(ctx context.Context) bool {
	for _, reader := range c.orderedReaders() {
		reply, err := c.syncWith(ctx, reader)
		if err == nil && reply.ConfirmedAgeMillis >= 0 && reply.ConfirmedAgeMillis < staleAfter.Milliseconds() {
			return true
		}
		if ctx.Err() != nil {
			return true
		}
	}
	return false
}

// orderedReaders returns the readers in this proxy's own order, so that the
// proxies spread over them.
func (c *Control) orderedReaders() []membership.Member {
	readers := c.members.readers()
	start := rendezvousStart(c.self.Name(), len(readers))
	var ordered []membership.Member
	for i := range min(readersAsked, len(readers)) {
		ordered = append(ordered, readers[(start+i)%len(readers)])
	}
	return ordered
}

// ownReader returns the reader that this proxy asks first: itself, if it is one.
func (c *Control) ownReader() membership.Member {
	if c.members.selfAmong(c.members.readers()) {
		return c.self
	}
	if ordered := c.orderedReaders(); len(ordered) > 0 {
		return ordered[0]
	}
	return c.self
}

// followReader syncs at once when another proxy becomes this one's reader. Until
// then the new reader sends no notices here, and a change that was found
// elsewhere would take two sync periods instead of one.
func (c *Control) followReader() {
	reader := c.ownReader().Incarnation()
	if former := c.reader.Swap(&reader); former == nil || *former != reader {
		c.requestSync()
	}
}

// syncWith asks a member and fetches a newer configuration from it. The first
// configuration of a process is chosen by start, among all members that answer.
func (c *Control) syncWith(ctx context.Context, member membership.Member) (syncReply, error) {
	reply, err := c.ask(ctx, member)
	if held := c.config.revision(); err == nil && held > 0 && reply.Revision > held {
		c.fetchFrom(ctx, member)
	}
	return reply, err
}

// ask sends one sync to a member and takes everything but the configuration.
func (c *Control) ask(ctx context.Context, member membership.Member) (syncReply, error) {
	var reply syncReply
	sentAt := time.Now()
	call := syncCall{Revision: c.config.revision(), StoreVersion: c.ledgers.version(), Marks: c.marks.all()}
	if err := c.request(ctx, member, peer.TopicStateSync, call, &reply); err != nil {
		return reply, err
	}
	c.takeReply(reply, sentAt, time.Now())
	return reply, nil
}

func (c *Control) fetchFrom(ctx context.Context, member membership.Member) {
	if err := c.applyFromPeer(ctx, member); err != nil {
		c.logger.Warn("operator: cannot fetch the configuration", zap.String("member", member.Name()), zap.Error(err))
	}
}

func (c *Control) takeReply(reply syncReply, sentAt, receivedAt time.Time) {
	if reply.ConfirmedAgeMillis >= 0 {
		c.config.confirmByPeer(sentAt, time.Duration(reply.ConfirmedAgeMillis)*time.Millisecond, reply.Revision)
	}
	c.config.hear(reply.Revision)
	changed := len(c.marks.add(reply.Marks)) > 0
	if changed {
		// The message that names the mark is no news afterwards.
		c.notifyClients()
	}
	if reply.LedgersAgeMillis >= 0 {
		age := time.Duration(reply.LedgersAgeMillis) * time.Millisecond
		ledgersChanged := c.takeReading(reading{
			ledgers: reply.Ledgers, storeVersion: reply.StoreVersion,
			origin: sentAt.Add(-age), receivedAt: receivedAt,
		})
		changed = changed || ledgersChanged
	}
	if changed {
		c.refreshAvailability()
	}
}

// takeReading applies a reading of the ledgers and reports whether one changed.
func (c *Control) takeReading(r reading) bool {
	changed, unreadable := c.ledgers.take(r)
	for _, service := range unreadable {
		c.logger.Error("platform: ejection ledger is not readable", zap.String("service", service))
	}
	return changed
}

// answerSync serves state.sync.
func (c *Control) answerSync(_ context.Context, request peer.Request) ([]byte, error) {
	return c.answer(request.Payload(), request.From())
}

func (c *Control) answer(payload []byte, from string) ([]byte, error) {
	var call syncCall
	if err := msgpack.Unmarshal(payload, &call); err != nil {
		return nil, eris.Wrap(err, "control: malformed request")
	}
	now := time.Now()
	c.clients.seen(from, now)
	if added := c.marks.add(call.Marks); len(added) > 0 {
		c.refreshAvailability()
		for _, mark := range added {
			c.spreadMark(mark)
		}
	}
	reply := syncReply{
		Revision: c.config.revision(), StoreVersion: c.ledgers.version(),
		ConfirmedAgeMillis: -1, LedgersAgeMillis: -1, Marks: c.marks.all(),
	}
	if age, ok := c.config.confirmedAge(now); ok {
		reply.ConfirmedAgeMillis = roundUpMillis(age)
	}
	if copies, age, held := c.ledgers.since(call.StoreVersion, now); held {
		reply.Ledgers, reply.LedgersAgeMillis = copies, roundUpMillis(age)
	}
	return peer.Encode(reply)
}

// roundUpMillis never makes an age look smaller than it is.
func roundUpMillis(age time.Duration) int64 {
	return (age + time.Millisecond - time.Nanosecond).Milliseconds()
}

// start takes the first configuration of a new process: from the platform, or
// the newest that a majority of the members reports.
func (c *Control) start(ctx context.Context) {
	if c.readHead(ctx) == nil {
		return
	}
	var reports []rollout.PeerReport
	byIncarnation := map[string]membership.Member{}
	others := c.others()
	for _, m := range others[:min(startReports, len(others))] {
		reply, err := c.ask(ctx, m)
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

func (c *Control) others() []membership.Member {
	var others []membership.Member
	for _, m := range c.members.live() {
		if m.Incarnation() != c.self.Incarnation() {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// withoutReader keeps this proxy in step while no reader has a recent read. As
// many proxies as there are readers, those of the next ranks, read the platform,
// and any that does not reach most of the fleet; the others ask one of those.
// If all did, 5,300 proxies would take a third of the platform's reads.
func (c *Control) withoutReader(ctx context.Context, now time.Time) {
	count := readerCount(c.members.liveCount())
	ranked := c.members.ranked(readerKey, 2*count)
	next := ranked[min(count, len(ranked)):]
	if len(next) == 0 || c.members.selfAmong(next) || !c.members.reachesMajority(now) {
		c.readDirectly(ctx)
		return
	}
	// A member that does not answer is left to membership.
	_, _ = c.syncWith(ctx, next[rand.IntN(len(next))])
}

// readDirectly reads the platform in place of a reader.
func (c *Control) readDirectly(ctx context.Context) {
	if err := c.readHead(ctx); err != nil {
		c.logger.Warn("platform: cannot read the configuration, and no reader can", zap.Error(err))
		return
	}
	sentAt := time.Now()
	listing, err := c.platform.List(ctx, ledgerPrefix, c.ledgers.version())
	if err != nil {
		return
	}
	if c.takeReading(listingOf(listing, sentAt, time.Now())) {
		c.refreshAvailability()
	}
}
