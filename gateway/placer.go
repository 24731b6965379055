package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	// placeTimeout bounds the wait for a hub's reply to a placement request. Round trips
	// between zones take a few milliseconds, and machines are slow.
	placeTimeout = 80 * time.Millisecond
	// hubCheckInterval is the interval at which a queued request checks that its hub still
	// owns the service.
	hubCheckInterval = 250 * time.Millisecond
	// unreachableTTL is the time for which this proxy avoids an endpoint that it failed to
	// reach: the network path may be broken for this proxy only.
	unreachableTTL = 3 * time.Second
)

// RetryBudget bounds the retries of a service over the whole fleet: in any Window, at most
// Ratio times the number of first attempts plus Burst.
type RetryBudget struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

const (
	// hubBurstShare is the share of the burst for the hub that owns a service.
	hubBurstShare = 0.55
	// hubRatioShare is the share of the ratio for that hub. It is below 1 because two
	// members may consider themselves the owner at the same time.
	hubRatioShare = 0.8
)

// localBurstShare is the share of the burst that is divided among all members for retries
// that they place without the hub.
const localBurstShare = 0.4

// service is this member's view of a service.
type service struct {
	scheduler   *placement.Scheduler
	hubBudget   *placement.Budget    // for retries placed as the owner
	localBudget *placement.Budget    // for retries placed without the hub
	owned       bool                 // this member owns the service
	owner       string               // address of the hub that last received this member's attempts
	share       placement.ShareLease // of this member in the rate limits of the endpoints
	borrows     bool                 // this member has asked for the shares of others as the owner
	acceptsFrom instant              // before which shares that others lend are ignored
	notified    []notifiedHub        // hubs that received in-flight attempts, newest last
	due         time.Time            // when timer fires
	timer       *time.Timer
}

// placer obtains endpoints for attempts, from the hub that owns the service or from this
// member's own view. It is safe for concurrent use.
type placer struct {
	fleet     *fleet
	transport transport
	budget    RetryBudget
	logger    *zap.Logger
	counts    *counts
	tokens    atomic.Uint64
	epoch     uint64

	mu          sync.Mutex
	services    map[string]*service
	waiters     map[uint64]chan placement.Decision
	hubs        []string           // addresses, as of the last check for changes
	generation  int                // of the members that the schedulers know
	heartbeatAt instant            // of the last call of releaseAfterSuspension
	unreachable map[string]instant // until when to avoid an endpoint, by ID
	rests       rests              // of endpoints that want no requests from this member
}

func newPlacer(f *fleet, t transport, incarnation string, b RetryBudget, c *counts, logger *zap.Logger) *placer {
	return &placer{
		fleet: f, transport: t, budget: b, counts: c, logger: logger,
		epoch:    xxh3.HashString(incarnation) << 24,
		services: map[string]*service{}, waiters: map[uint64]chan placement.Decision{}, unreachable: map[string]instant{}, rests: rests{},
	}
}

// token returns an attempt identifier that is unique over all proxies.
func (p *placer) token() uint64 { return p.epoch + p.tokens.Add(1)&(1<<24-1) }

// service returns the view of a service and creates it if needed. The mutex must be held.
func (p *placer) service(name string) *service {
	s, found := p.services[name]
	if !found {
		hubBudget := placement.NewBudget(hubRatioShare*p.budget.Ratio, hubBurstShare*p.budget.Burst, p.budget.Window, time.Now())
		random := rand.New(rand.NewPCG(xxh3.HashString(name), p.epoch))
		members := p.fleet.addresses()
		localBudget := placement.NewBudget(p.budget.Ratio, p.localBurst(len(members)), p.budget.Window, time.Now())
		observer := &endpointLog{service: name, logger: p.logger}
		s = &service{scheduler: placement.New(random, hubBudget, observer), hubBudget: hubBudget, localBudget: localBudget}
		s.scheduler.SetMembers(time.Now(), members)
		p.services[name] = s
		p.counts.registerService(name, func() serviceStats { return p.serviceStats(name) })
	}
	return s
}

