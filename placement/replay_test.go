package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The replay drives a scheduler with the load of a service and endpoints that
// fail as the platform's pages say. Time is virtual.

// kindOfRequest is one kind of request of a replay.
type kindOfRequest struct {
	rate       float64 // a second
	work       time.Duration
	spread     float64 // of the logarithm of the work
	aim        time.Duration
	deadline   time.Duration
	repeatable bool
	priority   int
	late       float64 // worth of a late response
}

// replay is a load pattern.
type replay struct {
	endpoints int
	slots     int
	kinds     []kindOfRequest
	length    time.Duration
	// rate multiplies the load at a time.
	rate func(at time.Duration) float64
	// badShare of the time an endpoint fails badFails of its requests at once.
	badShare float64
	badFails float64
	spell    time.Duration
	// fault changes the endpoint i at a time: the factor of its work, and whether
	// it hangs or refuses.
	fault func(at time.Duration, i int) (factor float64, hangs, sheds float64)
	// errors is the share of requests that fail at any endpoint.
	errors float64
}

// tally is the result of a replay.
type tally struct {
	asked, onTime, late, failed, refused int
	repeats                              int
	worth                                float64
	byKind                               map[int][2]int // asked, served
}

func (r tally) String() string {
	return fmt.Sprintf("asked %d, worth %.3f, on time %.3f, late %.3f, failed %.3f, refused %.3f, repeats %d", r.asked,
		r.worth/float64(r.asked), float64(r.onTime)/float64(r.asked), float64(r.late)/float64(r.asked),
		float64(r.failed)/float64(r.asked), float64(r.refused)/float64(r.asked), r.repeats)
}

// machine is an endpoint of a replay.
type machine struct {
	bad  bool
	busy int
}

type event struct {
	at  time.Duration
	run func()
	seq int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// world runs a replay.
type world struct {
	replay
	random    *rand.Rand
	scheduler scheduling
	machines  []*machine
	queue     events
	seq       int
	now       time.Duration
	result    tally
	open      map[uint64]*request
	token     uint64
	watch     *floorWatch   // may be nil
	trip      time.Duration // from a proxy to an endpoint or the hub
}

type request struct {
	kind    int
	since   time.Duration
	ask     Request
	repeats int
	done    bool
}

var epoch = time.Unix(1_700_000_000, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, run: run, seq: w.seq})
}

// scheduling is what a replay drives.
type scheduling interface {
	SetEndpoints(now time.Time, endpoints []Endpoint) []Decision
	Place(now time.Time, a Request) Decision
	End(now time.Time, token uint64, o Outcome, elapsed time.Duration) []Decision
	Advance(now time.Time) []Decision
	NextDue() (time.Time, bool)
}

func newScheduler(seed uint64) scheduling {
	return New(rand.New(rand.NewPCG(seed, 2)), NewBudget(0.16, 31, 10*time.Second, epoch), nil)
}

func play(r replay, seed uint64, scheduler scheduling) tally {
	return playWatched(r, seed, scheduler, nil)
}

func playWatched(r replay, seed uint64, scheduler scheduling, watch *floorWatch) tally {
	w := &world{
		replay: r, random: rand.New(rand.NewPCG(seed, 1)), open: map[uint64]*request{}, trip: 3 * time.Millisecond, watch: watch,
	}
	w.scheduler = scheduler
	w.result.byKind = map[int][2]int{}
	var list []Endpoint
	for i := range r.endpoints {
		w.machines = append(w.machines, &machine{})
		list = append(list, NewEndpoint(fmt.Sprintf("e%02d", i), "", fmt.Sprintf("z%d", i%3), r.slots, time.Time{}))
		w.turn(i, w.random.Float64() < r.badShare)
	}
	w.scheduler.SetEndpoints(w.clock(), list)
	for k := range r.kinds {
		w.arrive(k)
	}
	w.beat()
	watch.start(w)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > r.length+10*time.Second {
			break
		}
		w.now = e.at
		e.run()
	}
	return w.result
}

// turn starts a good or bad spell of an endpoint.
func (w *world) turn(i int, bad bool) {
	m := w.machines[i]
	m.bad = bad
	w.watch.turned(i)
	mean := w.spell
	if !bad {
		if w.badShare == 0 {
			return
		}
		mean = time.Duration(float64(w.spell) * (1 - w.badShare) / w.badShare)
	}
	w.after(time.Duration(float64(mean)*(0.5+w.random.Float64())), func() { w.turn(i, !bad) })
}

func (w *world) beat() {
	w.deliver(w.scheduler.Advance(w.clock()))
	wait := 500 * time.Millisecond
	if due, waiting := w.scheduler.NextDue(); waiting {
		wait = max(10*time.Millisecond, min(wait, due.Sub(w.clock())))
	}
	if w.now < w.length+8*time.Second {
		w.after(wait, w.beat)
	}
}

func (w *world) arrive(k int) {
	kind := w.kinds[k]
	rate := kind.rate
	if w.rate != nil {
		rate *= w.rate(w.now)
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.now < w.length {
			w.arrive(k)
			w.start(k)
		}
	})
}

