package ejection

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// longestValidity is the simulated time that Validity takes on the slowest clock.
const longestValidity = Validity * 100 / 98

// serviceConfig is a service's configuration and draining endpoints, either the
// current ones or those that a proxy knows.
type serviceConfig struct {
	revision  int64
	floor     int
	endpoints []string
	draining  []string
}

func (c serviceConfig) pool() Pool {
	return NewPool(c.revision, c.floor, c.endpoints, WithDraining(c.draining...))
}

func (c serviceConfig) equal(o serviceConfig) bool {
	return c.revision == o.revision && slices.Equal(c.draining, o.draining)
}

// simProxy uses a real View and Draft with a clock that runs at its own rate.
type simProxy struct {
	name          string
	clockRate     float64
	view          *View
	config        serviceConfig
	paused        bool
	dropRequests  bool // requests do not reach the platform
	dropResponses bool // responses of the platform do not reach the proxy
	lastWrite     *call
}

// call is a request in flight to the store, or to a peer if peer is set.
type call struct {
	sender      *simProxy
	peer        *simProxy
	write       bool
	id          Write
	baseVersion int64
	config      serviceConfig
	ledger      Ledger
	sentAt      time.Time
	executed    bool
	conflict    bool
	version     int64
	peerCopy    PeerCopy
	peerValid   bool
}

// simulation simulates several proxies and the store step by step, and checks
// the invariants of the ledger against the state of all of them.
type simulation struct {
	rng             *rand.Rand
	elapsed         time.Duration
	platformDown    bool
	version         int64
	stored          Ledger
	current         serviceConfig
	proxies         []*simProxy
	calls           []*call
	applied         map[string]bool
	lastID          int
	minRevision     int64 // ejections under an older revision must fail
	restored        bool  // a write based on the current configuration has restored the floor
	floorKeptSince  time.Duration
	floorKept       bool
	floorChecks     int // steps at which the floor was checked over all proxies' views
	fullBudgetSteps int // of these, steps with as many endpoints ejected as the floor allows
	failure         error
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, proxies, endpoints, floor int) *simulation {
	s := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 0)),
		stored:         Ledger{Service: "depot"},
		applied:        make(map[string]bool),
		restored:       true,
		floorKept:      true,
		floorKeptSince: -time.Hour,
	}
	s.current = serviceConfig{revision: 1, floor: floor}
	for i := range endpoints {
		s.current.endpoints = append(s.current.endpoints, fmt.Sprintf("e%d", i))
	}
	for range proxies {
		s.proxies = append(s.proxies, s.newProxy())
	}
	return s
}

// newProxy gives two of three proxies an extreme clock rate, because only these
// use up the margin of RemoveHold.
func (s *simulation) newProxy() *simProxy {
	s.lastID++
	rates := []float64{0.98, 1.02, 0.98 + 0.04*s.rng.Float64()}
	return &simProxy{
		name: fmt.Sprintf("p%d", s.lastID), clockRate: rates[s.lastID%len(rates)],
		view: NewView("depot"), config: s.current,
	}
}

func (s *simulation) now(p *simProxy) time.Time {
	return simEpoch.Add(time.Duration(float64(s.elapsed) * p.clockRate))
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("at %v: "+format, append([]any{s.elapsed}, args...)...)
	}
}

func (s *simulation) sendRead(p *simProxy) *call {
	c := &call{sender: p, sentAt: s.now(p)}
	s.calls = append(s.calls, c)
	return c
}

func (s *simulation) sendPeerRead(p, peer *simProxy) {
	s.calls = append(s.calls, &call{sender: p, peer: peer, sentAt: s.now(p)})
}

