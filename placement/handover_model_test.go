package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model consists of two hubs that may place the requests of a service and one proxy
// that sends them. All of them decide with the real Scheduler. The proxy behaves like
// the gateway: it sends a request message to the hub that it takes for the owner and
// decides by its own view if no decision comes. It reports the end of an attempt to all
// hubs that may count it, and hands its attempts in flight over to a new owner.
const (
	modelHubs     = 2
	modelRequests = 2
	proxyView     = modelHubs // index of the proxy's own view
)

// modelBounds limit the events in the runs of a model.
type modelBounds struct {
	requests      int
	messageFaults int  // messages that may be lost or duplicated
	takeover      bool // the owner may crash and return
	partition     bool // the owner keeps running but is unreachable in the proxy's view of the fleet
}

type messageKind string

const (
	messageRequest  messageKind = "request"
	messageDecision messageKind = "decision"
	messageEnd      messageKind = "end"
	messageHandover messageKind = "handover"
)

// modelMessage is a message in transit. Any two messages may be reordered, because each
// one is handled by its own goroutine.
type modelMessage struct {
	kind     messageKind
	hub      int // receiver, or sender of a decision
	token    uint64
	decision Decision
	reply    bool // direct reply to the request message, ignored once the proxy has given up
	attempts []Attempt
	copied   bool
}

type requestPhase string

const (
	phaseNew       requestPhase = "new"
	phaseRequested requestPhase = "requested"
	phaseQueued    requestPhase = "queued"
	phaseRunning   requestPhase = "running"
	phaseWaiting   requestPhase = "waiting" // in the queue of the proxy's own view
	phaseDone      requestPhase = "done"
)

type modelRequest struct {
	phase         requestPhase
	hub           int
	sent          int
	placedLocally bool  // by the proxy\'s own view
	notified      []int // hubs to which the end is reported
}

// model is one state, reached by a sequence of steps.
type model struct {
	views         [modelHubs + 1]*Scheduler
	alive         [modelHubs]bool
	owner         int
	now           time.Time
	inTransit     []modelMessage
	requests      [modelRequests]modelRequest
	messageFaults int // that may still happen
	ownerLost     bool
	partition     bool
	returnsLeft   int // of the owner that may still happen
	messageLost   bool
}

func newModelScheduler(id int) *Scheduler {
	s := New(rand.New(rand.NewPCG(uint64(id), 1)), NewBudget(0.2, 10, 10*time.Second, epoch), nil)
	s.SetEndpoints(epoch, []Endpoint{NewEndpoint("e", "", "z", 1, time.Time{})})
	return s
}

func newModel(b modelBounds) *model {
	m := &model{now: epoch, messageFaults: b.messageFaults, ownerLost: !b.takeover && !b.partition, partition: b.partition, returnsLeft: 1}
	for i := range m.views {
		m.views[i] = newModelScheduler(i)
	}
	for i := range m.alive {
		m.alive[i] = true
	}
	for i := range m.requests {
		m.requests[i].phase = phaseDone
		if i < b.requests {
			m.requests[i].phase = phaseNew
		}
	}
	return m
}

const modelDeadline = 3 * time.Second

func (m *model) request(token uint64) Request {
	return Request{Token: token, Proxy: "p", Zone: "z", SoftDeadline: epoch.Add(modelDeadline / 2), Deadline: epoch.Add(modelDeadline)}
}

// modelStep is one step that is possible in a state.
type modelStep struct {
	name  string
	token uint64
	hub   int
	do    func(*model)
}

func (s modelStep) String() string { return fmt.Sprintf("%s %d at %d", s.name, s.token, s.hub) }

// steps returns the steps that are possible in a state. They depend on the state alone.
func (m *model) steps() []modelStep {
	var steps []modelStep
	add := func(name string, token uint64, hub int, do func(*model)) {
		steps = append(steps, modelStep{name: name, token: token, hub: hub, do: do})
	}
	for i, r := range m.requests {
		token := uint64(i + 1)
		switch r.phase {
		case phaseNew:
			add("send request", token, m.owner, func(m *model) { m.start(i) })
		case phaseRequested:
			add("give up request", token, r.hub, func(m *model) { m.giveUp(i) })
		case phaseQueued:
			if m.owner != r.hub {
				add("leave queue", token, r.hub, func(m *model) { m.giveUp(i) })
			}
		case phaseRunning:
			add("end", token, r.hub, func(m *model) { m.end(i) })
		}
	}
	for k, message := range m.inTransit {
		add("deliver "+string(message.kind), message.token, message.hub, func(m *model) { m.deliver(k) })
		if m.messageFaults > 0 && !message.copied {
			add("lose "+string(message.kind), message.token, message.hub, func(m *model) { m.lose(k) })
			add("duplicate "+string(message.kind), message.token, message.hub, func(m *model) { m.duplicate(k) })
		}
	}
	if !m.ownerLost {
		add("lose owner", 0, 0, func(m *model) { m.loseOwner() })
	} else if m.owner == 1 && m.returnsLeft > 0 {
		add("return owner", 0, 0, func(m *model) { m.returnOwner() })
	}
	return steps
}

