package ejection

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// matrixSteps are the steps of one ledger change at which a fault is injected.
var matrixSteps = []string{
	"before read", "read sent", "read completed", "write sent", "write executed", "write completed", "read back",
}

// matrixFault is a fault of the writer, the platform or another proxy. It is
// injected during a call, or between calls if the call is nil, and ended by heal
// after its duration. A fault without heal is instantaneous.
type matrixFault struct {
	name     string
	inject   func(m *matrixRun, c *call)
	duration time.Duration
	heal     func(m *matrixRun)
}

var matrixFaults = []matrixFault{
	{"kill", func(m *matrixRun, _ *call) { m.replaceWriter(); m.writer().paused = true }, time.Minute, resume},
	{"pause", func(m *matrixRun, _ *call) { m.writer().paused = true }, 45 * time.Second, resume},
	{"long pause", func(m *matrixRun, _ *call) { m.writer().paused = true }, 10 * time.Minute, resume},
	{"replace", func(m *matrixRun, _ *call) { m.replaceWriter() }, 0, nil},
	{"platform unreachable", func(m *matrixRun, _ *call) { m.dropMessages(true, true) }, time.Minute, resume},
	{"requests dropped", func(m *matrixRun, _ *call) { m.dropMessages(true, false) }, time.Minute, resume},
	{"responses dropped", func(m *matrixRun, _ *call) { m.dropMessages(false, true) }, time.Minute, resume},
	{
		"platform outage of hours",
		func(m *matrixRun, _ *call) { m.sim.platformDown = true }, 3 * time.Hour,
		func(m *matrixRun) { m.sim.platformDown = false },
	},
	{"write response lost", func(m *matrixRun, _ *call) { m.dropResponse = true }, 0, nil},
	{"concurrent ejection", func(m *matrixRun, _ *call) { m.ejectFromOtherEvaluator() }, 0, nil},
	{
		"raised floor",
		func(m *matrixRun, _ *call) { m.reconfigure(func(c *serviceConfig) { c.floor = 5 }) }, 2 * time.Minute,
		func(m *matrixRun) { m.reconfigure(func(c *serviceConfig) { c.floor = 4 }) },
	},
	{
		"endpoint draining",
		func(m *matrixRun, _ *call) { m.reconfigure(func(c *serviceConfig) { c.draining = []string{"e4"} }) }, 2 * time.Minute,
		func(m *matrixRun) { m.reconfigure(func(c *serviceConfig) { c.draining = nil }) },
	},
	{"duplicate delivery", func(m *matrixRun, c *call) { m.duplicate = true; m.replayLater(c) }, 0, nil},
}

func resume(m *matrixRun) {
	m.dropMessages(false, false)
	m.writer().paused = false
}

// matrixPhases are the ledger changes of one run: the ejection, return and
// removal of e0, then an ejection that needs the capacity freed by the removal.
var matrixPhases = []struct {
	name   string
	change func(d *Draft, v *View)
	done   func(l Ledger) bool
}{
	{"eject", propose("e0"), hasState("e0", StateEjected)},
	{"return", func(d *Draft, _ *View) { _ = d.Return("e0") }, lacksState("e0", StateEjected)},
	{"remove", func(d *Draft, v *View) { _ = d.Remove("e0", v) }, func(l Ledger) bool { return l.index("e0") < 0 }},
	{"eject another", propose("e1"), hasState("e1", StateEjected)},
}

func propose(endpoint string) func(*Draft, *View) {
	return func(d *Draft, _ *View) { _ = d.Propose(Candidate{Endpoint: endpoint, Kind: "error", Evidence: 9}) }
}

func hasState(endpoint string, s State) func(Ledger) bool {
	return func(l Ledger) bool { e, ok := l.Entry(endpoint); return ok && e.State == s }
}

func lacksState(endpoint string, s State) func(Ledger) bool {
	return func(l Ledger) bool { return !hasState(endpoint, s)(l) }
}

// TestFaultMatrix guards against a fault that violates the floor or prevents all
// later changes. Each fault is injected once or twice, at every step of every
// ledger change.
func TestFaultMatrix(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	for _, f := range matrixFaults {
		for step, stepName := range matrixSteps {
			for phase, p := range matrixPhases {
				for _, injections := range []int{1, 2} {
					name := fmt.Sprintf("%s/%s/%s/%d", f.name, p.name, stepName, injections)
					m := &matrixRun{sim: newSimulation(seed, 3, 5, 4), fault: f, phase: phase, step: step, injections: injections}
					require.NoError(t, m.run(), name)
				}
			}
		}
	}
}

type matrixRun struct {
	sim          *simulation
	fault        matrixFault
	phase        int
	step         int
	injections   int
	injectedAt   time.Duration
	healAt       time.Duration
	dropResponse bool
	duplicate    bool
	replays      []*call
}

func (m *matrixRun) writer() *simProxy { return m.sim.proxies[0] }

func (m *matrixRun) run() error {
	for phase := range matrixPhases {
		m.runScripted(phase)
		for range 3600 {
			if m.sim.failure != nil || (m.phaseDone(phase) && m.healAt == 0) {
				break
			}
			m.tick(phase)
		}
		if m.sim.failure == nil && !m.phaseDone(phase) {
			return fmt.Errorf("phase %d was not completed: %+v", phase, m.sim.stored)
		}
	}
	for range 120 {
		m.tick(len(matrixPhases) - 1)
	}
	return m.sim.failure
}