// localBurst returns the retry burst that this member may spend alone in a fleet of that
// size.
func (p *placer) localBurst(members int) float64 {
	return localBurstShare * p.budget.Burst / float64(max(1, members))
}

// serviceNames returns the services that this member has a view of.
func (p *placer) serviceNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.services))
}

// setEndpoints replaces the endpoints of a service that may get new attempts.
func (p *placer) setEndpoints(name string, endpoints []Endpoint) {
	list := make([]placement.Endpoint, len(endpoints))
	for i, e := range endpoints {
		list[i] = placement.NewEndpoint(e.ID, e.Address, e.Zone, e.Slots, time.UnixMilli(e.WarmAtMillis)).WithStart(e.StartMillis)
	}
	p.mu.Lock()
	decisions := p.service(name).scheduler.SetEndpoints(time.Now(), list)
	decisions = append(decisions, p.applyOwnRests(name, endpoints)...)
	p.mu.Unlock()
	p.deliver(decisions)
}

// placedAttempt is the decision about one attempt.
type placedAttempt struct {
	decision    placement.Decision
	service     string
	requestedAt time.Time
	grantedAt   time.Time
	hub         string // address of the hub that decided, or empty for this member
	withoutHub  bool   // decided by this member without owning the service
	attemptKind attemptKind
}

// place obtains an endpoint. It waits for a free slot if one is likely in time.
func (p *placer) place(ctx context.Context, name string, request placement.Request) placedAttempt {
	request.Token = p.token()
	request.Proxy = p.fleet.self.Address
	request.Zone = p.fleet.self.Zone
	request.Avoid = p.withUnreachable(request.Avoid)
	requestedAt := time.Now()
	placed := p.placeOnce(ctx, name, request)
	if d := placed.decision; d.Verdict == placement.Refused && len(request.Avoid) > 0 && !request.Retry &&
		(d.Reason == placement.ReasonNoEndpoint || d.Reason == placement.ReasonRest) {
		// Every endpoint is avoided or rests; try one that failed rather than none.
		request.Avoid, request.Token = nil, p.token()
		placed = p.placeOnce(ctx, name, request)
	}
	p.counts.placement(name, requestedAt)
	if placed.decision.Verdict == placement.Granted && p.hasRateLimit(name, placed.decision.Endpoint.ID()) {
		p.counts.limitedAttempt(name)
	}
	if placed.decision.Reason == placement.ReasonBudget {
		p.counts.retryRefused(name)
	}
	placed.service, placed.requestedAt, placed.grantedAt = name, requestedAt, time.Now()
	return placed
}

func (p *placer) placeOnce(ctx context.Context, name string, request placement.Request) placedAttempt {
	owner, found := p.fleet.owner(name)
	if found {
		p.sendInFlight(name, owner)
	}
	if found && owner.Address != p.fleet.self.Address {
		if d, ok := p.placeAtHub(ctx, owner.Address, name, request); ok {
			p.begin(name, request, d)
			return placedAttempt{decision: d, hub: owner.Address}
		}
		if ctx.Err() != nil {
			return placedAttempt{decision: placement.Decision{Verdict: placement.Refused}}
		}
		p.counts.placedWithoutHub.Inc()
		return placedAttempt{decision: p.placeWithoutHub(ctx, name, request), withoutHub: true}
	}
	if !found {
		return placedAttempt{decision: p.placeWithoutHub(ctx, name, request), withoutHub: true}
	}
	return placedAttempt{decision: p.placeLocally(ctx, name, request, true)}
}

// probersWithoutHub is the mean number of members that probe suspected endpoints while no
// hub is reachable.
const probersWithoutHub = 3

// placeWithoutHub places an attempt by this member's own view although it does not own the
// service. Such retries have a separate budget, so that the fleet stays within the retry
// budget. Only few members probe suspected endpoints: each member has its own view, so
// otherwise all of them would send probes.
func (p *placer) placeWithoutHub(ctx context.Context, name string, request placement.Request) placement.Decision {
	request.NoProbe = rand.IntN(max(1, p.fleet.size())) >= probersWithoutHub
	return p.placeLocally(ctx, name, request, false)
}