func (m *model) send(message modelMessage) { m.inTransit = append(m.inTransit, message) }

func (m *model) start(i int) {
	m.requests[i].phase, m.requests[i].hub = phaseRequested, m.owner
	m.send(modelMessage{kind: messageRequest, hub: m.owner, token: uint64(i + 1)})
}

// giveUp stops waiting for a hub, which may have granted the attempt nevertheless.
func (m *model) giveUp(i int) {
	r, token := &m.requests[i], uint64(i+1)
	m.send(modelMessage{kind: messageEnd, hub: r.hub, token: token})
	r.placedLocally = true
	switch d := m.views[proxyView].Place(m.now, m.request(token)); d.Verdict {
	case Granted:
		m.run(i)
	case Queued:
		r.phase = phaseWaiting
	default:
		r.phase = phaseDone
	}
}

func (m *model) run(i int) {
	r := &m.requests[i]
	r.phase = phaseRunning
	r.sent++
	if !r.placedLocally {
		r.notified = append(r.notified, r.hub)
	}
}

func (m *model) end(i int) {
	r, token := &m.requests[i], uint64(i+1)
	r.phase = phaseDone
	m.applyDecisions(m.views[proxyView].End(m.now, token, OutcomeServed, 0))
	receivers := append(slices.Clone(r.notified), m.owner)
	slices.Sort(receivers)
	for _, hub := range slices.Compact(receivers) {
		m.send(modelMessage{kind: messageEnd, hub: hub, token: token})
	}
}

// applyDecisions applies the decisions of the proxy's own view.
func (m *model) applyDecisions(decisions []Decision) {
	for _, d := range decisions {
		if i := int(d.Token) - 1; d.Verdict == Granted {
			m.run(i)
		} else {
			m.requests[i].phase = phaseDone
		}
	}
}

func (m *model) remove(k int) modelMessage {
	message := m.inTransit[k]
	m.inTransit = slices.Delete(m.inTransit, k, k+1)
	return message
}

func (m *model) lose(k int) {
	m.messageFaults--
	m.messageLost = true
	m.remove(k)
}

func (m *model) duplicate(k int) {
	m.messageFaults--
	m.inTransit[k].copied = true
	m.send(m.inTransit[k])
}

func (m *model) deliver(k int) {
	message := m.remove(k)
	if message.kind == messageDecision {
		m.applyHubDecision(message)
		return
	}
	if !m.alive[message.hub] {
		return
	}
	view := m.views[message.hub]
	switch message.kind {
	case messageRequest:
		d := view.Place(m.now, m.request(message.token))
		m.send(modelMessage{kind: messageDecision, hub: message.hub, token: message.token, decision: d, reply: true})
	case messageEnd:
		for _, d := range view.End(m.now, message.token, OutcomeServed, 0) {
			m.send(modelMessage{kind: messageDecision, hub: message.hub, token: d.Token, decision: d})
		}
	case messageHandover:
		for _, a := range message.attempts {
			view.Begin(m.now, m.request(a.Token), a.Endpoint)
		}
	case messageDecision:
	}
}

// applyHubDecision applies a decision of a hub. The proxy ends a granted attempt that
// no request waits for.
func (m *model) applyHubDecision(message modelMessage) {
	i := int(message.token) - 1
	r := &m.requests[i]
	if message.reply && r.phase != phaseRequested {
		return
	}
	waiting := (r.phase == phaseRequested || r.phase == phaseQueued) && r.hub == message.hub
	switch message.decision.Verdict {
	case Granted:
		if waiting {
			m.views[proxyView].Begin(m.now, m.request(message.token), "e")
			m.run(i)
		} else if r.phase != phaseRunning || r.placedLocally {
			m.send(modelMessage{kind: messageEnd, hub: message.hub, token: message.token})
		}
	case Queued:
		if r.phase == phaseRequested && waiting {
			r.phase = phaseQueued
		}
	default:
		if waiting {
			r.phase = phaseDone
		}
	}
}

// loseOwner stops the owner of the service. Data in its connections is lost and does
// not reach the next process at the same address. With a partition, the owner keeps
// running.
func (m *model) loseOwner() {
	m.ownerLost, m.owner = true, 1
	if !m.partition {
		m.alive[0] = false
		m.inTransit = slices.DeleteFunc(m.inTransit, func(f modelMessage) bool { return f.hub == 0 && f.kind != messageDecision })
	}
	m.handOver()
}

func (m *model) returnOwner() {
	if !m.partition {
		m.alive[0], m.views[0] = true, newModelScheduler(0)
	}
	m.owner = 0
	m.returnsLeft--
	m.handOver()
}

func (m *model) handOver() {
	attempts := m.views[proxyView].InFlight("p")
	if len(attempts) == 0 {
		return
	}
	slices.SortFunc(attempts, func(a, b Attempt) int { return int(a.Token) - int(b.Token) })
	for _, a := range attempts {
		r := &m.requests[a.Token-1]
		r.notified = append(r.notified, m.owner)
	}
	m.send(modelMessage{kind: messageHandover, hub: m.owner, attempts: attempts})
}

