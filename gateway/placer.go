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
	// askTimeout is the longest wait for a hub's first answer. Zones are a few
	// milliseconds apart and machines are slow.
	askTimeout = 80 * time.Millisecond
	// lostGrantPoll is how often a waiting request checks that its hub is alive.
	lostGrantPoll = 250 * time.Millisecond
	// pathMemory is the time for which an endpoint is avoided after this proxy could
	// not reach it: the path may be cut for this proxy alone.
	pathMemory = 3 * time.Second
)

// RetryBudget bounds the repeated attempts of a service over the whole fleet.
type RetryBudget struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

const (
	// hubBurstShare of the burst belongs to the hub that places a service.
	hubBurstShare = 0.55
	// hubRatioShare of the ratio does: two members may believe to be that hub.
	hubRatioShare = 0.8
)

// aloneBurstShare of the burst is divided among the members for the attempts that
// they repeat without the hub.
const aloneBurstShare = 0.4

// service is this member's view of one service.
type service struct {
	scheduler *placement.Scheduler
	budget    *placement.Budget // of the repeats as the hub
	alone     *placement.Budget // of the repeats without the hub
	owned     bool              // this member places the requests of the service
	owner     string            // address of the hub that knows this member's attempts
	told      []told            // hubs that were told of them, newest last
	due       time.Time         // when timer fires
	timer     *time.Timer
}

// placer obtains endpoints for attempts: from the hub of the service, or from this
// member's own view. It is safe for concurrent use.
type placer struct {
	fleet     *fleet
	transport *peer.Transport
	budget    RetryBudget
	logger    *zap.Logger
	counts    *counts
	tokens    atomic.Uint64
	epoch     uint64

	mu       sync.Mutex
	services map[string]*service
	waiting  map[uint64]chan placement.Decision
	hubs     []string       // addresses, as of the last look
	paths    map[string]age // endpoints that this proxy could not reach, until when
}

func newPlacer(f *fleet, t *peer.Transport, incarnation string, b RetryBudget, c *counts, logger *zap.Logger) *placer {
	return &placer{
		fleet: f, transport: t, budget: b, counts: c, logger: logger,
		epoch:    xxh3.HashString(incarnation) << 24,
		services: map[string]*service{}, waiting: map[uint64]chan placement.Decision{}, paths: map[string]age{},
	}
}

// token returns an identifier for an attempt that no other process uses.
func (p *placer) token() uint64 { return p.epoch + p.tokens.Add(1)&(1<<24-1) }

// service returns the view of a service. The mutex must be held.
func (p *placer) service(name string) *service {
	s, found := p.services[name]
	if !found {
		budget := placement.NewBudget(hubRatioShare*p.budget.Ratio, hubBurstShare*p.budget.Burst, p.budget.Window, time.Now())
		random := rand.New(rand.NewPCG(xxh3.HashString(name), p.epoch))
		alone := placement.NewBudget(p.budget.Ratio, aloneBurstShare*p.budget.Burst/float64(max(1, p.fleet.size())),
			p.budget.Window, time.Now())
		observer := &beliefLog{service: name, logger: p.logger}
		s = &service{scheduler: placement.New(random, budget, observer), budget: budget, alone: alone}
		p.services[name] = s
		p.counts.serveService(name, func() serviceFigures { return p.figures(name) })
	}
	return s
}

// names returns the services that this member has a view of.
func (p *placer) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.services))
}

// setEndpoints puts the usable endpoints of a service in force.
func (p *placer) setEndpoints(name string, endpoints []Endpoint) {
	list := make([]placement.Endpoint, len(endpoints))
	for i, e := range endpoints {
		list[i] = placement.NewEndpoint(e.ID, e.Address, e.Zone, e.Slots, time.UnixMilli(e.WarmAtMillis))
	}
	p.mu.Lock()
	decisions := p.service(name).scheduler.SetEndpoints(time.Now(), list)
	p.mu.Unlock()
	p.deliver(decisions)
}

