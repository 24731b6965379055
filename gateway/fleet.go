package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// hubCount is the number of members that watch the store for all others: one
	// may be lost and one be cut off at the same time.
	hubCount = 3
	// heartbeatPeriod is the time between the messages of a hub.
	heartbeatPeriod = 500 * time.Millisecond
	// heardTimeout is the silence after which a hub counts as lost. Two messages
	// may be late.
	heardTimeout = 1300 * time.Millisecond
	// freshTimeout is the age of a hub's last contact with the store from which its
	// news may be old. A watch returns after watchWait at the latest.
	freshTimeout = 2 * time.Second
	// avoidAfterFailure is the time for which a hub that did not answer is passed over.
	avoidAfterFailure = 400 * time.Millisecond
	// failingPatience is the time without a successful call to the store, while calls
	// fail, after which a hub says so: two attempts may fail by chance.
	failingPatience = 250 * time.Millisecond
	// rankDelay keeps all but the next member from taking over a lost hub's duty.
	rankDelay = 80 * time.Millisecond
	// The store may refuse the hubs and serve others: the first quickRanks members
	// behind the hubs look soon after each other, at most a second in all, because a
	// configuration must be in force 2 s after its confirmation.
	quickRanks     = 4
	quickRankDelay = 250 * time.Millisecond
	// staleRankDelay keeps the others from calling a store that is away for all.
	staleRankDelay = time.Second
)

// heardHub is the last message of a hub.
type heardHub struct {
	at       age
	storeAge time.Duration
	state    hubState
}

// fleet knows the members and which of them are hubs. It is safe for concurrent use.
type fleet struct {
	self   Member
	logger *zap.Logger
	start  age

	mu       sync.Mutex
	members  map[string]Member
	ranked   []Member       // by rank, unless unranked
	unranked bool           // members have changed since
	position map[string]int // of each address in ranked
	heard    map[string]heardHub
	failed   map[string]age // until when a member is passed over
	store    age            // when the store last answered this member
	failing  age            // since when its calls fail, or 0
	hub      bool           // this member acts as a hub
	lacking  age            // since when too few hubs were heard, or 0
	stopping bool
}

func newFleet(self Member, logger *zap.Logger) *fleet {
	f := &fleet{
		self: self, logger: logger, start: bootTime(),
		members: map[string]Member{}, heard: map[string]heardHub{}, failed: map[string]age{},
	}
	f.add(self)
	return f
}

// add takes a member and reports whether it was not known.
func (f *fleet) add(m Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held, found := f.members[m.Address]; found && (held == m || m.CPUShare == 0) {
		return false
	}
	f.members[m.Address] = m
	f.unranked = true
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
	delete(f.heard, address)
	f.unranked = true
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

func (f *fleet) list() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.byRank())
}

func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// hear takes the message of a hub and reports whether the hub was not heard before.
func (f *fleet) hear(s hubState) bool {
	f.add(s.Member)
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.heard[s.Member.Address]
	if s.Leaving {
		delete(f.heard, s.Member.Address)
		return false
	}
	f.heard[s.Member.Address] = heardHub{
		at: bootTime(), state: s, storeAge: time.Duration(s.StoreAgeMillis) * time.Millisecond,
	}
	return !known
}

// storeAnswered notes that the store has just answered.
func (f *fleet) storeAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store = bootTime()
	f.failing = 0
}

// storeFailed notes that a call to the store has just failed.
func (f *fleet) storeFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing == 0 {
		f.failing = bootTime()
	}
}

// storeAge returns the time since the store answered this member.
func (f *fleet) storeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownStoreAge(bootTime())
}

func (f *fleet) ownStoreAge(now age) time.Duration {
	if f.store == 0 {
		return now.since(f.start) + freshTimeout
	}
	if f.failing != 0 && now.since(f.failing) >= failingPatience {
		return max(freshTimeout, now.since(f.store))
	}
	return now.since(f.store)
}

// fail passes over a member for a short time, because it did not answer.
func (f *fleet) fail(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[address] = bootTime() + age(avoidAfterFailure)
}

// alive reports whether the member was heard of lately.
func (f *fleet) alive(now age, address string) bool {
	if address == f.self.Address {
		return f.hub && !f.stopping
	}
	h, found := f.heard[address]
	return found && now.since(h.at) < heardTimeout
}

// answers reports whether the member is alive and did not just fail to answer.
func (f *fleet) answers(now age, address string) bool {
	return f.alive(now, address) && now > f.failed[address]
}

// isFresh reports whether this member's news of the store are new.
func (f *fleet) isFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh(bootTime(), f.self.Address)
}

