package ejection

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	randomSteps = flag.Int("ejection.steps", 60_000, "steps of the randomised run")
	randomSeed  = flag.Uint64("ejection.seed", 20261204, "first seed of the randomised run")
)

// stepsPerWorld restarts with another seed, so that rare starting states are
// visited as well as long histories.
const stepsPerWorld = 20_000

// TestRandomisedFloor guards against any interleaving of delays, duplicates,
// pauses, partitions, outages, replacements and configuration changes in which
// the proxies together treat more endpoints as ejected than the floor allows.
func TestRandomisedFloor(t *testing.T) {
	asserted, full := 0, 0
	for done, seed := 0, *randomSeed; done < *randomSteps; seed++ {
		t.Logf("seed %d", seed)
		w := newWorld(seed, 5, 6, 4)
		for range min(stepsPerWorld, *randomSteps-done) {
			w.randomStep()
			w.check()
			done++
			require.NoError(t, w.failure, "seed %d, step %d", seed, done)
		}
		asserted += w.asserted
		full += w.full
	}
	t.Logf("%d steps, floor over the union asserted at %d, whole budget ejected at %d",
		*randomSteps, asserted, full)
	require.Greater(t, full, *randomSteps/100, "the run hardly ever used up the budget")
}

func (w *world) randomStep() {
	p := w.proxies[w.rng.IntN(len(w.proxies))]
	switch n := w.rng.IntN(1000); {
	case n < 250:
		w.randomAdvance()
	case n < 400:
		w.randomCall(p)
	case n < 630:
		w.randomEffect()
	case n < 950:
		w.randomDelivery()
	case n < 990:
		p.known = w.truth
	default:
		w.randomFault(p)
	}
}

func (w *world) randomAdvance() {
	steps := []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second}
	w.elapsed += steps[w.rng.IntN(len(steps))]
	if w.rng.IntN(50) == 0 {
		w.jumpToRemoval()
	}
}

// jumpToRemoval advances to the first moment at which a proxy may remove a
// returning entry, and lets it, because the margin of the hold is a fraction of
// a second that random steps rarely hit.
func (w *world) jumpToRemoval() {
	var first *simProxy
	var at time.Duration
	for _, p := range w.proxies {
		for _, since := range p.view.returning {
			due := time.Duration(float64(since.Add(RemoveHold).Sub(simEpoch))/p.rate) + time.Microsecond
			if due >= w.elapsed && !p.paused && (first == nil || due < at) {
				first, at = p, due
			}
		}
	}
	if first == nil {
		return
	}
	w.elapsed = at
	for range 2 { // the removal, then an ejection with the capacity it gave back
		if c := w.write(first, func(d *Draft) { w.randomChange(first, d) }); c != nil {
			w.effect(c)
			w.deliver(c)
		}
	}
}

func (w *world) randomCall(p *simProxy) {
	if p.paused {
		return
	}
	switch w.rng.IntN(5) {
	case 0, 1:
		w.read(p)
	case 2:
		w.askPeer(p, w.proxies[w.rng.IntN(len(w.proxies))])
	default:
		w.write(p, func(d *Draft) { w.randomChange(p, d) })
	}
}

func (w *world) randomChange(p *simProxy, d *Draft) {
	for _, e := range p.view.Removable(w.now(p)) {
		_ = d.Remove(e, p.view)
	}
	for range w.rng.IntN(3) {
		_ = d.Propose(Candidate{Endpoint: w.anyOf(p.known.endpoints), Kind: "error", Evidence: w.rng.Float64()})
	}
	if w.rng.IntN(6) == 0 {
		_ = d.Return(w.anyOf(p.known.endpoints))
	}
}

func (w *world) randomEffect() {
	if len(w.calls) == 0 {
		return
	}
	if c := w.calls[w.rng.IntN(len(w.calls))]; !c.effected {
		w.effect(c)
	} else if w.rng.IntN(20) == 0 {
		w.effect(c)
	}
}

// randomDelivery delivers a response, sometimes keeps it for a second delivery
// and sometimes loses it.
func (w *world) randomDelivery() {
	if len(w.calls) == 0 {
		return
	}
	i := w.rng.IntN(len(w.calls))
	c := w.calls[i]
	lost := w.rng.IntN(10) == 0
	if !c.effected && !lost {
		return
	}
	if !lost {
		w.deliver(c)
	}
	if lost || w.rng.IntN(20) > 0 {
		w.calls = slices.Delete(w.calls, i, i+1)
	}
}

func (w *world) randomFault(p *simProxy) {
	switch w.rng.IntN(12) {
	case 0: // replaced: a new process knows nothing of the old one
		i := slices.Index(w.proxies, p)
		w.proxies[i] = w.newProxy()
	case 1, 2:
		p.paused = !p.paused
	case 3:
		p.cutTo = !p.cutTo
	case 4:
		p.cutFrom = !p.cutFrom
	case 5:
		w.down = !w.down
	case 6:
		w.reconfigure(func(k *knowledge) { k.floor = min(k.floor+1, len(k.endpoints)) })
	case 7:
		w.reconfigure(func(k *knowledge) { k.floor = max(3, k.floor-1) })
	case 8:
		w.reconfigure(func(k *knowledge) { k.leaving = []string{w.anyOf(k.endpoints)} })
	case 9:
		w.reconfigure(func(k *knowledge) { k.leaving = nil })
	case 10:
		w.reconfigure(toggleLast)
	default: // everything heals
		w.down = false
		for _, q := range w.proxies {
			q.paused, q.cutTo, q.cutFrom = false, false, false
		}
	}
}

// toggleLast removes the last endpoint from the configuration or adds it again.
func toggleLast(k *knowledge) {
	if len(k.endpoints) == 6 {
		k.endpoints = k.endpoints[:5]
		return
	}
	k.endpoints = append(k.endpoints, "e5")
}

func (w *world) anyOf(names []string) string {
	return names[w.rng.IntN(len(names))]
}
