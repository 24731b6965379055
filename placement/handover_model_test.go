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

// The model of a service that two machines may place and one proxy that sends its
// requests. The machines decide by the real Scheduler. What the proxy does follows the
// gateway: it asks the machine that it takes for the owner, gives an ask up that is not
// answered, decides by its own view then, tells whoever may count an attempt of its end,
// and tells a new owner of the attempts that it has in flight.
const (
	modelHubs     = 2
	modelRequests = 2
	proxyView     = modelHubs // index of the proxy's own view
)

// modelBounds are what may happen in the runs of a model.
type modelBounds struct {
	requests int
	faults   int  // messages that are lost or copied
	takeover bool // the owner is lost and may return
	cut      bool // it is not lost, only out of reach for the proxy's view of the fleet
}

type messageKind string

const (
	messageAsk      messageKind = "ask"
	messageDecision messageKind = "decision"
	messageEnd      messageKind = "end"
	messageHeld     messageKind = "held"
)

// modelMessage is on its way. Messages of any two kinds may overtake each other, because
// each is handled by a goroutine of its own.
type modelMessage struct {
	kind     messageKind
	hub      int // receiver, or sender of a decision
	token    uint64
	decision Decision
	reply    bool // to the ask itself, which nobody reads once the ask was given up
	attempts []Attempt
	copied   bool
}

type requestPhase string

const (
	phaseNew     requestPhase = "new"
	phaseAsked   requestPhase = "asked"
	phaseQueued  requestPhase = "queued"
	phaseRunning requestPhase = "running"
	phaseWaiting requestPhase = "waiting" // in the proxy's own view
	phaseDone    requestPhase = "done"
)

type modelRequest struct {
	phase    requestPhase
	hub      int
	sent     int
	alone    bool
	informed []int // hubs that are told of the end
}

// model is one state, reached by its steps.
type model struct {
	views    [modelHubs + 1]*Scheduler
	alive    [modelHubs]bool
	owner    int
	now      time.Time
	flying   []modelMessage
	requests [modelRequests]modelRequest
	faults   int // that may still happen
	killed   bool
	cut      bool
	returns  int // of the owner that may still happen
	lost     bool
}

func modelView(id int) *Scheduler {
	s := New(rand.New(rand.NewPCG(uint64(id), 1)), NewBudget(0.2, 10, 10*time.Second, epoch), nil)
	s.SetEndpoints(epoch, []Endpoint{NewEndpoint("e", "", "z", 1, time.Time{})})
	return s
}

