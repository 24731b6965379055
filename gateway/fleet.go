package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// hubCount is the number of members that watch the store for all others. With 3, one
	// may fail while another one is partitioned.
	hubCount = 3
	// heartbeatInterval is the interval of the periodic state messages of a hub. Changes are
	// sent in between.
	heartbeatInterval = 500 * time.Millisecond
	// hubTimeout is the time without a message after which a hub counts as lost. It
	// tolerates two late heartbeats.
	hubTimeout = 1300 * time.Millisecond
	// staleAfter is the time since the store last answered a hub after which the state of
	// the hub counts as stale. A watch returns after watchWait at the latest.
	staleAfter = 2 * time.Second
	// failedHubAvoidance is the time for which a hub is not used after a failed call.
	failedHubAvoidance = 400 * time.Millisecond
	// storeFailureGrace is the time of failing calls to the store after which a hub reports
	// its state as stale. It tolerates two failures by chance.
	storeFailureGrace = 250 * time.Millisecond
	// takeoverRankDelay staggers the takeover of a lost hub by rank, so that only the next
	// member becomes a hub.
	takeoverRankDelay = 80 * time.Millisecond
	// The store may refuse the hubs while it serves other members. The first quickRanks
	// members after the hubs try it in quick succession, within a second in total, because
	// a configuration must be active within 2 s of its confirmation.
	quickRanks     = 4
	quickRankDelay = 250 * time.Millisecond
	// staleRankDelay limits the calls of further members to a store that is unavailable
	// to all.
	staleRankDelay = time.Second
)

// hubStatus is the last state message of a hub and the time of its receipt.
type hubStatus struct {
	receivedAt instant
	storeAge   time.Duration
	state      hubState
	readUpTo   Revision // of the store, or 0 if unknown
}

// fleet tracks the members and which of them act as hubs. It is safe for concurrent use.
type fleet struct {
	self   Member
	logger *zap.Logger
	start  instant

	mu              sync.Mutex
	members         map[string]Member
	ranked          []Member       // in order of rank, unless rankStale
	rankStale       bool           // the members changed after ranking
	generation      int            // counts changes of the set of members
	position        map[string]int // index in ranked, by address
	hubStatuses     map[string]hubStatus
	avoidUntil      map[string]instant // until when not to use a hub, by address
	clocks          map[string]memberClock
	contacts        [confirmedKinds]storeContact
	hub             bool    // this member acts as a hub
	tooFewHubsSince instant // since when fewer than hubCount fresh hubs rank above, or 0
	stopping        bool
}

func newFleet(self Member, logger *zap.Logger) *fleet {
	f := &fleet{
		self: self, logger: logger, start: bootTime(),
		members: map[string]Member{}, hubStatuses: map[string]hubStatus{}, avoidUntil: map[string]instant{}, clocks: map[string]memberClock{},
	}
	f.add(self)
	return f
}

// add records a member and reports whether the member is new or its data changed. Data
// without a CPU share does not replace known data.
func (f *fleet) add(m Member) bool {
	if err := m.Validate(); err != nil {
		f.logger.Warn("fleet: invalid member ignored", zap.String("error", err.Error()))
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, found := f.members[m.Address]; found && (known == m || m.CPUShare == 0) {
		return false
	}
	if _, found := f.members[m.Address]; !found {
		f.generation++
	}
	f.members[m.Address] = m
	f.rankStale = true
	if m.Address != f.self.Address {
		f.logger.Info("fleet: member seen", zap.String("member", m.Address), zap.String("zone", m.Zone),
			zap.Float64("share", m.CPUShare), zap.Int("members", len(f.members)))
	}
	return true
}

func (f *fleet) remove(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, found := f.members[address]; !found || address == f.self.Address {
		return
	}
	delete(f.members, address)
	delete(f.hubStatuses, address)
	delete(f.clocks, address)
	f.rankStale = true
	f.generation++
	f.logger.Info("fleet: member gone", zap.String("member", address), zap.Int("members", len(f.members)))
}

// others returns the addresses of the other members.
func (f *fleet) others() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]string, 0, len(f.members))
	for address := range f.members {
		if address != f.self.Address {
			list = append(list, address)
		}
	}
	return list
}

func (f *fleet) listByRank() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.byRank())
}

