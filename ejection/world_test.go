package ejection

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// longestValidity is Validity on the slowest clock, in true time.
const longestValidity = Validity * 100 / 98

// knowledge is the configuration and the leaving endpoints as one proxy knows
// them.
type knowledge struct {
	revision  int64
	floor     int
	endpoints []string
	leaving   []string
}

func (k knowledge) pool() Pool {
	return NewPool(k.revision, k.floor, k.endpoints, WithDraining(k.leaving...))
}

func (k knowledge) equal(o knowledge) bool {
	return k.revision == o.revision && slices.Equal(k.leaving, o.leaving)
}

// simProxy runs the real view and draft code on a clock of its own rate.
type simProxy struct {
	name    string
	rate    float64
	view    *View
	known   knowledge
	paused  bool
	cutTo   bool // requests do not reach the platform
	cutFrom bool // responses do not come back
	last    *call
}

// call is a request on its way: to the store, or to a peer if peer is set.
type call struct {
	from      *simProxy
	peer      *simProxy
	write     bool
	id        Write
	base      int64
	known     knowledge
	ledger    Ledger
	sentAt    time.Time
	effected  bool
	refused   bool
	version   int64
	peerCopy  PeerCopy
	peerValid bool
}

// world is a step simulation of several proxies and the store, with the
// invariants of the ledger checked against the true state.
type world struct {
	rng       *rand.Rand
	elapsed   time.Duration
	down      bool
	version   int64
	stored    Ledger
	truth     knowledge
	proxies   []*simProxy
	calls     []*call
	applied   map[string]bool
	serial    int
	settled   int64 // revision that keeps proposers with an older one out
	restored  bool
	fitsSince time.Duration
	fits      bool
	asserted  int // steps at which the floor over the union was asserted
	full      int // of these, steps with the whole budget ejected
	failure   error
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, proxies, endpoints, floor int) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 0)),
		stored:    Ledger{Service: "depot"},
		applied:   make(map[string]bool),
		restored:  true,
		fits:      true,
		fitsSince: -time.Hour,
	}
	w.truth = knowledge{revision: 1, floor: floor}
	for i := range endpoints {
		w.truth.endpoints = append(w.truth.endpoints, fmt.Sprintf("e%d", i))
	}
	for range proxies {
		w.proxies = append(w.proxies, w.newProxy())
	}
	return w
}

// newProxy gives most proxies an extreme clock rate, because only the extremes
// use up the margin of RemoveHold.
func (w *world) newProxy() *simProxy {
	w.serial++
	rates := []float64{0.98, 1.02, 0.98 + 0.04*w.rng.Float64()}
	return &simProxy{
		name: fmt.Sprintf("p%d", w.serial), rate: rates[w.serial%len(rates)],
		view: NewView("depot"), known: w.truth,
	}
}

func (w *world) now(p *simProxy) time.Time {
	return simEpoch.Add(time.Duration(float64(w.elapsed) * p.rate))
}

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{w.elapsed}, args...)...)
	}
}

func (w *world) read(p *simProxy) *call {
	c := &call{from: p, sentAt: w.now(p)}
	w.calls = append(w.calls, c)
	return c
}

func (w *world) askPeer(p, peer *simProxy) {
	w.calls = append(w.calls, &call{from: p, peer: peer, sentAt: w.now(p)})
}

// write sends what the changes make of the proxy's newest copy, nil if nothing.
func (w *world) write(p *simProxy, change func(*Draft)) *call {
	base, version := p.view.Ledger()
	w.serial++
	operation := fmt.Sprintf("op%d", w.serial)
	d := NewDraft(base, p.known.pool(), p.name, operation, w.now(p))
	change(d)
	ledger, _, err := d.Finish()
	if err != nil {
		w.fail("finish: %v", err)
		return nil
	}
	if !d.Changed() {
		if version == w.version {
			w.noteCurrent(p.known)
		}
		return nil
	}
	c := &call{
		from: p, write: true, id: NewWrite(operation, base, version), base: version,
		known: p.known, ledger: ledger, sentAt: w.now(p),
	}
	p.last = c
	w.calls = append(w.calls, c)
	return c
}

// effect lets a call reach its destination.
func (w *world) effect(c *call) {
	if c.peer != nil {
		c.peerCopy, c.peerValid = c.peer.view.PeerCopy(w.now(c.peer))
		c.effected = true
		return
	}
	if w.down || c.from.cutTo {
		return
	}
	c.effected = true
	if !c.write {
		c.ledger, c.version = w.stored.clone(), w.version
		return
	}
	if c.base != w.version {
		c.refused = true
		return
	}
	w.checkWrite(c)
	w.version++
	w.stored = c.ledger.clone()
	c.version = w.version
	w.applied[c.ledger.Operation] = true
	w.noteCurrent(c.known)
}

// noteCurrent records that a writer with current knowledge has brought the
// stored ledger up to date.
func (w *world) noteCurrent(k knowledge) {
	if k.equal(w.truth) {
		w.restored = true
		w.settled = k.revision
	}
}