// schedule places an attempt by this member's view and, if the member owns the service,
// charges retries to the budget of the hub. The mutex must be held.
func (p *placer) schedule(name string, request placement.Request, owned bool) placement.Decision {
	now := time.Now()
	s := p.service(name)
	s.setOwned(now, owned)
	if !s.chargeLocalBudget(now, request) {
		return placement.Decision{
			Token: request.Token, Proxy: request.Proxy, Verdict: placement.Refused, Reason: placement.ReasonBudget,
		}
	}
	d := s.scheduler.Place(now, request)
	if d.Verdict == placement.Queued {
		p.armTimer(s)
	}
	return d
}

// begin counts an attempt granted by the hub in this member's view, which is used for
// placements without the hub and for the handover to a new hub.
func (p *placer) begin(name string, request placement.Request, d placement.Decision) {
	if d.Verdict != placement.Granted {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(name).scheduler.Begin(time.Now(), request, d.Endpoint.ID())
}

func (p *placer) placeAtHub(ctx context.Context, hub, name string, request placement.Request) (placement.Decision, bool) {
	grants := p.addWaiter(request.Token)
	defer p.removeWaiter(request.Token)
	limited, cancel := context.WithTimeout(ctx, placeTimeout)
	reply, err := p.transport.Request(limited, hub, "", peer.TopicPlaceRequest, encode(newPlaceMessage(name, time.Now(), request)))
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			p.fleet.markFailed(hub)
			p.logger.Info("placement: hub did not answer", zap.String("hub", hub), zap.String("service", name),
				zap.String("error", err.Error()))
		}
		// The hub may have granted the attempt although its reply did not arrive.
		p.sendEnd(hub, &endMessage{Service: name, Token: request.Token})
		return placement.Decision{}, false
	}
	var m decisionMessage
	if err := decode(reply, &m); err != nil {
		p.logger.Warn("placement: failed to decode a decision", zap.String("hub", hub), zap.String("error", err.Error()))
		return placement.Decision{}, false
	}
	d := m.decision(request.Proxy)
	if d.Verdict != placement.Queued {
		return d, true
	}
	return p.awaitGrant(ctx, hub, name, request, grants)
}

// awaitGrant waits for the decision about a queued request. It returns false if the hub no
// longer owns the service.
func (p *placer) awaitGrant(
	ctx context.Context, hub, name string, request placement.Request, grants <-chan placement.Decision,
) (placement.Decision, bool) {
	p.counts.queued.Inc()
	poll := time.NewTicker(hubCheckInterval)
	defer poll.Stop()
	for {
		select {
		case d := <-grants:
			return d, true
		case <-ctx.Done():
			p.sendEnd(hub, &endMessage{Service: name, Token: request.Token})
			return placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoTime}, true
		case <-poll.C:
			if owner, found := p.fleet.owner(name); !found || owner.Address != hub {
				p.sendEnd(hub, &endMessage{Service: name, Token: request.Token})
				return placement.Decision{}, false
			}
		}
	}
}

func (p *placer) placeLocally(ctx context.Context, name string, request placement.Request, owned bool) placement.Decision {
	p.useOwnShare(name)
	p.mu.Lock()
	d := p.schedule(name, request, owned)
	if d.Verdict != placement.Queued {
		p.mu.Unlock()
		return d
	}
	grants := make(chan placement.Decision, 1)
	p.waiters[request.Token] = grants
	p.mu.Unlock()
	p.counts.queued.Inc()
	defer p.removeWaiter(request.Token)
	select {
	case d := <-grants:
		return d
	case <-ctx.Done():
		p.mu.Lock()
		decisions := p.service(name).scheduler.End(time.Now(), request.Token, placement.OutcomeNone, 0)
		p.mu.Unlock()
		p.deliver(decisions)
		return placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoTime}
	}
}