func (w *world) start(k int) {
	kind := w.kinds[k]
	w.result.asked++
	counts := w.result.byKind[k]
	counts[0]++
	w.result.byKind[k] = counts
	q := &request{kind: k, since: w.now}
	q.ask = Request{
		Zone: fmt.Sprintf("z%d", w.random.IntN(3)), Repeatable: kind.repeatable, Priority: kind.priority,
		SoftDeadline: w.clock().Add(kind.aim), Deadline: w.clock().Add(kind.deadline),
	}
	w.place(q)
}

func (w *world) place(q *request) {
	w.token++
	q.ask.Token = w.token
	w.open[w.token] = q
	w.deliver([]Decision{w.scheduler.Place(w.clock(), q.ask)})
}

func (w *world) deliver(decisions []Decision) {
	for _, d := range decisions {
		q := w.open[d.Token]
		switch d.Verdict {
		case Queued:
		case Refused:
			w.finish(q, q.repeats > 0, false)
		case Granted:
			w.after(w.trip, func() { w.attempt(q, d) })
		}
	}
}

// finish ends a request that is not served.
func (w *world) finish(q *request, failed, _ bool) {
	if q.done {
		return
	}
	q.done = true
	w.watch.ended(false)
	if failed {
		w.result.failed++
	} else {
		w.result.refused++
	}
}

func (w *world) attempt(q *request, d Decision) {
	var i int
	if _, err := fmt.Sscanf(d.Endpoint.ID(), "e%d", &i); err != nil {
		panic(err)
	}
	m := w.machines[i]
	w.watch.sent(i)
	kind := w.kinds[q.kind]
	began := w.now
	factor, hangs, sheds := 1.0, 0.0, 0.0
	if w.fault != nil {
		factor, hangs, sheds = w.fault(w.now, i)
	}
	end := func(after time.Duration, o Outcome) {
		w.after(after, func() { w.end(q, d, o, w.now-began) })
	}
	fails := w.errors
	if m.bad {
		fails = w.badFails
	}
	left := q.ask.Deadline.Sub(w.clock())
	switch {
	case w.random.Float64() < sheds:
		end(w.trip, OutcomeShed)
	case w.random.Float64() < hangs:
		end(left, OutcomeTimeout)
	case w.random.Float64() < fails:
		end(w.trip, OutcomeFailed)
	default:
		work := time.Duration(float64(kind.work) * math.Exp(kind.spread*w.random.NormFloat64()-kind.spread*kind.spread/2) * factor)
		m.busy++
		if m.busy > w.slots {
			work += time.Duration(float64(kind.work) * float64(m.busy-w.slots) / float64(w.slots))
		}
		o := OutcomeServed
		if work > left {
			work, o = left, OutcomeExpired
		}
		w.after(work, func() { m.busy-- })
		end(work+w.trip, o)
	}
}

func (w *world) end(q *request, d Decision, o Outcome, elapsed time.Duration) {
	w.deliver(w.scheduler.End(w.clock(), d.Token, o, elapsed))
	delete(w.open, d.Token)
	kind := w.kinds[q.kind]
	if o == OutcomeServed {
		q.done = true
		w.watch.ended(true)
		counts := w.result.byKind[q.kind]
		counts[1]++
		w.result.byKind[q.kind] = counts
		if w.now-q.since <= kind.aim {
			w.result.onTime++
			w.result.worth++
		} else {
			w.result.late++
			w.result.worth += kind.late
		}
		return
	}
	again := kind.repeatable && q.repeats == 0 || o == OutcomeShed && q.repeats < 4
	if !again || !w.clock().Before(q.ask.Deadline) {
		w.finish(q, true, false)
		return
	}
	q.repeats++
	w.result.repeats++
	q.ask.Retry = true
	q.ask.Avoid = append(q.ask.Avoid, d.Endpoint.ID())
	w.place(q)
}

// reservations is the load of a service that gets only requests that must not
// repeat, at an ordinary hour.
func reservations() replay {
	return replay{
		endpoints: 13, slots: 4, length: 60 * time.Second, errors: 0.012,
		badShare: 0.3, badFails: 0.85, spell: 6 * time.Second,
		kinds: []kindOfRequest{{
			rate: 52.6, work: 310 * time.Millisecond, spread: 0.7, aim: 1500 * time.Millisecond,
			deadline: 3 * time.Second, late: 0.1, priority: 1,
		}},
	}
}

// lookups is the load of a service that gets only requests that can be sent again.
func lookups() replay {
	r := reservations()
	r.endpoints = 8
	r.kinds = []kindOfRequest{{
		rate: 24.2, work: 410 * time.Millisecond, spread: 0.5, aim: 1500 * time.Millisecond,
		deadline: 2500 * time.Millisecond, late: 0.1, repeatable: true, priority: 2,
	}}
	return r
}