// addresses returns the addresses of all members.
func (f *fleet) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.members))
}

// currentGeneration returns a number that changes with the set of members.
func (f *fleet) currentGeneration() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// recordHubState records a state message that was underway for some time, and reports whether
// its sender is a new hub.
func (f *fleet) recordHubState(s hubState, underway time.Duration, readUpTo Revision) bool {
	f.add(s.Member)
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.hubStatuses[s.Member.Address]
	if s.Leaving {
		delete(f.hubStatuses, s.Member.Address)
		return false
	}
	f.hubStatuses[s.Member.Address] = hubStatus{
		receivedAt: bootTime(), state: s, storeAge: underway + time.Duration(s.StoreAgeMillis)*time.Millisecond, readUpTo: readUpTo,
	}
	return !known
}

// markFailed excludes a hub for failedHubAvoidance after a failed call.
func (f *fleet) markFailed(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidUntil[address] = bootTime() + instant(failedHubAvoidance)
}

// alive reports whether the member acts as a hub: a message arrived within hubTimeout.
func (f *fleet) alive(now instant, address string) bool {
	if address == f.self.Address {
		return f.hub && !f.stopping
	}
	h, found := f.hubStatuses[address]
	return found && now.since(h.receivedAt) < hubTimeout
}

// responsive reports whether the hub is alive and no call to it failed recently.
func (f *fleet) responsive(now instant, address string) bool {
	return f.alive(now, address) && now > f.avoidUntil[address]
}

// isFresh reports whether this member's state of the store is fresh.
func (f *fleet) isFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh(bootTime(), f.self.Address)
}

// fresh reports whether the store answered the member within staleAfter.
func (f *fleet) fresh(now instant, address string) bool {
	if address == f.self.Address {
		return f.ownStoreAge(now) < staleAfter
	}
	h := f.hubStatuses[address]
	return h.storeAge+now.since(h.receivedAt) < staleAfter
}

// hubs returns up to hubCount responsive hubs, those with fresh state first, then by rank.
// It is called for each request and therefore visits only known hubs, not all members.
func (f *fleet) hubs(now instant) []Member {
	ranked := f.byRank()
	type candidate struct {
		position int
		stale    bool
	}
	candidates := make([]candidate, 0, len(f.hubStatuses)+1)
	consider := func(address string) {
		if position, found := f.position[address]; found && f.responsive(now, address) {
			candidates = append(candidates, candidate{position: position, stale: !f.fresh(now, address)})
		}
	}
	consider(f.self.Address)
	for address := range f.hubStatuses {
		consider(address)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.stale != b.stale {
			if a.stale {
				return 1
			}
			return -1
		}
		return a.position - b.position
	})
	list := make([]Member, 0, hubCount)
	for _, c := range candidates[:min(len(candidates), hubCount)] {
		list = append(list, ranked[c.position])
	}
	return list
}

// hubAddresses returns the addresses of hubs, in the same order.
func (f *fleet) hubAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, m := range f.hubs(bootTime()) {
		list = append(list, m.Address)
	}
	return list
}

// owner returns the hub that places the requests of a service, or false if no hub is
// known.
func (f *fleet) owner(service string) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return heaviest(service, f.hubs(bootTime()))
}

// heaviest returns the hub with the greatest weight for a service, or false if there is none.
func heaviest(service string, hubs []Member) (Member, bool) {
	var best Member
	highest := 0.0
	for _, m := range hubs {
		if w := weight(service, m); w > highest {
			best, highest = m, w
		}
	}
	return best, highest > 0
}

// owned returns those of the services that this member owns. It looks at the hubs once for all of
// them.
func (f *fleet) owned(services []string) map[string]bool {
	f.mu.Lock()
	hubs := f.hubs(bootTime())
	f.mu.Unlock()
	if !slices.ContainsFunc(hubs, func(m Member) bool { return m.Address == f.self.Address }) {
		return nil
	}
	owned := make(map[string]bool, len(services))
	for _, name := range services {
		if m, found := heaviest(name, hubs); found && m.Address == f.self.Address {
			owned[name] = true
		}
	}
	return owned
}

// owns reports whether this member is the owner of a service.
func (f *fleet) owns(service string) bool {
	owner, found := f.owner(service)
	return found && owner.Address == f.self.Address
}