// deliver brings the response to the proxy.
func (w *world) deliver(c *call) {
	p := c.from
	if !c.effected || c.refused || p.paused || (c.peer == nil && p.cutFrom) {
		return
	}
	var err error
	switch {
	case c.peer == nil:
		err = p.view.ObservePlatform(c.ledger, c.version, c.sentAt, w.now(p))
	case c.peerValid:
		err = p.view.ObservePeer(c.peerCopy, c.sentAt, w.now(p))
	}
	if err != nil {
		w.fail("observe: %v", err)
	}
	if !c.write && c.peer == nil {
		w.readBack(p, c)
	}
}

// readBack checks that the outcome of the proxy's last write is decided right.
func (w *world) readBack(p *simProxy, c *call) {
	if p.last == nil || c.sentAt.Before(p.last.sentAt) {
		return
	}
	applied := w.applied[p.last.id.operation]
	switch o := p.last.id.Outcome(c.ledger, c.version); {
	case o == OutcomeApplied && !applied:
		w.fail("%s counts as applied but is not", p.last.id.operation)
	case o == OutcomeNotApplied && applied:
		w.fail("%s counts as not applied but is", p.last.id.operation)
	case o == OutcomePending && applied && c.version == w.version:
		w.fail("%s counts as pending but is applied", p.last.id.operation)
	}
}

// checkWrite asserts what every write must keep, against the ledger it replaces
// and the writer's own knowledge.
func (w *world) checkWrite(c *call) {
	ejects := false
	lost := make(map[string]bool)
	for _, e := range c.ledger.Entries {
		lost[e.Endpoint] = true
		old, ok := w.stored.Entry(e.Endpoint)
		if !ok && e.State != StateEjected {
			w.fail("%s appears as %s", e.Endpoint, e.State)
		}
		again := ok && old.State == StateReturning && e.State == StateEjected
		if again && e.Operation == old.Operation {
			w.fail("%s goes from returning to ejected without a new operation", e.Endpoint)
		}
		ejects = ejects || !ok || again
	}
	for _, e := range w.stored.Entries {
		if !lost[e.Endpoint] && e.State != StateReturning {
			w.fail("%s was removed as %s", e.Endpoint, e.State)
		}
	}
	if c.ledger.ConfigRevision < w.stored.ConfigRevision {
		w.fail("revision goes back from %d to %d", w.stored.ConfigRevision, c.ledger.ConfigRevision)
	}
	if !ejects {
		return
	}
	if due := max(w.settled, w.stored.ConfigRevision); c.known.revision < due {
		w.fail("ejection under revision %d after %d took effect", c.known.revision, due)
	}
	if left := c.known.left(lost); left < c.known.floor {
		w.fail("ejection leaves %d, floor is %d", left, c.known.floor)
	}
	// A proposer keeps the floor of what it knows. After a change that it has not
	// heard of, the floor is due again once it is restored.
	if !c.known.equal(w.truth) {
		w.restored = false
		w.fitsSince = w.elapsed
	}
}

func (k knowledge) left(lost map[string]bool) int {
	n := 0
	for _, e := range k.endpoints {
		if !lost[e] && !slices.Contains(k.leaving, e) {
			n++
		}
	}
	return n
}

// within reports whether taking away lost keeps the floor, or whether returning
// endpoints could not help.
func (k knowledge) within(lost map[string]bool) bool {
	helpful := slices.ContainsFunc(k.endpoints, func(e string) bool {
		return lost[e] && !slices.Contains(k.leaving, e)
	})
	return !helpful || k.left(lost) >= k.floor
}

// union returns every endpoint that any proxy treats as ejected.
func (w *world) union() map[string]bool {
	u := make(map[string]bool)
	for _, p := range w.proxies {
		now := w.now(p)
		for _, e := range p.view.ledger.Entries {
			if p.view.Ejected(e.Endpoint, now) {
				u[e.Endpoint] = true
			}
		}
	}
	return u
}

// check asserts the invariants. The floor of a changed configuration is due
// longestValidity after the stored ledger has been brought within it.
func (w *world) check() {
	union := w.union()
	for e := range union {
		if w.stored.index(e) < 0 {
			w.fail("%s is treated as ejected but has no entry", e)
		}
	}
	ejected := make(map[string]bool)
	for _, e := range w.stored.Entries {
		if e.State == StateEjected {
			ejected[e.Endpoint] = true
		}
	}
	fits := w.truth.within(ejected)
	if fits && !w.fits {
		w.fitsSince = w.elapsed
	}
	w.fits = fits
	if w.restored && !fits {
		w.fail("a writer with current knowledge left %v ejected", slices.Sorted(maps.Keys(ejected)))
	}
	if !fits || w.elapsed < w.fitsSince+longestValidity {
		return
	}
	w.asserted++
	if !w.truth.within(union) {
		w.fail("floor %d broken: proxies treat %v as ejected", w.truth.floor, slices.Sorted(maps.Keys(union)))
	}
	if len(union) > 0 && w.truth.left(union) == w.truth.floor {
		w.full++
	}
}

// reconfigure changes the truth; proxies learn it one by one. Copies from before
// may still list what was already returning, so the floor is due one validity
// later even if the stored ledger fits at once.
func (w *world) reconfigure(change func(*knowledge)) {
	k := w.truth
	k.endpoints = slices.Clone(k.endpoints)
	k.leaving = slices.Clone(k.leaving)
	change(&k)
	if !slices.Equal(k.endpoints, w.truth.endpoints) || k.floor != w.truth.floor {
		k.revision++
	}
	w.truth = k
	w.restored = false
	w.fitsSince = w.elapsed
}