// end records the end of a granted attempt and reports it to the hubs that count it.
func (p *placer) end(placed placedAttempt, o placement.Outcome, limit placement.RateLimit) {
	now := time.Now()
	elapsed := now.Sub(placed.grantedAt)
	id := placed.decision.Endpoint.ID()
	p.recordReachability(id, o)
	p.mu.Lock()
	scheduler := p.service(placed.service).scheduler
	scheduler.ObserveRateLimit(now, placed.decision.Token, id, placed.grantedAt, limit)
	decisions := scheduler.End(now, placed.decision.Token, o, elapsed)
	p.mu.Unlock()
	p.deliver(decisions)
	report := &endMessage{
		Service: placed.service, Token: placed.decision.Token, Endpoint: id, Outcome: o,
		ElapsedMillis: elapsed.Milliseconds(), WithoutHub: placed.withoutHub,
	}
	for _, hub := range p.reportTargets(placed) {
		if impliedRateLimit(o) == limit {
			p.sendEnd(hub, report)
		} else {
			p.send(hub, peer.TopicPlaceEndLimited, &limitedEndMessage{End: *report, Statement: limit.Statement, PerSecond: limit.PerSecond})
		}
	}
}

func (p *placer) sendEnd(to string, m *endMessage) { p.send(to, peer.TopicPlaceEnd, m) }

// send sends a message and counts it as lost if that fails.
func (p *placer) send(to, topic string, message any) {
	if err := p.transport.Send(to, topic, encode(message)); err != nil {
		p.counts.lostReports.Inc()
	}
}

// recordReachability records whether this proxy reached the endpoint.
func (p *placer) recordReachability(id string, o placement.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o {
	case placement.OutcomeUnreachable, placement.OutcomeTimeout:
		p.unreachable[id] = bootTime() + instant(unreachableTTL)
	case placement.OutcomeServed:
		delete(p.unreachable, id)
	}
}

// forgetUnreachable forgets which endpoints this proxy failed to reach, because its path to
// all of them has changed.
func (p *placer) forgetUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.unreachable)
}