// mixed is the load of a service with an urgent and a repeatable kind.
func mixed() replay {
	r := reservations()
	r.endpoints = 6
	r.kinds = []kindOfRequest{
		{
			rate: 12.6, work: 210 * time.Millisecond, spread: 0.7, aim: 600 * time.Millisecond,
			deadline: 1500 * time.Millisecond, late: 0.1,
		},
		{
			rate: 15.8, work: 120 * time.Millisecond, spread: 0.3, aim: 500 * time.Millisecond,
			deadline: 1500 * time.Millisecond, late: 0.1, repeatable: true, priority: 1,
		},
	}
	return r
}

// during returns a rate that is x from one time to another.
func during(from, to time.Duration, x float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return x
		}
		return 1
	}
}

func scaled(r replay, x float64) replay {
	for i := range r.kinds {
		r.kinds[i].rate *= x
	}
	return r
}

const replaySeeds = 6

func playAll(r replay, scheduler func(seed uint64) scheduling) tally {
	total := tally{byKind: map[int][2]int{}}
	for seed := uint64(1); seed <= replaySeeds; seed++ {
		t := play(r, seed, scheduler(seed))
		total.asked += t.asked
		total.onTime += t.onTime
		total.late += t.late
		total.failed += t.failed
		total.refused += t.refused
		total.repeats += t.repeats
		total.worth += t.worth
		for k, v := range t.byKind {
			c := total.byKind[k]
			total.byKind[k] = [2]int{c[0] + v[0], c[1] + v[1]}
		}
	}
	return total
}

// baseline places each request at once at the endpoint with the fewest in flight,
// without evidence, ranks or a queue.
type baseline struct {
	endpoints []Endpoint
	inFlight  map[string]int
	grants    map[uint64]string
	budget    *Budget
}

func newBaseline(uint64) scheduling {
	return &baseline{inFlight: map[string]int{}, grants: map[uint64]string{}, budget: NewBudget(0.16, 31, 10*time.Second, epoch)}
}

func (b *baseline) SetEndpoints(_ time.Time, endpoints []Endpoint) []Decision {
	b.endpoints = endpoints
	return nil
}

func (b *baseline) Place(now time.Time, a Request) Decision {
	if !a.Retry {
		b.budget.Request(now)
	} else if !b.budget.Allow(now) {
		return Decision{Token: a.Token, Verdict: Refused, Reason: ReasonBudget}
	}
	best := b.endpoints[int(a.Token)%len(b.endpoints)]
	for _, e := range b.endpoints {
		if b.inFlight[e.ID()] < b.inFlight[best.ID()] {
			best = e
		}
	}
	b.inFlight[best.ID()]++
	b.grants[a.Token] = best.ID()
	return Decision{Token: a.Token, Verdict: Granted, Endpoint: best}
}

func (b *baseline) End(_ time.Time, token uint64, _ Outcome, _ time.Duration) []Decision {
	b.inFlight[b.grants[token]]--
	delete(b.grants, token)
	return nil
}

func (b *baseline) Advance(time.Time) []Decision { return nil }

func (b *baseline) NextDue() (time.Time, bool) { return time.Time{}, false }

// leastGain is the part of the baseline's lost worth that the scheduler must win back
// under each load.
const leastGain = 0.5

// starvedShare is the platform's bound: no kind of request may be served less than a
// quarter as often as all.
const starvedShare = 0.25

func TestReplaysAgainstTheBaseline(t *testing.T) {
	for name, r := range replays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := playAll(r, newBaseline), playAll(r, newScheduler)
			t.Logf("baseline:  %v", before)
			t.Logf("scheduler: %v", after)
			lost := 1 - before.worth/float64(before.asked)
			require.GreaterOrEqual(t, after.worth/float64(after.asked), 1-lost*(1-leastGain))
			all := float64(after.onTime+after.late) / float64(after.asked)
			for k, v := range after.byKind {
				require.GreaterOrEqual(t, float64(v[1])/float64(v[0]), starvedShare*all, "kind %d", k)
			}
		})
	}
}

func replays() map[string]replay {
	burst := scaled(reservations(), 1.3)
	burst.rate = during(20*time.Second, 30*time.Second, 1.8)
	slow := reservations()
	slow.fault = func(at time.Duration, i int) (float64, float64, float64) {
		if i < 3 && at > 20*time.Second && at < 27*time.Second {
			return 12, 0, 0
		}
		return 1, 0, 0
	}
	hang := reservations()
	hang.fault = func(at time.Duration, i int) (float64, float64, float64) {
		if i < 2 && at > 20*time.Second && at < 30*time.Second {
			return 1, 0.7, 0
		}
		return 1, 0, 0
	}
	abuse := mixed()
	abuse.rate = during(20*time.Second, 26*time.Second, 2.2)
	return map[string]replay{
		"reservations, spells of failures":        reservations(),
		"reservations, heavy load":                scaled(reservations(), 1.3),
		"reservations, burst of 1.8":              burst,
		"reservations, slots slowed twelve times": slow,
		"reservations, endpoints hang":            hang,
		"lookups, spells of failures":             lookups(),
		"lookups, heavy load":                     scaled(lookups(), 1.3),
		"two kinds, spells of failures":           mixed(),
		"two kinds, retry abuse":                  abuse,
	}
}