// placed is an endpoint for one attempt.
type placed struct {
	decision placement.Decision
	service  string
	asked    time.Time
	started  time.Time
	hub      string // address of the hub that granted it, if another member
	alone    bool   // placed without the hub of the service
	repeat   repeat // why the attempt follows another one
}

// place obtains an endpoint, waiting for a free slot if one is likely in time.
func (p *placer) place(ctx context.Context, name string, a placement.Request) placed {
	a.Token = p.token()
	a.Proxy = p.fleet.self.Address
	a.Zone = p.fleet.self.Zone
	a.Avoid = p.avoided(a.Avoid)
	asked := time.Now()
	x := p.ask(ctx, name, a)
	if d := x.decision; d.Verdict == placement.Refused && d.Reason == placement.ReasonNoEndpoint &&
		len(a.Avoid) > 0 && !a.Retry {
		// An endpoint that this proxy failed to reach is better than none.
		a.Avoid, a.Token = nil, p.token()
		x = p.ask(ctx, name, a)
	}
	p.counts.placed(name, asked)
	if x.decision.Reason == placement.ReasonBudget {
		p.counts.repeatRefused(name)
	}
	x.service, x.asked, x.started = name, asked, time.Now()
	return x
}

func (p *placer) ask(ctx context.Context, name string, a placement.Request) placed {
	owner, found := p.fleet.owner(name)
	if found {
		p.handOver(name, owner)
	}
	if found && owner.Address != p.fleet.self.Address {
		if d, ok := p.askHub(ctx, owner.Address, name, a); ok {
			p.begin(name, a, d)
			return placed{decision: d, hub: owner.Address}
		}
		if ctx.Err() != nil {
			return placed{decision: placement.Decision{Verdict: placement.Refused}}
		}
		p.counts.alone.Inc()
		return placed{decision: p.askAlone(ctx, name, a), alone: true}
	}
	if !found {
		return placed{decision: p.askAlone(ctx, name, a), alone: true}
	}
	return placed{decision: p.askSelf(ctx, name, a, true)}
}

// testsAlone is the number of members that test suspected endpoints without the hub.
const testsAlone = 3

// askAlone decides without the hub. Its repeats have a budget of their own, so that
// the sum over all members holds, and few members test suspected endpoints: each has
// a view of its own and would send a test.
func (p *placer) askAlone(ctx context.Context, name string, a placement.Request) placement.Decision {
	a.NoProbe = rand.IntN(max(1, p.fleet.size())) >= testsAlone
	return p.askSelf(ctx, name, a, false)
}

// decide places an attempt by this member's view, with the budget of the hub if it
// owns the service. The mutex must be held.
func (p *placer) decide(name string, a placement.Request, owned bool) placement.Decision {
	now := time.Now()
	s := p.service(name)
	s.own(now, owned)
	if !s.allows(now, a) {
		return placement.Decision{
			Token: a.Token, Proxy: a.Proxy, Verdict: placement.Refused, Reason: placement.ReasonBudget,
		}
	}
	d := s.scheduler.Place(now, a)
	if d.Verdict == placement.Queued {
		p.arm(s)
	}
	return d
}

// begin counts an attempt that the hub has placed in this member's own view.
func (p *placer) begin(name string, a placement.Request, d placement.Decision) {
	if d.Verdict != placement.Granted {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(name).scheduler.Begin(time.Now(), a, d.Endpoint.ID())
}

func (p *placer) askHub(ctx context.Context, hub, name string, a placement.Request) (placement.Decision, bool) {
	grants := p.expect(a.Token)
	defer p.forget(a.Token)
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	reply, err := p.transport.Request(limited, hub, "", peer.TopicPlaceRequest, encode(newAskMessage(name, time.Now(), a)))
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			p.fleet.fail(hub)
			p.logger.Info("placement: hub did not answer", zap.String("hub", hub), zap.String("service", name),
				zap.String("error", err.Error()))
		}
		// The hub may have granted the attempt all the same.
		p.send(hub, &endMessage{Service: name, Token: a.Token})
		return placement.Decision{}, false
	}
	var m decisionMessage
	if err := decode(reply, &m); err != nil {
		p.logger.Warn("placement: unreadable decision", zap.String("hub", hub), zap.String("error", err.Error()))
		return placement.Decision{}, false
	}
	d := m.decision(a.Proxy)
	if d.Verdict != placement.Queued {
		return d, true
	}
	return p.awaitGrant(ctx, hub, name, a, grants)
}

