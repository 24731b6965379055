package membership

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	longRuns = flag.Bool("membership.long", false, "run the fault simulations longer and with more seeds")
	seedFlag = flag.Uint64("membership.seed", 1, "seed of the fault simulations")
)

// Sizes in bytes of the msgpack encodings; tests of protocol/peer compare them with
// real envelopes.
const (
	messageBytes = 300
	updateBytes  = 80
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// process is one simulated proxy process.
type process struct {
	node        *Node
	incarnation Incarnation
	address     string
	dead        bool
	paused      bool
	inbox       []Message // received while paused
	sent, bytes int
}

// fleet is a simulated message network with virtual time.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	order     uint64
	processes []*process
	byAddress map[string]*process
	loss      float64
	blocked   func(from, to string) bool
	// onChange receives every status change of every node.
	onChange func(observer *process, c Change)
}

func newFleet(t *testing.T, size int, seed uint64) *fleet {
	t.Helper()
	t.Logf("seed %d, %d members", seed, size)
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, uint64(size))), now: epoch,
		byAddress: map[string]*process{},
		blocked:   func(string, string) bool { return false },
		onChange:  func(*process, Change) {},
	}
	for i := range size {
		f.start(address(i))
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250) }

// newJoinedFleet returns a fleet in which every node knows all members.
func newJoinedFleet(t *testing.T, size int, seed uint64) *fleet {
	t.Helper()
	f := newFleet(t, size, seed)
	for _, p := range f.processes {
		for _, other := range f.processes {
			p.node.merge(f.now, other.node.self, false)
		}
		p.node.joined, p.node.settled = true, true
		p.node.Changes()
	}
	return f
}

// start starts a new process at an address; an earlier one there must be dead.
func (f *fleet) start(addr string) *process {
	incarnation := NewIncarnation(f.now, f.random.Uint64())
	p := &process{incarnation: incarnation, address: addr}
	random := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
	p.node = NewNode(NewMember("entry-"+addr, addr, "finistere", incarnation), f.now, random)
	p.node.SetSeeds([]string{address(0), address(1), address(2)})
	f.processes = append(f.processes, p)
	f.byAddress[addr] = p
	f.after(time.Duration(f.random.IntN(100))*time.Millisecond, func() { f.tick(p) })
	return p
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, run: run})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) tick(p *process) {
	if p.dead {
		return
	}
	f.after(100*time.Millisecond, func() { f.tick(p) })
	if p.paused {
		return
	}
	f.send(p, p.node.Tick(f.now))
	f.collect(p)
}

func (f *fleet) send(p *process, out []Outgoing) {
	for _, o := range out {
		m := o.Message()
		p.sent++
		p.bytes += messageBytes + updateBytes*(len(m.Updates)+len(m.Page))
		if f.random.Float64() < f.loss || f.blocked(p.address, o.Address()) {
			continue
		}
		latency := time.Millisecond + time.Duration(f.random.IntN(2000))*time.Microsecond
		f.after(latency, func() { f.deliver(o.Address(), m) })
	}
}

func (f *fleet) deliver(to string, m Message) {
	p := f.byAddress[to]
	if p == nil || p.dead {
		return
	}
	if p.paused {
		p.inbox = append(p.inbox, m)
		return
	}
	f.send(p, p.node.Handle(f.now, m))
	f.collect(p)
}

func (f *fleet) resume(p *process) {
	p.paused = false
	for _, m := range p.inbox {
		f.send(p, p.node.Handle(f.now, m))
	}
	p.inbox = nil
	f.collect(p)
}

func (f *fleet) collect(p *process) {
	for _, c := range p.node.Changes() {
		f.onChange(p, c)
	}
}

// converged reports whether every running node has joined and holds exactly the
// running processes for alive.
func (f *fleet) converged() bool {
	for _, p := range f.processes {
		if !p.dead && !p.node.Joined() {
			return false
		}
	}
	running, stopped := f.wrongViews()
	return running == 0 && stopped == 0
}

// wrongViews returns the share of views of running members that are not alive, and
// of stopped members that still count as live.
func (f *fleet) wrongViews() (running, stopped float64) {
	var views, wrong [2]int
	for _, p := range f.processes {
		for _, other := range f.processes {
			if p.dead || p == other {
				continue
			}
			m, ok := p.node.Lookup(other.incarnation)
			if other.dead {
				views[1]++
				if ok && (m.Status() == StatusAlive || m.Status() == StatusSuspect) {
					wrong[1]++
				}
				continue
			}
			views[0]++
			if !ok || m.Status() != StatusAlive {
				wrong[0]++
			}
		}
	}
	return float64(wrong[0]) / float64(max(1, views[0])), float64(wrong[1]) / float64(max(1, views[1]))
}

// runUntilConverged runs until the fleet has converged and returns the time that took.
func (f *fleet) runUntilConverged(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	begin := f.now
	for !f.converged() {
		if f.now.Sub(begin) > limit {
			t.Fatalf("not converged after %v", limit)
		}
		f.run(time.Second)
	}
	return f.now.Sub(begin)
}

// replace kills the process at address i and starts another one, whose clock
// differs by skew.
func (f *fleet) replace(i int, skew time.Duration) {
	f.byAddress[address(i)].dead = true
	p := f.start(address(i))
	p.incarnation = NewIncarnation(f.now.Add(skew), f.random.Uint64())
	p.node.self.Incarnation = p.incarnation
}