// hasOtherHub reports whether another member is alive as a hub.
func (f *fleet) hasOtherHub() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootTime()
	for address := range f.hubStatuses {
		if f.alive(now, address) {
			return true
		}
	}
	return false
}

// updateHubRole decides whether this member acts as a hub and returns the decision.
func (f *fleet) updateHubRole() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootTime()
	if now.since(f.start) < heartbeatInterval {
		// A member that has just started does not know the others yet.
		return false
	}
	f.removeSilentHubs(now)
	live, fresh, ownRank := 0, 0, 0
	for i, m := range f.byRank() {
		if m.Address == f.self.Address {
			ownRank = i
			break
		}
		if f.alive(now, m.Address) {
			live++
			if f.fresh(now, m.Address) {
				fresh++
			}
		}
	}
	if f.stopping || fresh >= hubCount {
		f.tooFewHubsSince = 0
		f.setHub(false, live, fresh)
		return f.hub
	}
	if f.tooFewHubsSince == 0 {
		f.tooFewHubsSince = now
	}
	f.setHub(f.hub || now.since(f.tooFewHubsSince) >= f.takeoverDelay(ownRank, live), live, fresh)
	return f.hub
}

// removeSilentHubs removes hubs without a message for hubTimeout.
func (f *fleet) removeSilentHubs(now instant) {
	for address, h := range f.hubStatuses {
		if silence := now.since(h.receivedAt); silence >= hubTimeout {
			delete(f.hubStatuses, address)
			f.logger.Info("fleet: hub silent", zap.String("hub", address), zap.Duration("silence", silence),
				zap.Uint64("version", h.state.Version))
		}
	}
}

// takeoverDelay returns the time for which hubs must be missing before this member becomes
// one, given the number of members of higher rank and of live hubs among them. The delay
// grows with the rank, so that the loss of many hubs does not cause a stampede on the
// store.
func (f *fleet) takeoverDelay(ownRank, live int) time.Duration {
	behind := time.Duration(max(0, ownRank+1-hubCount))
	if behind == 0 {
		return 0
	}
	if live >= hubCount {
		return quickRankDelay*min(behind-1, quickRanks-1) + staleRankDelay*max(0, behind-quickRanks)
	}
	return hubTimeout + takeoverRankDelay*behind
}

func (f *fleet) setHub(hub bool, live, fresh int) {
	if hub == f.hub {
		return
	}
	f.hub = hub
	f.logger.Info("fleet: duty of a hub changed", zap.Bool("hub", hub), zap.Int("hubs_heard", live),
		zap.Int("with_new_news", fresh), zap.Int("members", len(f.members)))
}

// stop permanently gives up the hub role and reports whether this member was a hub.
func (f *fleet) stop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.hub
	f.stopping, f.hub = true, false
	return was
}

// isFirstHub reports whether this member is the first in the order of hubs.
func (f *fleet) isFirstHub() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	hubs := f.hubs(bootTime())
	return len(hubs) > 0 && hubs[0].Address == f.self.Address
}

func (f *fleet) isHub() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hub
}

// hubWithNewerConfiguration returns a hub with a later configuration version.
func (f *fleet) hubWithNewerConfiguration(version uint64) (Member, bool) {
	return f.findHub(func(_ instant, h hubStatus) bool { return h.state.Version > version })
}

// readUpTo returns the revision of the store up to which a hub has said it has read it, or 0.
func (f *fleet) readUpTo(address string) Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hubStatuses[address].readUpTo
}

// hubWithOtherRegistry returns a hub with fresh state and a different registry digest.
func (f *fleet) hubWithOtherRegistry(digest uint64) (Member, bool) {
	return f.findHub(func(now instant, h hubStatus) bool {
		return h.state.Digest != digest && f.fresh(now, h.state.Member.Address)
	})
}

// hasFreshHub reports whether another hub is alive whose state is fresh.
func (f *fleet) hasFreshHub() bool {
	_, found := f.findHub(func(now instant, h hubStatus) bool { return f.fresh(now, h.state.Member.Address) })
	return found
}

func (f *fleet) findHub(matches func(now instant, h hubStatus) bool) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootTime()
	for _, m := range f.hubs(now) {
		if h, found := f.hubStatuses[m.Address]; found && matches(now, h) {
			return m, true
		}
	}
	return Member{}, false
}