// awaitGrant waits for the decision about a queued request.
func (p *placer) awaitGrant(
	ctx context.Context, hub, name string, a placement.Request, grants <-chan placement.Decision,
) (placement.Decision, bool) {
	p.counts.queued.Inc()
	poll := time.NewTicker(lostGrantPoll)
	defer poll.Stop()
	for {
		select {
		case d := <-grants:
			return d, true
		case <-ctx.Done():
			p.send(hub, &endMessage{Service: name, Token: a.Token})
			return placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoTime}, true
		case <-poll.C:
			if owner, found := p.fleet.owner(name); !found || owner.Address != hub {
				p.send(hub, &endMessage{Service: name, Token: a.Token})
				return placement.Decision{}, false
			}
		}
	}
}

func (p *placer) askSelf(ctx context.Context, name string, a placement.Request, owned bool) placement.Decision {
	p.mu.Lock()
	d := p.decide(name, a, owned)
	if d.Verdict != placement.Queued {
		p.mu.Unlock()
		return d
	}
	grants := make(chan placement.Decision, 1)
	p.waiting[a.Token] = grants
	p.mu.Unlock()
	p.counts.queued.Inc()
	defer p.forget(a.Token)
	select {
	case d := <-grants:
		return d
	case <-ctx.Done():
		p.mu.Lock()
		decisions := p.service(name).scheduler.End(time.Now(), a.Token, placement.OutcomeNone, 0)
		p.mu.Unlock()
		p.deliver(decisions)
		return placement.Decision{Verdict: placement.Refused, Reason: placement.ReasonNoTime}
	}
}

// end reports the end of a granted attempt.
func (p *placer) end(x placed, o placement.Outcome) {
	elapsed := time.Since(x.started)
	id := x.decision.Endpoint.ID()
	p.notePath(id, o)
	p.mu.Lock()
	decisions := p.service(x.service).scheduler.End(time.Now(), x.decision.Token, o, elapsed)
	p.mu.Unlock()
	p.deliver(decisions)
	m := &endMessage{
		Service: x.service, Token: x.decision.Token, Endpoint: id, Outcome: o,
		ElapsedMillis: elapsed.Milliseconds(), Alone: x.alone,
	}
	for _, hub := range p.informed(x) {
		p.send(hub, m)
	}
}

func (p *placer) send(to string, m *endMessage) {
	if err := p.transport.Send(to, peer.TopicPlaceEnd, encode(m)); err != nil {
		p.counts.lostReports.Inc()
	}
}

// notePath remembers whether this proxy reaches the endpoint.
func (p *placer) notePath(id string, o placement.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o {
	case placement.OutcomeUnreachable, placement.OutcomeTimeout:
		p.paths[id] = bootTime() + age(pathMemory)
	case placement.OutcomeServed:
		delete(p.paths, id)
	}
}

