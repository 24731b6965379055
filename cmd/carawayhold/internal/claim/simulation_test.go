package claim

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

const (
	testService    = "lager"
	testPartitions = 32
	callerDeadline = 3 * time.Second
	storeLatency   = 1500 * time.Microsecond // one way
	peerLatency    = 500 * time.Microsecond  // one way
	memberLag      = 5 * time.Second         // delay before dead members leave the list
)

// step is a point in the course of a submission at which a fault can be injected.
type step string

const (
	beforeClaim     step = "before claim"
	claimSent       step = "claim sent"
	claimWritten    step = "claim written"
	claimGranted    step = "claim granted"
	beforeSend      step = "before send"
	firstByteSent   step = "first byte sent"
	backendRan      step = "backend ran"
	backendAnswered step = "backend answered"
	settleSent      step = "settle sent"
	settleWritten   step = "settle written"
	callerAnswered  step = "caller answered"
)

// simulation runs real coordinators against an in-memory store, network and
// endpoint, and injects faults into them. It must run in a synctest bubble.
type simulation struct {
	t          *testing.T
	invariants *once.Invariants

	mu      sync.Mutex
	members []*node
	objects map[string]platform.Object
	runs    map[string][]run // by idempotency key
	results []callerResult
	// watched is the key whose submission calls onStep, once per step.
	watched string
	onStep  func(step)
	fired   map[step]bool

	storeDown   bool
	loseReplies int           // number of writes to apply without a reply
	delayWrites int           // number of writes to fail and apply later
	endpoint    endpointFault // applies to the next attempts
	generation  int
}

type endpointFault string

const (
	endpointSilent   endpointFault = "silent"   // executes the request and never responds
	endpointLate     endpointFault = "late"     // executes the request and responds after the caller's deadline
	endpointRefuses  endpointFault = "refuses"  // refuses connections
	endpointDeclines endpointFault = "declines" // declares that it did not run the request
)

// run is one execution at the endpoint.
type run struct {
	at    time.Time
	claim once.ClaimID
	body  string
}

// callerResult is what a caller received for one submission.
type callerResult struct {
	key         string
	submittedAt time.Time
	claim       once.ClaimID // zero if none was granted
	verdict     once.Verdict
}

// node is a process of the fleet. A process that replaces another one is a new
// node at the same address.
type node struct {
	sim         *simulation
	address     string
	incarnation string
	coordinator *Coordinator
	ctx         context.Context
	cancel      context.CancelFunc

	dead        bool
	deadAt      time.Time
	pausedUntil time.Time
	storeLink   linkState
	peerLinks   map[string]linkState // by address of the other node
}

// linkState describes a link that may lose the messages in one direction.
type linkState int

const (
	linkUp linkState = iota
	dropRequests
	dropReplies
)