// key distinguishes states that allow different runs.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.alive, m.owner, m.messageFaults, m.ownerLost, m.returnsLeft, m.messageLost, m.requests)
	for _, v := range m.views {
		fmt.Fprint(&b, "|", v.targets["e"].inFlight, len(v.available.list), len(v.suspects.list), len(v.probeCandidates))
		for token := uint64(1); token <= modelRequests; token++ {
			_, waiting := v.waiting[token]
			fmt.Fprint(&b, v.HasAttempt(token), waiting, v.ended.has(token))
		}
	}
	var inTransit []string
	for _, f := range m.inTransit {
		inTransit = append(inTransit, fmt.Sprint(f.kind, f.hub, f.token, f.decision.Verdict, f.reply, len(f.attempts), f.copied))
	}
	slices.Sort(inTransit)
	fmt.Fprint(&b, inTransit)
	return b.String()
}

// violation returns the invariant that a state violates, or "".
func (m *model) violation() string {
	for i, r := range m.requests {
		if r.sent > 1 {
			return fmt.Sprintf("request %d was sent %d times", i+1, r.sent)
		}
	}
	for i, v := range m.views {
		if held := len(v.grants); v.targets["e"].inFlight != held {
			return fmt.Sprintf("view %d counts %d attempts in flight at the endpoint, but has %d grants", i, v.targets["e"].inFlight, held)
		}
		for token := range v.waiting {
			if v.HasAttempt(token) {
				return fmt.Sprintf("view %d has request %d both granted and waiting", i, token)
			}
		}
	}
	if m.messageLost || len(m.inTransit) > 0 || slices.ContainsFunc(m.requests[:], func(r modelRequest) bool { return r.phase != phaseDone }) {
		return ""
	}
	for i, v := range m.views {
		if i < modelHubs && !m.alive[i] {
			continue
		}
		if len(v.grants)+len(v.waiting) > 0 {
			return fmt.Sprintf("view %d has %d grants and %d waiting requests after all requests have ended", i, len(v.grants), len(v.waiting))
		}
	}
	return ""
}

var longModel = flag.Bool("placement.long", false, "also explore the large models, about 300,000 states")

// TestServiceHandover explores all interleavings of requests, grants, ends, lost and
// duplicated messages, and loss and return of the hub. No request may be sent twice,
// and no view may count an attempt twice. Once all requests have ended, no attempt may
// be left if no message was lost. Attempts that a lost message leaves end with the
// deadline of their request.
func TestServiceHandover(t *testing.T) {
	cases := map[string]struct {
		bounds modelBounds
		long   bool
	}{
		"one request, one fault, takeover":  {bounds: modelBounds{requests: 1, messageFaults: 1, takeover: true}},
		"one request, one fault, partition": {bounds: modelBounds{requests: 1, messageFaults: 1, partition: true}},
		"two requests":                      {bounds: modelBounds{requests: 2}},
		"two requests, one fault":           {bounds: modelBounds{requests: 2, messageFaults: 1}, long: true},
		"one request, two faults, takeover": {bounds: modelBounds{requests: 1, messageFaults: 2, takeover: true}, long: true},
		"two requests, takeover":            {bounds: modelBounds{requests: 2, takeover: true}, long: true},
		"two requests, partition":           {bounds: modelBounds{requests: 2, partition: true}, long: true},
	}
	for name, c := range cases {
		if c.long && !*longModel {
			continue
		}
		t.Run(name, func(t *testing.T) { t.Logf("%d states", explore(t, c.bounds)) })
	}
}

// modelTrace is the sequence of steps that led to a state.
type modelTrace []modelStep

func (t modelTrace) String() string {
	var steps []string
	for _, step := range t {
		steps = append(steps, step.String())
	}
	return strings.Join(steps, "; ")
}

// explore visits every state once, breadth first, and returns their number. It replays
// the steps from the start for every state, because a Scheduler cannot be copied.
func explore(t *testing.T, b modelBounds) int {
	t.Helper()
	later := epoch.Add(modelDeadline + grantGracePeriod + time.Millisecond)
	seen := map[string]bool{}
	paths := [][]int{nil}
	for len(paths) > 0 {
		path := paths[0]
		paths = paths[1:]
		m := newModel(b)
		trace := make(modelTrace, len(path))
		for i, k := range path {
			trace[i] = m.steps()[k]
			trace[i].do(m)
		}
		key := m.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		require.Empty(t, m.violation(), "%s", trace)
		for k := range m.steps() {
			paths = append(paths, append(slices.Clone(path), k))
		}
		for i, v := range m.views {
			v.Advance(later)
			require.Empty(t, v.grants, "view %d after the deadline: %s", i, trace)
			require.Empty(t, v.waiting, "view %d after the deadline: %s", i, trace)
		}
	}
	return len(seen)
}