// withUnreachable appends the endpoints that this proxy recently failed to reach to those
// already tried.
func (p *placer) withUnreachable(tried []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootTime()
	list := slices.Clone(tried)
	for id, until := range p.unreachable {
		if now > until {
			delete(p.unreachable, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

func (p *placer) addWaiter(token uint64) <-chan placement.Decision {
	grants := make(chan placement.Decision, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[token] = grants
	return grants
}

func (p *placer) removeWaiter(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, token)
}

// deliver sends decisions about queued requests to their proxies.
func (p *placer) deliver(decisions []placement.Decision) {
	for _, d := range decisions {
		if d.Proxy != p.fleet.self.Address {
			p.send(d.Proxy, peer.TopicPlaceDecision, newDecisionMessage(d))
			continue
		}
		p.wakeWaiter(d)
	}
}

// wakeWaiter passes a decision to the request that waits for it. It returns false if no
// request waits.
func (p *placer) wakeWaiter(d placement.Decision) bool {
	p.mu.Lock()
	grants, found := p.waiters[d.Token]
	p.mu.Unlock()
	if !found {
		return false
	}
	select {
	case grants <- d:
		return true
	default:
		return false
	}
}

// handlePlaceRequest decides about a placement request of another member.
func (p *placer) handlePlaceRequest(from string, payload []byte) ([]byte, error) {
	var m placeMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	request := m.request(time.Now(), from)
	owned := p.fleet.owns(m.Service)
	p.mu.Lock()
	d := p.schedule(m.Service, request, owned)
	p.mu.Unlock()
	return encode(newDecisionMessage(d)), nil
}

// handleDecision receives the decision of a hub about a queued request of this proxy.
func (p *placer) handleDecision(from string, payload []byte) {
	var m decisionMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode a decision", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	d := m.decision(p.fleet.self.Address)
	if !p.wakeWaiter(d) && d.Verdict == placement.Granted {
		p.sendEnd(from, &endMessage{Token: d.Token})
	}
}

// handleEnd receives another member's report of the end of an attempt.
func (p *placer) handleEnd(from string, payload []byte) {
	var m endMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: failed to decode the end of an attempt", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	p.recordEnd(&m, impliedRateLimit(m.Outcome))
}

// recordEnd records the end of an attempt of another member and what the response states
// about the rate limit of the endpoint.
func (p *placer) recordEnd(m *endMessage, limit placement.RateLimit) {
	now := time.Now()
	elapsed := time.Duration(m.ElapsedMillis) * time.Millisecond
	p.mu.Lock()
	var decisions []placement.Decision
	if m.Service == "" {
		for _, s := range p.services {
			decisions = append(decisions, s.scheduler.End(now, m.Token, m.Outcome, 0)...)
		}
	} else {
		scheduler := p.service(m.Service).scheduler
		scheduler.ObserveRateLimit(now, m.Token, m.Endpoint, now.Add(-elapsed), limit)
		if m.WithoutHub && !scheduler.HasAttempt(m.Token) {
			scheduler.Observe(now, m.Endpoint, m.Token, m.Outcome)
		} else {
			decisions = scheduler.End(now, m.Token, m.Outcome, elapsed)
		}
	}
	p.mu.Unlock()
	p.deliver(decisions)
}

// serviceTime returns the mean time that an endpoint of the service takes, as this member
// knows it.
func (p *placer) serviceTime(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(name).scheduler.MeanServiceTime()
}

// suspicions returns the suspicions that changed since the last call, by service, for the
// services that this member owns.
func (p *placer) suspicions() map[string][]suspicion {
	found := map[string][]suspicion{}
	for _, name := range p.serviceNames() {
		owned := p.fleet.owns(name)
		p.mu.Lock()
		scheduler := p.service(name).scheduler
		if !owned {
			scheduler.ResetSuspicions()
			p.mu.Unlock()
			continue
		}
		for _, v := range scheduler.Suspicions(time.Now()) {
			found[name] = append(found[name], suspicion{ID: v.ID, FailurePerMille: int(v.FailureProbability * 1000)})
		}
		p.mu.Unlock()
	}
	return found
}

// applySuspicions applies the suspicions of a hub for the services that it owns.
func (p *placer) applySuspicions(from string, byService map[string][]suspicion) {
	for name, list := range byService {
		if owner, found := p.fleet.owner(name); !found || owner.Address != from {
			continue
		}
		suspicions := make([]placement.Suspicion, 0, len(list))
		for _, v := range list {
			suspicions = append(suspicions, placement.Suspicion{ID: v.ID, FailureProbability: float64(v.FailurePerMille) / 1000})
		}
		p.mu.Lock()
		p.service(name).scheduler.ApplySuspicions(time.Now(), suspicions)
		p.mu.Unlock()
	}
}

// advance decides about waiting requests that are due.
func (p *placer) advance(now time.Time) {
	p.mu.Lock()
	var decisions []placement.Decision
	for _, s := range p.services {
		decisions = append(decisions, s.scheduler.Advance(now)...)
		s.scheduler.ReportDecayed(now)
		p.armTimer(s)
	}
	p.mu.Unlock()
	p.deliver(decisions)
}

// minTimerDelay keeps the timer from firing more often than decisions can change.
const minTimerDelay = 10 * time.Millisecond

// armTimer sets the timer of a service to the next due time of a waiting request. The mutex
// must be held.
func (p *placer) armTimer(s *service) {
	due, waiting := s.scheduler.NextDue()
	if !waiting || !s.due.IsZero() && !due.Before(s.due) && time.Now().Before(s.due) {
		return
	}
	s.due = due
	wait := max(minTimerDelay, time.Until(due))
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, func() { p.advance(time.Now()) })
		return
	}
	s.timer.Reset(wait)
}
