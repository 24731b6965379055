package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	memberTick = 100 * time.Millisecond
	// minReaders and proxiesPerReader set how many proxies read the platform.
	// With two long polls per reader, a fleet of 5,300 proxies keeps 166 calls
	// open.
	minReaders       = 3
	proxiesPerReader = 64
	readerKey        = "platform-reader"
)

// members is the membership state of this proxy, safe for concurrent use.
type members struct {
	transport Transport
	logger    *zap.Logger

	mu            sync.Mutex
	node          *membership.Node
	byIncarnation map[string]membership.Member
	seeds         []string
	// rankings caches the results of ranked until a member changes. Scoring
	// 5,300 members for every report would take 1% of a core.
	rankings map[rankingKey][]membership.Member
	// newerRevision is called when a member reports a newer configuration.
	newerRevision func()
	// changed is called after a member has joined, left or failed.
	changed  func()
	revision int64
	// revisions holds the revision in each member's last message.
	revisions map[membership.Incarnation]reportedRevision
}

// reportedRevision is the configuration revision that a member reported, and
// when.
type reportedRevision struct {
	revision int64
	at       time.Time
}

type rankingKey struct {
	name  string
	count int
}

func newMembers(node *membership.Node, seeds []string, transport Transport, logger *zap.Logger) *members {
	m := &members{transport: transport, logger: logger, node: node, seeds: seeds}
	m.rankings = map[rankingKey][]membership.Member{}
	m.revisions = map[membership.Incarnation]reportedRevision{}
	m.byIncarnation = map[string]membership.Member{node.Self().Incarnation().String(): node.Self()}
	node.SetSeeds(seeds)
	return m
}

func (m *members) run(ctx context.Context) error {
	return every(ctx, memberTick, nil, func(context.Context) {
		m.mu.Lock()
		outgoing := m.node.Tick(time.Now())
		changes := m.collectChanges()
		m.mu.Unlock()
		m.report(changes)
		m.send(outgoing)
	})
}

// receive handles a membership message of another proxy.
func (m *members) receive(_ string, payload []byte) {
	var received membership.Message
	if err := peer.Decode(payload, &received); err != nil {
		m.logger.Warn("peer: membership message is malformed", zap.Error(err))
		return
	}
	now := time.Now()
	m.mu.Lock()
	outgoing := m.node.Handle(now, received)
	sender := received.Sender.Incarnation
	if _, known := m.byIncarnation[sender.String()]; known && !received.Relayed {
		m.revisions[sender] = reportedRevision{revision: received.ConfigRevision, at: now}
	}
	newer := received.ConfigRevision > m.revision
	changes := m.collectChanges()
	m.mu.Unlock()
	m.report(changes)
	if newer {
		m.newerRevision()
	}
	m.send(outgoing)
}

func (m *members) leave() {
	m.mu.Lock()
	outgoing := m.node.Leave(time.Now())
	m.mu.Unlock()
	m.send(outgoing)
}

func (m *members) send(outgoing []membership.Outgoing) {
	for _, o := range outgoing {
		payload, err := peer.Encode(o.Message())
		if err != nil {
			m.logger.Error("peer: cannot encode a membership message", zap.Error(err))
			continue
		}
		// The next membership message makes up for a lost one.
		_ = m.transport.Send(o.Address(), o.Message().Topic(), payload)
	}
}

// collectChanges updates the member table from the node. It must be called
// with mu held after every call that can change a member, so that no cached
// ranking outlives the table it was made from.
func (m *members) collectChanges() []membership.Change {
	changes := m.node.Changes()
	if len(changes) > 0 {
		clear(m.rankings)
	}
	for _, c := range changes {
		member := c.Member()
		id := member.Incarnation().String()
		switch member.Status() {
		case membership.StatusDead, membership.StatusLeft:
			delete(m.byIncarnation, id)
			delete(m.revisions, member.Incarnation())
		default:
			m.byIncarnation[id] = member
		}
	}
	return changes
}

// report logs changes of members and calls changed.
func (m *members) report(changes []membership.Change) {
	m.logChanges(changes)
	if len(changes) > 0 {
		m.changed()
	}
}

func (m *members) logChanges(changes []membership.Change) {
	for _, c := range changes {
		m.logger.Info("peer: member changed", zap.String("name", c.Member().Name()),
			zap.Stringer("before", c.PreviousStatus()), zap.Stringer("now", c.Member().Status()))
	}
}

func (m *members) live() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members()
}

// reported returns the revision that a member reported last and the age of
// that report, both zero if there is none.
func (m *members) reported(member membership.Member, now time.Time) (revision int64, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.revisions[member.Incarnation()]
	if !ok {
		return 0, 0
	}
	return r.revision, now.Sub(r.at)
}

func (m *members) liveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Live()
}

// ranked returns the live members with the highest rendezvous scores for a
// name. The caller must not change the result.
func (m *members) ranked(name string, count int) []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := rankingKey{name: name, count: count}
	list, ok := m.rankings[key]
	if !ok {
		list = m.node.Evaluators(name, count)
		m.rankings[key] = list
	}
	return list
}

// readers returns the members that read the platform for the others.
func (m *members) readers() []membership.Member {
	return m.ranked(readerKey, readerCount(m.liveCount()))
}

func readerCount(live int) int {
	return max(minReaders, (live+proxiesPerReader-1)/proxiesPerReader)
}

func (m *members) containsSelf(list []membership.Member) bool {
	return m.rank(list) >= 0
}

// rank returns the position of this proxy in a list, or -1.
func (m *members) rank(list []membership.Member) int {
	self := m.self().Incarnation()
	for i, member := range list {
		if member.Incarnation() == self {
			return i
		}
	}
	return -1
}

func (m *members) self() membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Self()
}

func (m *members) lookup(incarnation string) (membership.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.byIncarnation[incarnation]
	return member, ok
}

// reachesMajority reports whether this proxy reaches more than half of the
// fleet. Until a proxy with seeds has met another member, it doesn't know the
// size of the fleet and must not count itself as all of it.
func (m *members) reachesMajority(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.node.Joined() && m.hasOtherSeeds() {
		return false
	}
	return m.node.ReachesMajority(now)
}

// hasSeeds reports whether the settings name other proxies as seeds.
func (m *members) hasSeeds() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasOtherSeeds()
}

func (m *members) hasOtherSeeds() bool {
	return slices.ContainsFunc(m.seeds, func(s string) bool { return s != m.node.Self().Address() })
}

func (m *members) newestConfig() (int64, membership.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.NewestConfig()
}

func (m *members) confirmed() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Confirmed()
}

func (m *members) setConfirmed(sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.SetConfirmed(sentAt)
}

func (m *members) setRevision(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = revision
	m.node.SetConfigRevision(revision)
}

// addSeeds replaces the seeds by those of the settings and the addresses from
// the VM list.
func (m *members) addSeeds(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.SetSeeds(append(append([]string{}, m.seeds...), addresses...))
}

// forgetDead marks dead members as left if their VMs are no longer listed.
func (m *members) forgetDead(listed map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node.ForgetDead(time.Now(), func(member membership.Member) bool { return !listed[member.Address()] })
}
