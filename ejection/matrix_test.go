package ejection

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// matrixSteps are the moments of one ledger change at which a fault strikes.
var matrixSteps = []string{
	"before read", "read sent", "read answered", "write sent", "write taken effect", "answered", "recorded",
}

// matrixFault strikes the writer, or the world around it, during the call that
// is in flight (nil between calls), and ends with heal.
type matrixFault struct {
	name   string
	strike func(m *matrixRun, c *call)
	lasts  time.Duration
	heal   func(m *matrixRun)
}

var matrixFaults = []matrixFault{
	{"kill", func(m *matrixRun, _ *call) { m.replace(); m.writer().paused = true }, time.Minute, resume},
	{"pause", func(m *matrixRun, _ *call) { m.writer().paused = true }, 45 * time.Second, resume},
	{"long pause", func(m *matrixRun, _ *call) { m.writer().paused = true }, 10 * time.Minute, resume},
	{"replace", func(m *matrixRun, _ *call) { m.replace() }, 0, nil},
	{"cut from platform", func(m *matrixRun, _ *call) { m.cut(true, true) }, time.Minute, resume},
	{"requests cut", func(m *matrixRun, _ *call) { m.cut(true, false) }, time.Minute, resume},
	{"responses cut", func(m *matrixRun, _ *call) { m.cut(false, true) }, time.Minute, resume},
	{
		"platform outage of hours",
		func(m *matrixRun, _ *call) { m.world.down = true }, 3 * time.Hour,
		func(m *matrixRun) { m.world.down = false },
	},
	{"write answer lost", func(m *matrixRun, _ *call) { m.loseAnswer = true }, 0, nil},
	{"racing proposer", func(m *matrixRun, _ *call) { m.race() }, 0, nil},
	{
		"raised floor",
		func(m *matrixRun, _ *call) { m.reconfigure(func(k *knowledge) { k.floor = 5 }) }, 2 * time.Minute,
		func(m *matrixRun) { m.reconfigure(func(k *knowledge) { k.floor = 4 }) },
	},
	{
		"endpoint leaving",
		func(m *matrixRun, _ *call) { m.reconfigure(func(k *knowledge) { k.leaving = []string{"e4"} }) }, 2 * time.Minute,
		func(m *matrixRun) { m.reconfigure(func(k *knowledge) { k.leaving = nil }) },
	},
	{"duplicate delivery", func(m *matrixRun, c *call) { m.duplicate = true; m.keep(c) }, 0, nil},
}

func resume(m *matrixRun) {
	m.cut(false, false)
	m.writer().paused = false
}

// matrixPhases are the ledger changes of one run: the whole cycle of e0, then
// another ejection, which needs the capacity that the cycle has given back.
var matrixPhases = []struct {
	name   string
	change func(d *Draft, v *View)
	done   func(l Ledger) bool
}{
	{"eject", propose("e0"), state("e0", StateEjected)},
	{"return", func(d *Draft, _ *View) { _ = d.Return("e0") }, notState("e0", StateEjected)},
	{"remove", func(d *Draft, v *View) { _ = d.Remove("e0", v) }, func(l Ledger) bool { return l.index("e0") < 0 }},
	{"eject another", propose("e1"), state("e1", StateEjected)},
}

func propose(endpoint string) func(*Draft, *View) {
	return func(d *Draft, _ *View) { _ = d.Propose(Candidate{Endpoint: endpoint, Kind: "error", Evidence: 9}) }
}

func state(endpoint string, s State) func(Ledger) bool {
	return func(l Ledger) bool { e, ok := l.Entry(endpoint); return ok && e.State == s }
}

func notState(endpoint string, s State) func(Ledger) bool {
	return func(l Ledger) bool { return !state(endpoint, s)(l) }
}

// TestFaultMatrix guards against a fault, once or twice, at any step of any
// ledger change that breaks the floor or blocks later changes for good.
func TestFaultMatrix(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	for _, f := range matrixFaults {
		for step, stepName := range matrixSteps {
			for phase, p := range matrixPhases {
				for _, times := range []int{1, 2} {
					name := fmt.Sprintf("%s/%s/%s/%d", f.name, p.name, stepName, times)
					m := &matrixRun{world: newWorld(seed, 3, 5, 4), fault: f, phase: phase, step: step, times: times}
					require.NoError(t, m.run(), name)
				}
			}
		}
	}
}

type matrixRun struct {
	world      *world
	fault      matrixFault
	phase      int
	step       int
	times      int
	struckAt   time.Duration
	healAt     time.Duration
	loseAnswer bool
	duplicate  bool
	kept       []*call
}

func (m *matrixRun) writer() *simProxy { return m.world.proxies[0] }

func (m *matrixRun) run() error {
	for phase := range matrixPhases {
		m.scripted(phase)
		for range 3600 {
			if m.world.failure != nil || (m.settled(phase) && m.healAt == 0) {
				break
			}
			m.tick(phase)
		}
		if m.world.failure == nil && !m.settled(phase) {
			return fmt.Errorf("phase %d never settled: %+v", phase, m.world.stored)
		}
	}
	for range 120 {
		m.tick(len(matrixPhases) - 1)
	}
	return m.world.failure
}