// sendWrite applies a change to the proxy's newest copy and sends the write. It
// returns nil if there is nothing to write.
func (s *simulation) sendWrite(p *simProxy, change func(*Draft)) *call {
	base, version := p.view.Ledger()
	s.lastID++
	operation := fmt.Sprintf("op%d", s.lastID)
	d := NewDraft(base, p.config.pool(), p.name, operation, s.now(p))
	change(d)
	ledger, _, err := d.Finish()
	if err != nil {
		s.fail("finish: %v", err)
		return nil
	}
	if !d.Changed() {
		if version == s.version {
			s.markCurrent(p.config)
		}
		return nil
	}
	c := &call{
		sender: p, write: true, id: NewWrite(operation, base, version), baseVersion: version,
		config: p.config, ledger: ledger, sentAt: s.now(p),
	}
	p.lastWrite = c
	s.calls = append(s.calls, c)
	return c
}

// execute processes a call at its destination, unless it cannot be reached.
func (s *simulation) execute(c *call) {
	if c.peer != nil {
		c.peerCopy, c.peerValid = c.peer.view.PeerCopy(s.now(c.peer))
		c.executed = true
		return
	}
	if s.platformDown || c.sender.dropRequests {
		return
	}
	c.executed = true
	if !c.write {
		c.ledger, c.version = s.stored.clone(), s.version
		return
	}
	if c.baseVersion != s.version {
		c.conflict = true
		return
	}
	s.checkWrite(c)
	s.version++
	s.stored = c.ledger.clone()
	c.version = s.version
	s.applied[c.ledger.Operation] = true
	s.markCurrent(c.config)
}

// markCurrent records that a proxy with the given configuration has brought the
// stored ledger up to date, if that is the current configuration.
func (s *simulation) markCurrent(config serviceConfig) {
	if config.equal(s.current) {
		s.restored = true
		s.minRevision = config.revision
	}
}

// deliver passes the response of a call to the proxy that sent it.
func (s *simulation) deliver(c *call) {
	p := c.sender
	if !c.executed || c.conflict || p.paused || (c.peer == nil && p.dropResponses) {
		return
	}
	var err error
	switch {
	case c.peer == nil:
		err = p.view.ObservePlatform(c.ledger, c.version, c.sentAt, s.now(p))
	case c.peerValid:
		err = p.view.ObservePeer(c.peerCopy, c.sentAt, s.now(p))
	}
	if err != nil {
		s.fail("observe: %v", err)
	}
	if !c.write && c.peer == nil {
		s.checkOutcome(p, c)
	}
}

// checkOutcome checks Write.Outcome for the proxy's last write against what
// really happened.
func (s *simulation) checkOutcome(p *simProxy, c *call) {
	if p.lastWrite == nil || c.sentAt.Before(p.lastWrite.sentAt) {
		return
	}
	applied := s.applied[p.lastWrite.id.operation]
	switch o := p.lastWrite.id.Outcome(c.ledger, c.version); {
	case o == OutcomeApplied && !applied:
		s.fail("%s: outcome is applied, but the write was not applied", p.lastWrite.id.operation)
	case o == OutcomeNotApplied && applied:
		s.fail("%s: outcome is not applied, but the write was applied", p.lastWrite.id.operation)
	case o == OutcomePending && applied && c.version == s.version:
		s.fail("%s: outcome is pending, but the write was applied", p.lastWrite.id.operation)
	}
}