// avoided adds the endpoints that this proxy does not reach.
func (p *placer) avoided(tried []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootTime()
	list := slices.Clone(tried)
	for id, until := range p.paths {
		if now > until {
			delete(p.paths, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

func (p *placer) expect(token uint64) <-chan placement.Decision {
	grants := make(chan placement.Decision, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[token] = grants
	return grants
}

func (p *placer) forget(token uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, token)
}

// deliver passes on decisions about requests that waited.
func (p *placer) deliver(decisions []placement.Decision) {
	for _, d := range decisions {
		if d.Proxy != p.fleet.self.Address {
			if err := p.transport.Send(d.Proxy, peer.TopicPlaceDecision, encode(newDecisionMessage(d))); err != nil {
				p.counts.lostReports.Inc()
			}
			continue
		}
		p.hand(d)
	}
}

// hand gives a decision to the request that waits for it and reports whether
// there is one.
func (p *placer) hand(d placement.Decision) bool {
	p.mu.Lock()
	grants, found := p.waiting[d.Token]
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

// serveAsk answers another member.
func (p *placer) serveAsk(from string, payload []byte) ([]byte, error) {
	var m askMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	a := m.ask(time.Now(), from)
	owned := p.fleet.owns(m.Service)
	p.mu.Lock()
	d := p.decide(m.Service, a, owned)
	p.mu.Unlock()
	return encode(newDecisionMessage(d)), nil
}

// serveDecision takes the decision about a request of this proxy that was queued.
func (p *placer) serveDecision(from string, payload []byte) {
	var m decisionMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: unreadable decision", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	d := m.decision(p.fleet.self.Address)
	if !p.hand(d) && d.Verdict == placement.Granted {
		p.send(from, &endMessage{Token: d.Token})
	}
}

// serveEnd takes the report of another member.
func (p *placer) serveEnd(from string, payload []byte) {
	var m endMessage
	if err := decode(payload, &m); err != nil {
		p.logger.Warn("placement: unreadable report", zap.String("from", from), zap.String("error", err.Error()))
		return
	}
	now := time.Now()
	p.mu.Lock()
	var decisions []placement.Decision
	switch {
	case m.Service == "":
		for _, s := range p.services {
			decisions = append(decisions, s.scheduler.End(now, m.Token, m.Outcome, 0)...)
		}
	case m.Alone && !p.service(m.Service).scheduler.HasAttempt(m.Token):
		p.service(m.Service).scheduler.Observe(now, m.Endpoint, m.Token, m.Outcome)
	default:
		elapsed := time.Duration(m.ElapsedMillis) * time.Millisecond
		decisions = p.service(m.Service).scheduler.End(now, m.Token, m.Outcome, elapsed)
	}
	p.mu.Unlock()
	p.deliver(decisions)
}

// suspicions returns those of the services that this member places which changed since
// the last call.
func (p *placer) suspicions() map[string][]suspicion {
	found := map[string][]suspicion{}
	for _, name := range p.names() {
		owned := p.fleet.owns(name)
		p.mu.Lock()
		scheduler := p.service(name).scheduler
		if !owned {
			scheduler.ResetSuspicions()
			p.mu.Unlock()
			continue
		}
		for _, v := range scheduler.Suspicions(time.Now()) {
			found[name] = append(found[name], suspicion{ID: v.ID, FailingPerMille: int(v.FailureProbability * 1000)})
		}
		p.mu.Unlock()
	}
	return found
}

// learn takes the suspicions of a hub about the services that it places.
func (p *placer) learn(from string, all map[string][]suspicion) {
	for name, list := range all {
		if owner, found := p.fleet.owner(name); !found || owner.Address != from {
			continue
		}
		learnt := make([]placement.Suspicion, 0, len(list))
		for _, v := range list {
			learnt = append(learnt, placement.Suspicion{ID: v.ID, FailureProbability: float64(v.FailingPerMille) / 1000})
		}
		p.mu.Lock()
		p.service(name).scheduler.ApplySuspicions(time.Now(), learnt)
		p.mu.Unlock()
	}
}

// advance decides about waiting requests whose time has come.
func (p *placer) advance(now time.Time) {
	p.mu.Lock()
	var decisions []placement.Decision
	for _, s := range p.services {
		decisions = append(decisions, s.scheduler.Advance(now)...)
		s.scheduler.Decay(now)
		p.arm(s)
	}
	p.mu.Unlock()
	p.deliver(decisions)
}

// leastTimer keeps timers from firing more often than decisions can change.
const leastTimer = 10 * time.Millisecond

// arm wakes the view when a waiting request is due. The mutex must be held.
func (p *placer) arm(s *service) {
	due, waiting := s.scheduler.NextDue()
	if !waiting || !s.due.IsZero() && !due.Before(s.due) && time.Now().Before(s.due) {
		return
	}
	s.due = due
	wait := max(leastTimer, time.Until(due))
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, func() { p.advance(time.Now()) })
		return
	}
	s.timer.Reset(wait)
}