// fresh reports whether the member's news of the store is new.
func (f *fleet) fresh(now age, address string) bool {
	if address == f.self.Address {
		return f.ownStoreAge(now) < freshTimeout
	}
	h := f.heard[address]
	return h.storeAge+now.since(h.at) < freshTimeout
}

// hubs returns the live hubs in the order of rank, those with new news first. It looks
// only at members that were heard, because each request asks for the hubs.
func (f *fleet) hubs(now age) []Member {
	ranked := f.byRank()
	type candidate struct {
		position int
		old      bool
	}
	candidates := make([]candidate, 0, len(f.heard)+1)
	consider := func(address string) {
		if position, found := f.position[address]; found && f.answers(now, address) {
			candidates = append(candidates, candidate{position: position, old: !f.fresh(now, address)})
		}
	}
	consider(f.self.Address)
	for address := range f.heard {
		consider(address)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.old != b.old {
			if a.old {
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

// hubAddresses returns the addresses of the live hubs in the order of rank.
func (f *fleet) hubAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, m := range f.hubs(bootTime()) {
		list = append(list, m.Address)
	}
	return list
}

// owner returns the hub that places the requests of a service, or false if this
// member hears of none.
func (f *fleet) owner(service string) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best Member
	highest := 0.0
	for _, m := range f.hubs(bootTime()) {
		if w := weight(service, m); w > highest {
			best, highest = m, w
		}
	}
	return best, highest > 0
}

// owns reports whether this member places the requests of a service.
func (f *fleet) owns(service string) bool {
	owner, found := f.owner(service)
	return found && owner.Address == f.self.Address
}

// heardHub reports whether any hub but this member is alive.
func (f *fleet) heardHub() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootTime()
	for address := range f.heard {
		if f.alive(now, address) {
			return true
		}
	}
	return false
}

// decide updates whether this member acts as a hub, and returns that.
func (f *fleet) decide() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootTime()
	if now.since(f.start) < heartbeatPeriod {
		// A member that has just started knows no other yet.
		return false
	}
	f.dropSilent(now)
	alive, fresh, own := 0, 0, 0
	for i, m := range f.byRank() {
		if m.Address == f.self.Address {
			own = i
			break
		}
		if f.alive(now, m.Address) {
			alive++
			if f.fresh(now, m.Address) {
				fresh++
			}
		}
	}
	if f.stopping || fresh >= hubCount {
		f.lacking = 0
		f.become(false, alive, fresh)
		return f.hub
	}
	if f.lacking == 0 {
		f.lacking = now
	}
	f.become(f.hub || now.since(f.lacking) >= f.patience(own, alive), alive, fresh)
	return f.hub
}

// dropSilent forgets hubs that were not heard for some time.
func (f *fleet) dropSilent(now age) {
	for address, h := range f.heard {
		if silence := now.since(h.at); silence >= heardTimeout {
			delete(f.heard, address)
			f.logger.Info("fleet: hub silent", zap.String("hub", address), zap.Duration("silence", silence),
				zap.Uint64("version", h.state.Version))
		}
	}
}

// patience returns how long this member waits before it takes over. It answers the
// loss of many hubs at once without a stampede of calls.
func (f *fleet) patience(own, alive int) time.Duration {
	behind := time.Duration(max(0, own+1-hubCount))
	if behind == 0 {
		return 0
	}
	if alive >= hubCount {
		return quickRankDelay*min(behind-1, quickRanks-1) + staleRankDelay*max(0, behind-quickRanks)
	}
	return heardTimeout + rankDelay*behind
}

func (f *fleet) become(hub bool, alive, fresh int) {
	if hub == f.hub {
		return
	}
	f.hub = hub
	f.logger.Info("fleet: duty of a hub changed", zap.Bool("hub", hub), zap.Int("hubs_heard", alive),
		zap.Int("with_new_news", fresh), zap.Int("members", len(f.members)))
}

// stop gives up the duty of a hub for good.
func (f *fleet) stop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.hub
	f.stopping, f.hub = true, false
	return was
}

// leads reports whether this member is the first of the hubs.
func (f *fleet) leads() bool {
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

// newer returns a live hub with a configuration after version.
func (f *fleet) newer(version uint64) (Member, bool) {
	return f.first(func(_ age, h heardHub) bool { return h.state.Version > version })
}

// differing returns a live hub with new news whose registry has another digest.
func (f *fleet) differing(digest uint64) (Member, bool) {
	return f.first(func(now age, h heardHub) bool {
		return h.state.Digest != digest && f.fresh(now, h.state.Member.Address)
	})
}

func (f *fleet) first(matches func(now age, h heardHub) bool) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootTime()
	for _, m := range f.hubs(now) {
		if h, found := f.heard[m.Address]; found && matches(now, h) {
			return m, true
		}
	}
	return Member{}, false
}