func newSimulation(t *testing.T, nodes int) *simulation {
	sim := &simulation{
		t:       t,
		objects: map[string]platform.Object{},
		runs:    map[string][]run{},
		fired:   map[step]bool{},
	}
	sim.invariants = once.NewInvariants(func(name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
	for i := range nodes {
		sim.start(fmt.Sprintf("10.0.0.%d", i+1))
	}
	return sim
}

// start runs a new process at an address.
func (sim *simulation) start(address string) *node {
	sim.mu.Lock()
	sim.generation++
	n := &node{
		sim:         sim,
		address:     address,
		incarnation: fmt.Sprintf("%s#%d", address, sim.generation),
		peerLinks:   map[string]linkState{},
	}
	sim.mu.Unlock()
	n.ctx, n.cancel = context.WithCancel(sim.t.Context())
	n.coordinator = New(n, n, WithInvariants(sim.invariants))
	started := make(chan struct{})
	go func() {
		close(started)
		_ = n.coordinator.Run(n.ctx)
	}()
	<-started
	sim.mu.Lock()
	sim.members = append(sim.members, n)
	sim.mu.Unlock()
	time.Sleep(time.Millisecond)
	return n
}

func (sim *simulation) kill(n *node) {
	sim.mu.Lock()
	n.dead = true
	n.deadAt = time.Now()
	sim.mu.Unlock()
	n.cancel()
}

func (sim *simulation) pause(n *node, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

func (sim *simulation) stop() {
	sim.mu.Lock()
	members := slices.Clone(sim.members)
	sim.mu.Unlock()
	for _, n := range members {
		sim.kill(n)
	}
	// Let calls in flight return; synctest fails the test if a goroutine remains.
	time.Sleep(time.Hour)
}

// heal ends all faults, except that dead processes stay dead, and stops the
// injection of further ones.
func (sim *simulation) heal() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.watched = ""
	sim.storeDown = false
	sim.loseReplies = 0
	sim.delayWrites = 0
	sim.endpoint = ""
	for _, n := range sim.members {
		n.storeLink = linkUp
		clear(n.peerLinks)
	}
}

// at calls onStep when the watched key reaches a step for the first time.
func (sim *simulation) at(key string, s step) {
	sim.mu.Lock()
	fire := key == sim.watched && sim.onStep != nil && !sim.fired[s]
	if fire {
		sim.fired[s] = true
	}
	sim.mu.Unlock()
	if fire {
		sim.onStep(s)
	}
}

// awaitRunning waits while the process is paused and returns false if it is dead.
// Every interaction of a process with the simulation calls it first.
func (n *node) awaitRunning() bool {
	for {
		n.sim.mu.Lock()
		dead := n.dead
		wait := time.Until(n.pausedUntil)
		n.sim.mu.Unlock()
		if dead {
			return false
		}
		if wait <= 0 {
			return true
		}
		time.Sleep(wait)
	}
}

func (n *node) Self() string { return n.incarnation }

func (n *node) Homes(name string, count int) []string {
	return n.sim.homes(name, count)
}

func (sim *simulation) homes(name string, count int) []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var listed []string
	for _, m := range sim.members {
		if !m.dead || time.Since(m.deadAt) < memberLag {
			listed = append(listed, m.incarnation)
		}
	}
	weight := func(incarnation string) uint64 {
		sum := sha256.Sum256([]byte(incarnation + " " + name))
		return binary.BigEndian.Uint64(sum[:8])
	}
	slices.SortFunc(listed, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return listed[:min(count, len(listed))]
}

// Request delivers the payload to the live process at the address, whatever its
// incarnation, like a real network.
func (n *node) Request(ctx context.Context, incarnation, topic string, payload []byte) ([]byte, error) {
	if !n.awaitRunning() {
		return nil, ErrUnavailable
	}
	sim := n.sim
	sim.peerStep(topic, payload)
	target, link := sim.find(n, incarnation)
	time.Sleep(peerLatency)
	if target == nil || link == dropRequests {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	type served struct {
		payload []byte
		err     error
	}
	reply := make(chan served, 1)
	go func() {
		if !target.awaitRunning() {
			return
		}
		response, err := target.coordinator.Serve(ctx, topic, payload)
		if target.awaitRunning() {
			reply <- served{response, err}
		}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-reply:
		time.Sleep(peerLatency)
		_, link = sim.find(n, incarnation)
		if link == dropReplies {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !n.awaitRunning() {
			return nil, ErrUnavailable
		}
		return r.payload, r.err
	}
}

func (sim *simulation) find(from *node, incarnation string) (*node, linkState) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	i := slices.IndexFunc(sim.members, func(m *node) bool { return m.incarnation == incarnation })
	if i < 0 {
		return nil, linkUp
	}
	address := sim.members[i].address
	var target *node
	for _, m := range sim.members {
		if m.address == address && !m.dead {
			target = m
		}
	}
	return target, from.peerLinks[address]
}

func (n *node) Get(ctx context.Context, name string) (platform.Object, error) {
	if !n.awaitRunning() {
		return platform.Object{}, platform.ErrUnavailable
	}
	sim := n.sim
	time.Sleep(storeLatency)
	sim.mu.Lock()
	object, ok := sim.objects[name]
	unreachable := sim.storeDown
	lost := n.storeLink != linkUp
	sim.mu.Unlock()
	if unreachable {
		return platform.Object{}, platform.ErrUnavailable
	}
	if lost {
		<-ctx.Done()
		return platform.Object{}, platform.ErrUnavailable
	}
	time.Sleep(storeLatency)
	if !n.awaitRunning() {
		return platform.Object{}, platform.ErrUnavailable
	}
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (n *node) Put(ctx context.Context, name string, expect int64, value []byte) (int64, error) {
	if !n.awaitRunning() {
		return 0, platform.ErrUnavailable
	}
	sim := n.sim
	sim.storeSteps(name, value, claimSent, settleSent)
	time.Sleep(storeLatency)
	sim.mu.Lock()
	unreachable := sim.storeDown
	requestLost := n.storeLink == dropRequests
	delayed := sim.delayWrites > 0
	if delayed {
		sim.delayWrites--
	}
	sim.mu.Unlock()
	switch {
	case unreachable:
		return 0, platform.ErrUnavailable
	case requestLost:
		<-ctx.Done()
		return 0, platform.ErrUnavailable
	case delayed:
		go func() {
			time.Sleep(700 * time.Millisecond)
			_, _ = sim.apply(name, expect, value)
		}()
		return 0, platform.ErrUnavailable
	}
	version, err := sim.apply(name, expect, value)
	if err == nil {
		sim.storeSteps(name, value, claimWritten, settleWritten)
	}
	sim.mu.Lock()
	lost := sim.loseReplies > 0 && err == nil
	if lost {
		sim.loseReplies--
	}
	silent := n.storeLink == dropReplies
	sim.mu.Unlock()
	if silent {
		<-ctx.Done()
		return 0, platform.ErrUnavailable
	}
	time.Sleep(storeLatency)
	if lost || !n.awaitRunning() {
		return 0, platform.ErrUnavailable
	}
	return version, err
}

func (sim *simulation) apply(name string, expect int64, value []byte) (int64, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	sim.objects[name] = platform.Object{Name: name, Version: expect + 1, Value: value}
	return expect + 1, nil
}

// storeSteps reports the step if a write contains the watched key.
func (sim *simulation) storeSteps(name string, value []byte, claimed, settled step) {
	sim.mu.Lock()
	watched := sim.watched
	sim.mu.Unlock()
	if watched == "" {
		return
	}
	key := identity(watched).key(testService)
	index := once.PartitionOf(key, testPartitions)
	if name != once.ObjectName(testService, index) {
		return
	}
	p, err := once.DecodePartition(value, testService, index, testPartitions, nil)
	if err != nil {
		sim.t.Errorf("stored value: %v", err)
		return
	}
	switch record, ok := p.Record(key); {
	case ok && record.State == once.StateClaimed:
		sim.at(watched, claimed)
	case ok:
		sim.at(watched, settled)
	}
}

// peerStep reports the step if a message contains the watched key.
func (sim *simulation) peerStep(topic string, payload []byte) {
	sim.mu.Lock()
	watched := sim.watched
	sim.mu.Unlock()
	if watched == "" {
		return
	}
	key := identity(watched).key(testService)
	var claim claimCall
	var settle settleCall
	switch {
	case topic == TopicClaim && decode(payload, &claim) == nil && claim.Request.Key == key:
		sim.at(watched, claimSent)
	case topic == TopicSettle && decode(payload, &settle) == nil && settle.Settlement.Key == key:
		sim.at(watched, settleSent)
	}
}

func identity(key string) Identity {
	return Identity{Authorization: "bearer x", Team: "graz", IdempotencyKey: key}
}

func submissionOf(key string, first bool) Submission {
	return Submission{
		Service:         Service{Name: testService, Partitions: testPartitions, Retention: 24 * time.Hour},
		Identity:        identity(key),
		Method:          "POST",
		Path:            "/reservations",
		Body:            []byte("pallet for " + key),
		FirstSubmission: first,
	}
}

// submit handles a submission like the proxy's request path and records the
// outcome for the caller. It returns false if the process died before the caller
// received an outcome.
func (n *node) submit(key string, first bool) (once.Verdict, bool) {
	sim := n.sim
	arrived := time.Now()
	if !n.awaitRunning() {
		return once.Verdict{}, false
	}
	sim.at(key, beforeClaim)
	if !n.awaitRunning() {
		return once.Verdict{}, false
	}
	ctx, cancel := context.WithDeadline(n.ctx, arrived.Add(callerDeadline))
	defer cancel()
	ticket, verdict := n.coordinator.Claim(ctx, submissionOf(key, first))
	entry := callerResult{key: key, submittedAt: arrived, verdict: verdict}
	if ticket != nil {
		entry.claim = ticket.Claim()
		sim.at(key, claimGranted)
		entry.verdict = n.send(ctx, ticket, key)
	}
	sim.at(key, callerAnswered)
	if !n.awaitRunning() {
		return once.Verdict{}, false
	}
	sim.mu.Lock()
	sim.results = append(sim.results, entry)
	sim.mu.Unlock()
	return entry.verdict, true
}

// send makes up to two attempts to send the request under a ticket.
func (n *node) send(ctx context.Context, ticket *Ticket, key string) once.Verdict {
	for range 2 {
		n.sim.at(key, beforeSend)
		if !n.awaitRunning() {
			return once.Verdict{}
		}
		if err := ticket.BeginSend(); err != nil {
			return n.coordinator.Settle(ticket, NotSent(once.ReasonDeadline))
		}
		response, result := n.sendToEndpoint(ctx, ticket, key)
		switch result {
		case sendAnswered:
			n.sim.at(key, backendAnswered)
			if !n.awaitRunning() {
				return once.Verdict{}
			}
			return n.coordinator.Settle(ticket, Answered(response))
		case sendUnknown:
			return n.coordinator.Settle(ticket, Unknown())
		}
		if err := ticket.MarkNotSent(); err != nil {
			n.sim.t.Errorf("mark as not sent: %v", err)
		}
	}
	return n.coordinator.Settle(ticket, NotSent(once.ReasonNotSent))
}

type sendResult int

const (
	sendNotSent sendResult = iota
	sendAnswered
	sendUnknown
)

func (n *node) sendToEndpoint(ctx context.Context, ticket *Ticket, key string) (once.Response, sendResult) {
	sim := n.sim
	if !n.awaitRunning() {
		return once.Response{}, sendUnknown
	}
	sim.at(key, firstByteSent)
	sim.mu.Lock()
	fault := sim.endpoint
	sim.mu.Unlock()
	time.Sleep(peerLatency)
	if fault == endpointRefuses || fault == endpointDeclines {
		return once.Response{}, sendNotSent
	}
	response := sim.execute(key, ticket.Claim())
	sim.at(key, backendRan)
	sim.mu.Lock()
	fault = sim.endpoint
	sim.mu.Unlock()
	switch fault {
	case endpointSilent:
		<-ctx.Done()
		return once.Response{}, sendUnknown
	case endpointLate:
		<-ctx.Done()
	}
	time.Sleep(5 * time.Millisecond)
	if !n.awaitRunning() {
		return once.Response{}, sendUnknown
	}
	if ctx.Err() != nil {
		go func() {
			time.Sleep(time.Second)
			if n.awaitRunning() {
				n.coordinator.Settle(ticket, Answered(response))
			}
		}()
		return once.Response{}, sendUnknown
	}
	return response, sendAnswered
}

// execute records a run of the key and returns a response that identifies it.
func (sim *simulation) execute(key string, claim once.ClaimID) once.Response {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	body := fmt.Sprintf("%s ran under %s", key, claim)
	sim.runs[key] = append(sim.runs[key], run{at: time.Now(), claim: claim, body: body})
	return once.NewResponse(201, nil, []byte(body))
}

// check checks the guarantees towards callers for all submissions so far: a key
// runs at most once; not-run is returned only for a submission that did not run and
// whose key had not run before it; answered carries the response of the one run.
func (sim *simulation) check(label string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for key, runs := range sim.runs {
		if len(runs) > 1 {
			sim.t.Errorf("%s: key %s ran %d times: %v", label, key, len(runs), runs)
		}
	}
	for _, e := range sim.results {
		runs := sim.runs[e.key]
		switch e.verdict.Outcome() {
		case once.OutcomeNotRun:
			for _, r := range runs {
				if !r.at.After(e.submittedAt) || r.claim == e.claim {
					sim.t.Errorf("%s: key %s: outcome not-run (%s), but it ran", label, e.key, e.verdict.Reason())
				}
			}
		case once.OutcomeAnswered:
			if len(runs) == 0 || string(e.verdict.Response().Body) != runs[0].body {
				sim.t.Errorf("%s: key %s: response %q, runs %v", label, e.key, e.verdict.Response().Body, runs)
			}
		case once.OutcomeUnknown:
		default:
			sim.t.Errorf("%s: key %s: unexpected outcome %q", label, e.key, e.verdict.Outcome())
		}
	}
	if n := sim.invariants.Violations(); n > 0 {
		sim.t.Errorf("%s: %d violated invariants", label, n)
	}
}