// scripted is the writer's own attempt at the phase, with the fault at its step.
func (m *matrixRun) scripted(phase int) {
	at := func(step int, c *call) {
		if phase == m.phase && step == m.step && m.times > 0 {
			m.strike(c)
		}
		m.world.check()
	}
	at(0, nil)
	p := m.writer()
	c := m.world.read(p)
	at(1, c)
	m.exchange(c)
	at(2, nil)
	if p.paused || p != m.writer() {
		return
	}
	c = m.world.write(p, func(d *Draft) { matrixPhases[phase].change(d, p.view) })
	if c == nil {
		return
	}
	at(3, c)
	m.world.effect(c)
	at(4, c)
	m.answer(c)
	at(5, c)
	m.exchange(m.world.read(p))
	at(6, nil)
}

func (m *matrixRun) strike(c *call) {
	m.times--
	m.struckAt = m.world.elapsed
	m.fault.strike(m, c)
	if m.fault.heal != nil {
		m.healAt = m.world.elapsed + m.fault.lasts
	}
}

// exchange lets a call take effect and be answered.
func (m *matrixRun) exchange(c *call) {
	m.world.effect(c)
	m.answer(c)
}

func (m *matrixRun) answer(c *call) {
	if c.write && m.loseAnswer {
		m.loseAnswer = false
		return
	}
	m.world.deliver(c)
	if m.duplicate {
		m.keep(c)
	}
	if c.from.paused || c.from.cutFrom {
		m.keep(c)
	}
}

// keep holds a call for a second effect and delivery when the fault has ended.
func (m *matrixRun) keep(c *call) {
	if c != nil {
		m.kept = append(m.kept, c)
	}
}

// tick is one second of all proxies: a refresh every 5 s, from a peer if the
// platform gives none, and the phase pursued by the two evaluators.
func (m *matrixRun) tick(phase int) {
	w := m.world
	w.elapsed += time.Second
	if w.down && m.healAt-w.elapsed > 5*time.Minute && w.elapsed-m.struckAt > 2*time.Minute {
		w.elapsed += 30 * time.Second // all copies have expired, nothing happens until the end
	}
	m.end(phase)
	second := int(w.elapsed / time.Second)
	for i, p := range w.proxies {
		if p.paused {
			continue
		}
		if second%5 == i {
			m.refresh(p, w.proxies[(i+1+second/5%2)%len(w.proxies)])
			p.known = w.truth
		}
		if i < 2 {
			m.pursue(p, phase)
		}
		w.check()
	}
}

func (m *matrixRun) end(phase int) {
	if m.healAt > 0 && m.world.elapsed >= m.healAt {
		m.healAt = 0
		m.fault.heal(m)
	}
	if m.healAt == 0 && phase == m.phase && m.times > 0 && m.step > 0 {
		m.strike(nil)
	}
	if m.healAt == 0 && m.world.elapsed%(7*time.Second) == 0 {
		m.duplicate = false
		for _, c := range m.kept {
			m.exchange(c)
		}
		m.kept = nil
	}
}

func (m *matrixRun) refresh(p, peer *simProxy) {
	c := m.world.read(p)
	m.exchange(c)
	if !c.effected || p.cutFrom {
		m.world.askPeer(p, peer)
		m.exchange(m.world.calls[len(m.world.calls)-1])
	}
}

// pursue writes the phase's change, and takes back what a race or an old floor
// left behind.
func (m *matrixRun) pursue(p *simProxy, phase int) {
	c := m.world.write(p, func(d *Draft) {
		for _, e := range p.view.Removable(m.world.now(p)) {
			_ = d.Remove(e, p.view)
		}
		_ = d.Return("e2")
		matrixPhases[phase].change(d, p.view)
	})
	if c != nil {
		m.exchange(c)
	}
}

func (m *matrixRun) settled(phase int) bool {
	return matrixPhases[phase].done(m.world.stored) && m.world.stored.index("e2") < 0
}

func (m *matrixRun) replace() {
	old := m.writer()
	m.world.proxies[0] = m.world.newProxy()
	old.paused = true
}

func (m *matrixRun) cut(to, from bool) {
	m.writer().cutTo = to
	m.writer().cutFrom = from
}

// race lets the other evaluator take the capacity for another endpoint.
func (m *matrixRun) race() {
	p := m.world.proxies[1]
	m.exchange(m.world.read(p))
	if c := m.world.write(p, func(d *Draft) { propose("e2")(d, p.view) }); c != nil {
		m.exchange(c)
	}
}

// reconfigure tells the other evaluator at once and the writer with its refresh.
func (m *matrixRun) reconfigure(change func(*knowledge)) {
	m.world.reconfigure(change)
	m.world.proxies[1].known = m.world.truth
}