func newModel(b modelBounds) *model {
	m := &model{now: epoch, faults: b.faults, killed: !b.takeover && !b.cut, cut: b.cut, returns: 1}
	for i := range m.views {
		m.views[i] = modelView(i)
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

func (m *model) ask(token uint64) Request {
	return Request{Token: token, Proxy: "p", Zone: "z", SoftDeadline: epoch.Add(modelDeadline / 2), Deadline: epoch.Add(modelDeadline)}
}

// modelStep is one step that a state allows.
type modelStep struct {
	what  string
	token uint64
	hub   int
	do    func(*model)
}

func (s modelStep) String() string { return fmt.Sprintf("%s %d at %d", s.what, s.token, s.hub) }

// steps returns the steps that are possible in a state. They depend on the state alone.
func (m *model) steps() []modelStep {
	var steps []modelStep
	add := func(what string, token uint64, hub int, do func(*model)) {
		steps = append(steps, modelStep{what: what, token: token, hub: hub, do: do})
	}
	for i, r := range m.requests {
		token := uint64(i + 1)
		switch r.phase {
		case phaseNew:
			add("ask", token, m.owner, func(m *model) { m.start(i) })
		case phaseAsked:
			add("give up the ask", token, r.hub, func(m *model) { m.giveUp(i) })
		case phaseQueued:
			if m.owner != r.hub {
				add("leave the queue", token, r.hub, func(m *model) { m.giveUp(i) })
			}
		case phaseRunning:
			add("end", token, r.hub, func(m *model) { m.end(i) })
		}
	}
	for k, message := range m.flying {
		add("deliver "+string(message.kind), message.token, message.hub, func(m *model) { m.deliver(k) })
		if m.faults > 0 && !message.copied {
			add("lose "+string(message.kind), message.token, message.hub, func(m *model) { m.lose(k) })
			add("copy "+string(message.kind), message.token, message.hub, func(m *model) { m.duplicate(k) })
		}
	}
	if !m.killed {
		add("lose the owner", 0, 0, func(m *model) { m.kill() })
	} else if m.owner == 1 && m.returns > 0 {
		add("the owner returns", 0, 0, func(m *model) { m.comeBack() })
	}
	return steps
}

func (m *model) send(message modelMessage) { m.flying = append(m.flying, message) }

func (m *model) start(i int) {
	m.requests[i].phase, m.requests[i].hub = phaseAsked, m.owner
	m.send(modelMessage{kind: messageAsk, hub: m.owner, token: uint64(i + 1)})
}

// giveUp ends the wait for a hub. The hub may have granted the attempt all the same.
func (m *model) giveUp(i int) {
	r, token := &m.requests[i], uint64(i+1)
	m.send(modelMessage{kind: messageEnd, hub: r.hub, token: token})
	r.alone = true
	switch d := m.views[proxyView].Place(m.now, m.ask(token)); d.Verdict {
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
	if !r.alone {
		r.informed = append(r.informed, r.hub)
	}
}

func (m *model) end(i int) {
	r, token := &m.requests[i], uint64(i+1)
	r.phase = phaseDone
	m.take(m.views[proxyView].End(m.now, token, OutcomeServed, 0))
	told := append(slices.Clone(r.informed), m.owner)
	slices.Sort(told)
	for _, hub := range slices.Compact(told) {
		m.send(modelMessage{kind: messageEnd, hub: hub, token: token})
	}
}

// take passes on the decisions of the proxy's own view.
func (m *model) take(decisions []Decision) {
	for _, d := range decisions {
		if i := int(d.Token) - 1; d.Verdict == Granted {
			m.run(i)
		} else {
			m.requests[i].phase = phaseDone
		}
	}
}

func (m *model) remove(k int) modelMessage {
	message := m.flying[k]
	m.flying = slices.Delete(m.flying, k, k+1)
	return message
}

func (m *model) lose(k int) {
	m.faults--
	m.lost = true
	m.remove(k)
}

func (m *model) duplicate(k int) {
	m.faults--
	m.flying[k].copied = true
	m.send(m.flying[k])
}

func (m *model) deliver(k int) {
	message := m.remove(k)
	if message.kind == messageDecision {
		m.decided(message)
		return
	}
	if !m.alive[message.hub] {
		return
	}
	view := m.views[message.hub]
	switch message.kind {
	case messageAsk:
		d := view.Place(m.now, m.ask(message.token))
		m.send(modelMessage{kind: messageDecision, hub: message.hub, token: message.token, decision: d, reply: true})
	case messageEnd:
		for _, d := range view.End(m.now, message.token, OutcomeServed, 0) {
			m.send(modelMessage{kind: messageDecision, hub: message.hub, token: d.Token, decision: d})
		}
	case messageHeld:
		for _, a := range message.attempts {
			view.Begin(m.now, m.ask(a.Token), a.Endpoint)
		}
	case messageDecision:
	}
}

// decided takes a hub's decision. A grant that nobody waits for is given back.
func (m *model) decided(message modelMessage) {
	i := int(message.token) - 1
	r := &m.requests[i]
	if message.reply && r.phase != phaseAsked {
		return
	}
	waits := (r.phase == phaseAsked || r.phase == phaseQueued) && r.hub == message.hub
	switch message.decision.Verdict {
	case Granted:
		if waits {
			m.views[proxyView].Begin(m.now, m.ask(message.token), "e")
			m.run(i)
		} else if r.phase != phaseRunning || r.alone {
			m.send(modelMessage{kind: messageEnd, hub: message.hub, token: message.token})
		}
	case Queued:
		if r.phase == phaseAsked && waits {
			r.phase = phaseQueued
		}
	default:
		if waits {
			r.phase = phaseDone
		}
	}
}

// kill ends the process that owns the service. What was written to its connections is
// lost with it and does not reach the next process at the address.
func (m *model) kill() {
	m.killed, m.owner = true, 1
	if !m.cut {
		m.alive[0] = false
		m.flying = slices.DeleteFunc(m.flying, func(f modelMessage) bool { return f.hub == 0 && f.kind != messageDecision })
	}
	m.handOver()
}

func (m *model) comeBack() {
	if !m.cut {
		m.alive[0], m.views[0] = true, modelView(0)
	}
	m.owner = 0
	m.returns--
	m.handOver()
}

func (m *model) handOver() {
	held := m.views[proxyView].InFlight("p")
	if len(held) == 0 {
		return
	}
	slices.SortFunc(held, func(a, b Attempt) int { return int(a.Token) - int(b.Token) })
	for _, a := range held {
		r := &m.requests[a.Token-1]
		r.informed = append(r.informed, m.owner)
	}
	m.send(modelMessage{kind: messageHeld, hub: m.owner, attempts: held})
}

// key tells apart states that allow different runs.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.alive, m.owner, m.faults, m.killed, m.returns, m.lost, m.requests)
	for _, v := range m.views {
		fmt.Fprint(&b, "|", v.seats["e"].inFlight, len(v.ready.list), len(v.suspects.list), len(v.tests))
		for token := uint64(1); token <= modelRequests; token++ {
			_, waits := v.waiting[token]
			fmt.Fprint(&b, v.HasAttempt(token), waits, v.ended.has(token))
		}
	}
	var flying []string
	for _, f := range m.flying {
		flying = append(flying, fmt.Sprint(f.kind, f.hub, f.token, f.decision.Verdict, f.reply, len(f.attempts), f.copied))
	}
	slices.Sort(flying)
	fmt.Fprint(&b, flying)
	return b.String()
}

// broken returns what a state must not be, or "".
func (m *model) broken() string {
	for i, r := range m.requests {
		if r.sent > 1 {
			return fmt.Sprintf("request %d was sent %d times", i+1, r.sent)
		}
	}
	for i, v := range m.views {
		if held := len(v.grants); v.seats["e"].inFlight != held {
			return fmt.Sprintf("view %d counts %d attempts in flight and holds %d", i, v.seats["e"].inFlight, held)
		}
		for token := range v.waiting {
			if v.HasAttempt(token) {
				return fmt.Sprintf("view %d holds %d, which waits", i, token)
			}
		}
	}
	if m.lost || len(m.flying) > 0 || slices.ContainsFunc(m.requests[:], func(r modelRequest) bool { return r.phase != phaseDone }) {
		return ""
	}
	for i, v := range m.views {
		if i < modelHubs && !m.alive[i] {
			continue
		}
		if len(v.grants)+len(v.waiting) > 0 {
			return fmt.Sprintf("view %d holds %d and keeps %d waiting after all has ended", i, len(v.grants), len(v.waiting))
		}
	}
	return ""
}

var longModel = flag.Bool("placement.long", false, "explore the large models as well, about 300,000 states")

// All interleavings of ask, grant, end, loss and copy of messages, loss and return of the
// machine that places a service: no request is sent twice, no view counts an attempt
// twice, and once all has ended and no message was lost, no attempt is left over. What a
// lost message leaves over ends with the deadline of its request.
func TestHandOverOfAService(t *testing.T) {
	cases := map[string]struct {
		bounds modelBounds
		long   bool
	}{
		"one request, a fault, takeover":    {bounds: modelBounds{requests: 1, faults: 1, takeover: true}},
		"one request, a fault, a cut":       {bounds: modelBounds{requests: 1, faults: 1, cut: true}},
		"two requests":                      {bounds: modelBounds{requests: 2}},
		"two requests, a fault":             {bounds: modelBounds{requests: 2, faults: 1}, long: true},
		"one request, two faults, takeover": {bounds: modelBounds{requests: 1, faults: 2, takeover: true}, long: true},
		"two requests, takeover":            {bounds: modelBounds{requests: 2, takeover: true}, long: true},
		"two requests, a cut":               {bounds: modelBounds{requests: 2, cut: true}, long: true},
	}
	for name, c := range cases {
		if c.long && !*longModel {
			continue
		}
		t.Run(name, func(t *testing.T) { t.Logf("%d states", explore(t, c.bounds)) })
	}
}

// modelWay is how a state was reached.
type modelWay []modelStep

func (w modelWay) String() string {
	var steps []string
	for _, s := range w {
		steps = append(steps, s.String())
	}
	return strings.Join(steps, "; ")
}

// explore visits every state once, the nearest first, and returns their number. A state is
// reached by its steps from the start, because a Scheduler cannot be copied.
func explore(t *testing.T, b modelBounds) int {
	t.Helper()
	later := epoch.Add(modelDeadline + grantSlack + time.Millisecond)
	seen := map[string]bool{}
	paths := [][]int{nil}
	for len(paths) > 0 {
		path := paths[0]
		paths = paths[1:]
		m := newModel(b)
		way := make(modelWay, len(path))
		for i, k := range path {
			way[i] = m.steps()[k]
			way[i].do(m)
		}
		key := m.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		require.Empty(t, m.broken(), "%s", way)
		for k := range m.steps() {
			paths = append(paths, append(slices.Clone(path), k))
		}
		for i, v := range m.views {
			v.Advance(later)
			require.Empty(t, v.grants, "view %d after the deadline: %s", i, way)
			require.Empty(t, v.waiting, "view %d after the deadline: %s", i, way)
		}
	}
	return len(seen)
}
