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
	worldService    = "lager"
	worldPartitions = 32
	callerDeadline  = 3 * time.Second
	storeLatency    = 1500 * time.Microsecond // one way
	peerLatency     = 500 * time.Microsecond  // one way
	memberLag       = 5 * time.Second         // dead members stay in the lists this long
)

// step is a point in the life of a submission at which a fault can strike.
type step string

const (
	beforeClaim       step = "before claim"
	claimSent         step = "claim sent"
	claimTakenEffect  step = "claim taken effect"
	claimAnswered     step = "claim answered"
	beforeSend        step = "before send"
	firstByteSent     step = "first byte sent"
	backendRan        step = "backend ran"
	backendAnswered   step = "backend answered"
	settleSent        step = "settle sent"
	settleTakenEffect step = "settle taken effect"
	callerAnswered    step = "caller answered"
)

// world runs real coordinators against an in-memory store, network and
// endpoint, whose faults it controls. It must run in a synctest bubble.
type world struct {
	t          *testing.T
	invariants *once.Invariants

	mu      sync.Mutex
	members []*node
	objects map[string]platform.Object
	runs    map[string][]run // by idempotency key
	told    []told
	// watched is the key whose submission fires onStep, once per step.
	watched string
	onStep  func(step)
	fired   map[step]bool

	storeDown   bool
	loseAnswers int           // writes that take effect and whose answer is lost
	delayWrites int           // writes that fail and take effect later
	endpoint    endpointFault // applies to the next attempts
	generation  int
}

type endpointFault string

const (
	endpointSilent   endpointFault = "silent"   // runs and never answers
	endpointLate     endpointFault = "late"     // runs and answers after the caller's deadline
	endpointRefuses  endpointFault = "refuses"  // takes no connection
	endpointDeclines endpointFault = "declines" // declares that it did not run the request
)

// run is one execution at the endpoint.
type run struct {
	at    time.Time
	claim once.ClaimID
	body  string
}

// told is what a caller was told about one submission.
type told struct {
	key         string
	submittedAt time.Time
	claim       once.ClaimID // zero if none was granted
	verdict     once.Verdict
}

// node is one process of the fleet. A replaced process is a new node at the
// same address.
type node struct {
	world       *world
	address     string
	incarnation string
	coordinator *Coordinator
	ctx         context.Context
	cancel      context.CancelFunc

	dead        bool
	deadAt      time.Time
	pausedUntil time.Time
	cutStore    cut
	cutPeer     map[string]cut // by address of the other node
}

// cut is a one-way partition.
type cut int

const (
	cutNone cut = iota
	cutRequests
	cutReplies
)