// runScripted runs the writer's first attempt at a phase and injects the fault at
// the configured step.
func (m *matrixRun) runScripted(phase int) {
	checkpoint := func(step int, c *call) {
		if phase == m.phase && step == m.step && m.injections > 0 {
			m.injectFault(c)
		}
		m.sim.checkInvariants()
	}
	checkpoint(0, nil)
	p := m.writer()
	c := m.sim.sendRead(p)
	checkpoint(1, c)
	m.complete(c)
	checkpoint(2, nil)
	if p.paused || p != m.writer() {
		return
	}
	c = m.sim.sendWrite(p, func(d *Draft) { matrixPhases[phase].change(d, p.view) })
	if c == nil {
		return
	}
	checkpoint(3, c)
	m.sim.execute(c)
	checkpoint(4, c)
	m.respond(c)
	checkpoint(5, c)
	m.complete(m.sim.sendRead(p))
	checkpoint(6, nil)
}

func (m *matrixRun) injectFault(c *call) {
	m.injections--
	m.injectedAt = m.sim.elapsed
	m.fault.inject(m, c)
	if m.fault.heal != nil {
		m.healAt = m.sim.elapsed + m.fault.duration
	}
}

// complete executes a call and delivers its response.
func (m *matrixRun) complete(c *call) {
	m.sim.execute(c)
	m.respond(c)
}

func (m *matrixRun) respond(c *call) {
	if c.write && m.dropResponse {
		m.dropResponse = false
		return
	}
	m.sim.deliver(c)
	if m.duplicate {
		m.replayLater(c)
	}
	if c.sender.paused || c.sender.dropResponses {
		m.replayLater(c)
	}
}

// replayLater stores a call to be executed and delivered again after the fault.
func (m *matrixRun) replayLater(c *call) {
	if c != nil {
		m.replays = append(m.replays, c)
	}
}

// tick simulates one second: every proxy refreshes its view every 5 s, from a
// peer if the platform does not respond, and two evaluators attempt the phase.
func (m *matrixRun) tick(phase int) {
	s := m.sim
	s.elapsed += time.Second
	if s.platformDown && m.healAt-s.elapsed > 5*time.Minute && s.elapsed-m.injectedAt > 2*time.Minute {
		s.elapsed += 30 * time.Second // all copies have expired; nothing happens until the fault ends
	}
	m.endFaults(phase)
	second := int(s.elapsed / time.Second)
	for i, p := range s.proxies {
		if p.paused {
			continue
		}
		if second%5 == i {
			m.refresh(p, s.proxies[(i+1+second/5%2)%len(s.proxies)])
			p.config = s.current
		}
		if i < 2 {
			m.attemptPhase(p, phase)
		}
		s.checkInvariants()
	}
}

func (m *matrixRun) endFaults(phase int) {
	if m.healAt > 0 && m.sim.elapsed >= m.healAt {
		m.healAt = 0
		m.fault.heal(m)
	}
	if m.healAt == 0 && phase == m.phase && m.injections > 0 && m.step > 0 {
		m.injectFault(nil)
	}
	if m.healAt == 0 && m.sim.elapsed%(7*time.Second) == 0 {
		m.duplicate = false
		for _, c := range m.replays {
			m.complete(c)
		}
		m.replays = nil
	}
}

func (m *matrixRun) refresh(p, peer *simProxy) {
	c := m.sim.sendRead(p)
	m.complete(c)
	if !c.executed || p.dropResponses {
		m.sim.sendPeerRead(p, peer)
		m.complete(m.sim.calls[len(m.sim.calls)-1])
	}
}

// attemptPhase writes the phase's change. It also removes returning entries and
// ends the ejection of e2 that ejectFromOtherEvaluator may have made.
func (m *matrixRun) attemptPhase(p *simProxy, phase int) {
	c := m.sim.sendWrite(p, func(d *Draft) {
		for _, e := range p.view.Removable(m.sim.now(p)) {
			_ = d.Remove(e, p.view)
		}
		_ = d.Return("e2")
		matrixPhases[phase].change(d, p.view)
	})
	if c != nil {
		m.complete(c)
	}
}

func (m *matrixRun) phaseDone(phase int) bool {
	return matrixPhases[phase].done(m.sim.stored) && m.sim.stored.index("e2") < 0
}

func (m *matrixRun) replaceWriter() {
	old := m.writer()
	m.sim.proxies[0] = m.sim.newProxy()
	old.paused = true
}

func (m *matrixRun) dropMessages(requests, responses bool) {
	m.writer().dropRequests = requests
	m.writer().dropResponses = responses
}

// ejectFromOtherEvaluator lets the other evaluator eject e2, which uses the
// capacity that the writer's ejection needs.
func (m *matrixRun) ejectFromOtherEvaluator() {
	p := m.sim.proxies[1]
	m.complete(m.sim.sendRead(p))
	if c := m.sim.sendWrite(p, func(d *Draft) { propose("e2")(d, p.view) }); c != nil {
		m.complete(c)
	}
}

// reconfigure changes the configuration. The other evaluator knows it at once,
// the writer after its next refresh.
func (m *matrixRun) reconfigure(change func(*serviceConfig)) {
	m.sim.reconfigure(change)
	m.sim.proxies[1].config = m.sim.current
}