// checkWrite checks the rules for a single write against the ledger it replaces
// and the configuration that the writer knew.
func (s *simulation) checkWrite(c *call) {
	ejects := false
	listed := make(map[string]bool)
	for _, e := range c.ledger.Entries {
		listed[e.Endpoint] = true
		old, ok := s.stored.Entry(e.Endpoint)
		if !ok && e.State != StateEjected {
			s.fail("%s: new entry has state %s", e.Endpoint, e.State)
		}
		again := ok && old.State == StateReturning && e.State == StateEjected
		if again && e.Operation == old.Operation {
			s.fail("%s: entry changes from returning to ejected without a new operation", e.Endpoint)
		}
		ejects = ejects || !ok || again
	}
	for _, e := range s.stored.Entries {
		if !listed[e.Endpoint] && e.State != StateReturning {
			s.fail("%s: removed entry has state %s", e.Endpoint, e.State)
		}
	}
	if c.ledger.ConfigRevision < s.stored.ConfigRevision {
		s.fail("configuration revision decreases from %d to %d", s.stored.ConfigRevision, c.ledger.ConfigRevision)
	}
	if !ejects {
		return
	}
	if due := max(s.minRevision, s.stored.ConfigRevision); c.config.revision < due {
		s.fail("ejection under revision %d, must be at least %d", c.config.revision, due)
	}
	if left := c.config.remaining(listed); left < c.config.floor {
		s.fail("ejection leaves %d, floor is %d", left, c.config.floor)
	}
	// A proxy keeps the floor of the configuration that it knows. If that is not
	// the current one, the current floor may be violated until it is restored.
	if !c.config.equal(s.current) {
		s.restored = false
		s.floorKeptSince = s.elapsed
	}
}

func (c serviceConfig) remaining(excluded map[string]bool) int {
	n := 0
	for _, e := range c.endpoints {
		if !excluded[e] && !slices.Contains(c.draining, e) {
			n++
		}
	}
	return n
}

// keepsFloor reports whether the floor holds without the excluded endpoints, or
// could not be restored by readmitting any of them.
func (c serviceConfig) keepsFloor(excluded map[string]bool) bool {
	canReturn := slices.ContainsFunc(c.endpoints, func(e string) bool {
		return excluded[e] && !slices.Contains(c.draining, e)
	})
	return !canReturn || c.remaining(excluded) >= c.floor
}

// ejectedByAny returns the endpoints that at least one proxy treats as ejected.
func (s *simulation) ejectedByAny() map[string]bool {
	endpoints := make(map[string]bool)
	for _, p := range s.proxies {
		now := s.now(p)
		for _, e := range p.view.ledger.Entries {
			if p.view.Ejected(e.Endpoint, now) {
				endpoints[e.Endpoint] = true
			}
		}
	}
	return endpoints
}

// checkInvariants checks the invariants. After a configuration change, the floor
// over all proxies must hold longestValidity after the stored ledger keeps it.
func (s *simulation) checkInvariants() {
	ejectedByAny := s.ejectedByAny()
	for e := range ejectedByAny {
		if s.stored.index(e) < 0 {
			s.fail("%s: treated as ejected without an entry", e)
		}
	}
	ejected := make(map[string]bool)
	for _, e := range s.stored.Entries {
		if e.State == StateEjected {
			ejected[e.Endpoint] = true
		}
	}
	kept := s.current.keepsFloor(ejected)
	if kept && !s.floorKept {
		s.floorKeptSince = s.elapsed
	}
	s.floorKept = kept
	if s.restored && !kept {
		s.fail("floor not restored by a writer with the current configuration: %v ejected",
			slices.Sorted(maps.Keys(ejected)))
	}
	if !kept || s.elapsed < s.floorKeptSince+longestValidity {
		return
	}
	s.floorChecks++
	if !s.current.keepsFloor(ejectedByAny) {
		s.fail("floor %d violated: proxies treat %v as ejected", s.current.floor, slices.Sorted(maps.Keys(ejectedByAny)))
	}
	if len(ejectedByAny) > 0 && s.current.remaining(ejectedByAny) == s.current.floor {
		s.fullBudgetSteps++
	}
}

// reconfigure changes the current configuration, which proxies learn at different
// times. Older copies may still list endpoints as ejected that were already
// returning. The floor therefore need not hold for another longestValidity, even
// if the stored ledger keeps it at once.
func (s *simulation) reconfigure(change func(*serviceConfig)) {
	next := s.current
	next.endpoints = slices.Clone(next.endpoints)
	next.draining = slices.Clone(next.draining)
	change(&next)
	if !slices.Equal(next.endpoints, s.current.endpoints) || next.floor != s.current.floor {
		next.revision++
	}
	s.current = next
	s.restored = false
	s.floorKeptSince = s.elapsed
}