func newWorld(t *testing.T, nodes int) *world {
	w := &world{
		t:       t,
		objects: map[string]platform.Object{},
		runs:    map[string][]run{},
		fired:   map[step]bool{},
	}
	w.invariants = once.NewInvariants(func(name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
	for i := range nodes {
		w.start(fmt.Sprintf("10.0.0.%d", i+1))
	}
	return w
}

// start runs a new process at an address, in place of the one that is there.
func (w *world) start(address string) *node {
	w.mu.Lock()
	w.generation++
	n := &node{
		world:       w,
		address:     address,
		incarnation: fmt.Sprintf("%s#%d", address, w.generation),
		cutPeer:     map[string]cut{},
	}
	w.mu.Unlock()
	n.ctx, n.cancel = context.WithCancel(w.t.Context())
	n.coordinator = New(n, n, WithInvariants(w.invariants))
	started := make(chan struct{})
	go func() {
		close(started)
		_ = n.coordinator.Run(n.ctx)
	}()
	<-started
	w.mu.Lock()
	w.members = append(w.members, n)
	w.mu.Unlock()
	time.Sleep(time.Millisecond)
	return n
}

func (w *world) kill(n *node) {
	w.mu.Lock()
	n.dead = true
	n.deadAt = time.Now()
	w.mu.Unlock()
	n.cancel()
}

func (w *world) pause(n *node, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

func (w *world) stop() {
	w.mu.Lock()
	members := slices.Clone(w.members)
	w.mu.Unlock()
	for _, n := range members {
		w.kill(n)
	}
	// Calls in flight end; synctest fails the test if a goroutine remains.
	time.Sleep(time.Hour)
}

// heal ends every fault except that dead processes stay dead, and no fault
// strikes any more.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched = ""
	w.storeDown = false
	w.loseAnswers = 0
	w.delayWrites = 0
	w.endpoint = ""
	for _, n := range w.members {
		n.cutStore = cutNone
		clear(n.cutPeer)
	}
}

// at fires the fault of the watched key.
func (w *world) at(key string, s step) {
	w.mu.Lock()
	fire := key == w.watched && w.onStep != nil && !w.fired[s]
	if fire {
		w.fired[s] = true
	}
	w.mu.Unlock()
	if fire {
		w.onStep(s)
	}
}

// gate waits while the process is paused and returns false when it is dead.
// Every interaction of a process with its surroundings passes it.
func (n *node) gate() bool {
	for {
		n.world.mu.Lock()
		dead := n.dead
		wait := time.Until(n.pausedUntil)
		n.world.mu.Unlock()
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
	return n.world.homes(name, count)
}

func (w *world) homes(name string, count int) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var listed []string
	for _, m := range w.members {
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

// Request delivers to whatever process is at the address, as a network that
// does not know incarnations would.
func (n *node) Request(ctx context.Context, incarnation, topic string, payload []byte) ([]byte, error) {
	if !n.gate() {
		return nil, ErrUnavailable
	}
	w := n.world
	w.peerStep(topic, payload)
	target, cut := w.find(n, incarnation)
	time.Sleep(peerLatency)
	if target == nil || cut == cutRequests {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	type served struct {
		payload []byte
		err     error
	}
	reply := make(chan served, 1)
	go func() {
		if !target.gate() {
			return
		}
		answer, err := target.coordinator.Serve(ctx, topic, payload)
		if target.gate() {
			reply <- served{answer, err}
		}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-reply:
		time.Sleep(peerLatency)
		_, cut = w.find(n, incarnation)
		if cut == cutReplies {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !n.gate() {
			return nil, ErrUnavailable
		}
		return r.payload, r.err
	}
}

func (w *world) find(from *node, incarnation string) (*node, cut) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.members, func(m *node) bool { return m.incarnation == incarnation })
	if i < 0 {
		return nil, cutNone
	}
	address := w.members[i].address
	var target *node
	for _, m := range w.members {
		if m.address == address && !m.dead {
			target = m
		}
	}
	return target, from.cutPeer[address]
}

// Get implements Store with the node's view of the platform.
func (n *node) Get(ctx context.Context, name string) (platform.Object, error) {
	if !n.gate() {
		return platform.Object{}, platform.ErrUnavailable
	}
	w := n.world
	time.Sleep(storeLatency)
	w.mu.Lock()
	object, ok := w.objects[name]
	unreachable := w.storeDown
	lost := n.cutStore != cutNone
	w.mu.Unlock()
	if unreachable {
		return platform.Object{}, platform.ErrUnavailable
	}
	if lost {
		<-ctx.Done()
		return platform.Object{}, platform.ErrUnavailable
	}
	time.Sleep(storeLatency)
	if !n.gate() {
		return platform.Object{}, platform.ErrUnavailable
	}
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

// Put implements Store with the node's view of the platform.
func (n *node) Put(ctx context.Context, name string, expect int64, value []byte) (int64, error) {
	if !n.gate() {
		return 0, platform.ErrUnavailable
	}
	w := n.world
	w.storeSteps(name, value, claimSent, settleSent)
	time.Sleep(storeLatency)
	w.mu.Lock()
	unreachable := w.storeDown
	requestLost := n.cutStore == cutRequests
	delayed := w.delayWrites > 0
	if delayed {
		w.delayWrites--
	}
	w.mu.Unlock()
	switch {
	case unreachable:
		return 0, platform.ErrUnavailable
	case requestLost:
		<-ctx.Done()
		return 0, platform.ErrUnavailable
	case delayed:
		go func() {
			time.Sleep(700 * time.Millisecond)
			_, _ = w.apply(name, expect, value)
		}()
		return 0, platform.ErrUnavailable
	}
	version, err := w.apply(name, expect, value)
	if err == nil {
		w.storeSteps(name, value, claimTakenEffect, settleTakenEffect)
	}
	w.mu.Lock()
	lost := w.loseAnswers > 0 && err == nil
	if lost {
		w.loseAnswers--
	}
	silent := n.cutStore == cutReplies
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return 0, platform.ErrUnavailable
	}
	time.Sleep(storeLatency)
	if lost || !n.gate() {
		return 0, platform.ErrUnavailable
	}
	return version, err
}

func (w *world) apply(name string, expect int64, value []byte) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	w.objects[name] = platform.Object{Name: name, Version: expect + 1, Value: value}
	return expect + 1, nil
}

// storeSteps recognises the watched key in a write.
func (w *world) storeSteps(name string, value []byte, claimed, settled step) {
	w.mu.Lock()
	watched := w.watched
	w.mu.Unlock()
	if watched == "" {
		return
	}
	key := identity(watched).key(worldService)
	index := once.PartitionOf(key, worldPartitions)
	if name != once.ObjectName(worldService, index) {
		return
	}
	p, err := once.DecodePartition(value, worldService, index, worldPartitions, nil)
	if err != nil {
		w.t.Errorf("stored value: %v", err)
		return
	}
	switch record, ok := p.Record(key); {
	case ok && record.State == once.StateClaimed:
		w.at(watched, claimed)
	case ok:
		w.at(watched, settled)
	}
}

// peerStep recognises the watched key in a message.
func (w *world) peerStep(topic string, payload []byte) {
	w.mu.Lock()
	watched := w.watched
	w.mu.Unlock()
	if watched == "" {
		return
	}
	key := identity(watched).key(worldService)
	var claim GrantCall
	var settle SettleCall
	switch {
	case topic == TopicClaim && decode(payload, &claim) == nil && claim.Request.Key == key:
		w.at(watched, claimSent)
	case topic == TopicSettle && decode(payload, &settle) == nil && settle.Settlement.Key == key:
		w.at(watched, settleSent)
	}
}

func identity(key string) Identity {
	return Identity{Authorization: "bearer x", Team: "graz", IdempotencyKey: key}
}

func submissionOf(key string, first bool) Submission {
	return Submission{
		Service:         Service{Name: worldService, Partitions: worldPartitions, Retention: 24 * time.Hour},
		Identity:        identity(key),
		Method:          "POST",
		Path:            "/reservations",
		Body:            []byte("pallet for " + key),
		FirstSubmission: first,
	}
}

// submit does what the proxy does with a request, and records what the caller
// is told. It returns false if the caller is told nothing because the process
// died or the caller gave up.
func (n *node) submit(key string, first bool) (once.Verdict, bool) {
	w := n.world
	arrived := time.Now()
	if !n.gate() {
		return once.Verdict{}, false
	}
	w.at(key, beforeClaim)
	if !n.gate() {
		return once.Verdict{}, false
	}
	ctx, cancel := context.WithDeadline(n.ctx, arrived.Add(callerDeadline))
	defer cancel()
	ticket, verdict := n.coordinator.Claim(ctx, submissionOf(key, first))
	entry := told{key: key, submittedAt: arrived, verdict: verdict}
	if ticket != nil {
		entry.claim = ticket.Claim()
		w.at(key, claimAnswered)
		entry.verdict = n.work(ctx, ticket, key)
	}
	w.at(key, callerAnswered)
	if !n.gate() {
		return once.Verdict{}, false
	}
	w.mu.Lock()
	w.told = append(w.told, entry)
	w.mu.Unlock()
	return entry.verdict, true
}

// work sends the request to endpoints under a ticket.
func (n *node) work(ctx context.Context, ticket *Ticket, key string) once.Verdict {
	for range 2 {
		n.world.at(key, beforeSend)
		if !n.gate() {
			return once.Verdict{}
		}
		if err := ticket.BeginSend(); err != nil {
			return n.coordinator.Settle(ticket, NotSent(once.ReasonDeadline))
		}
		response, result := n.callEndpoint(ctx, ticket, key)
		switch result {
		case sendAnswered:
			n.world.at(key, backendAnswered)
			if !n.gate() {
				return once.Verdict{}
			}
			return n.coordinator.Settle(ticket, Answered(response))
		case sendLost:
			return n.coordinator.Settle(ticket, Unknown())
		}
		if err := ticket.MarkNotSent(); err != nil {
			n.world.t.Errorf("nothing sent: %v", err)
		}
	}
	return n.coordinator.Settle(ticket, NotSent(once.ReasonNotSent))
}

type sendResult int

const (
	sendNothing sendResult = iota
	sendAnswered
	sendLost
)

func (n *node) callEndpoint(ctx context.Context, ticket *Ticket, key string) (once.Response, sendResult) {
	w := n.world
	if !n.gate() {
		return once.Response{}, sendLost
	}
	w.at(key, firstByteSent)
	w.mu.Lock()
	fault := w.endpoint
	w.mu.Unlock()
	time.Sleep(peerLatency)
	if fault == endpointRefuses || fault == endpointDeclines {
		return once.Response{}, sendNothing
	}
	response := w.execute(key, ticket.Claim())
	w.at(key, backendRan)
	w.mu.Lock()
	fault = w.endpoint
	w.mu.Unlock()
	switch fault {
	case endpointSilent:
		<-ctx.Done()
		return once.Response{}, sendLost
	case endpointLate:
		<-ctx.Done()
	}
	time.Sleep(5 * time.Millisecond)
	if !n.gate() {
		return once.Response{}, sendLost
	}
	if ctx.Err() != nil {
		go func() {
			time.Sleep(time.Second)
			if n.gate() {
				n.coordinator.Settle(ticket, Answered(response))
			}
		}()
		return once.Response{}, sendLost
	}
	return response, sendAnswered
}

// execute counts a run of the key and returns a response that names it.
func (w *world) execute(key string, claim once.ClaimID) once.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := fmt.Sprintf("%s ran under %s", key, claim)
	w.runs[key] = append(w.runs[key], run{at: time.Now(), claim: claim, body: body})
	return once.NewResponse(201, nil, []byte(body))
}

// check asserts the guarantees P2, P3 and P4 for everything that was told.
func (w *world) check(label string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, runs := range w.runs {
		if len(runs) > 1 {
			w.t.Errorf("%s: key %s ran %d times: %v", label, key, len(runs), runs)
		}
	}
	for _, e := range w.told {
		runs := w.runs[e.key]
		switch e.verdict.Outcome() {
		case once.OutcomeNotRun:
			for _, r := range runs {
				if !r.at.After(e.submittedAt) || r.claim == e.claim {
					w.t.Errorf("%s: key %s: told not-run (%s), but it ran", label, e.key, e.verdict.Reason())
				}
			}
		case once.OutcomeAnswered:
			if len(runs) == 0 || string(e.verdict.Response().Body) != runs[0].body {
				w.t.Errorf("%s: key %s: told %q, ran %v", label, e.key, e.verdict.Response().Body, runs)
			}
		case once.OutcomeUnknown:
		default:
			w.t.Errorf("%s: key %s: told %q", label, e.key, e.verdict.Outcome())
		}
	}
	if n := w.invariants.Violations(); n > 0 {
		w.t.Errorf("%s: %d violated invariants", label, n)
	}
}
