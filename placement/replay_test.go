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

// A replay drives a scheduler in virtual time with the load of a service and with
// endpoints that fail as documented by the platform.

type requestKind struct {
	rate         float64 // requests per second
	work         time.Duration
	logStdDev    float64 // standard deviation of the logarithm of the work
	softDeadline time.Duration
	deadline     time.Duration
	repeatable   bool
	priority     int
	lateBenefit  float64 // benefit of a late response
}

// replay is a load pattern with the failures of its endpoints.
type replay struct {
	endpoints int
	slots     int
	kinds     []requestKind
	length    time.Duration
	// rate returns the factor of the load at a time.
	rate func(at time.Duration) float64
	// badShare is the share of time in bad spells, during which an endpoint fails
	// badErrorShare of its requests at once. The mean length of a bad spell is spell.
	badShare      float64
	badErrorShare float64
	spell         time.Duration
	// fault returns the faults of endpoint i at a time: the factor of its work and the
	// shares of requests that hang and that are rejected.
	fault func(at time.Duration, i int) (factor float64, hangs, sheds float64)
	// errorShare is the share of requests that fail at any endpoint.
	errorShare float64
}

// tally is the result of a replay.
type tally struct {
	requests, onTime, late, failed, refused int
	retries                                 int
	benefit                                 float64
	byKind                                  map[int][2]int // requests, served
}

func (r tally) String() string {
	return fmt.Sprintf("requests %d, benefit %.3f, on time %.3f, late %.3f, failed %.3f, refused %.3f, retries %d", r.requests,
		r.benefit/float64(r.requests), float64(r.onTime)/float64(r.requests), float64(r.late)/float64(r.requests),
		float64(r.failed)/float64(r.requests), float64(r.refused)/float64(r.requests), r.retries)
}

type simulatedEndpoint struct {
	bad     bool
	running int
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

// simulation is a running replay.
type simulation struct {
	replay
	random         *rand.Rand
	scheduler      replayScheduler
	endpointStates []*simulatedEndpoint
	queue          events
	seq            int
	now            time.Duration
	result         tally
	placed         map[uint64]*simulatedRequest
	token          uint64
	floor          *floorChecker // may be nil
	networkDelay   time.Duration // one way between a proxy and an endpoint or the hub
}

type simulatedRequest struct {
	kind    int
	since   time.Duration
	request Request
	retries int
	done    bool
}

var epoch = time.Unix(1_700_000_000, 0)

func (w *simulation) clock() time.Time { return epoch.Add(w.now) }

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, run: run, seq: w.seq})
}

// replayScheduler is the interface of the schedulers under test.
type replayScheduler interface {
	SetEndpoints(now time.Time, endpoints []Endpoint) []Decision
	Place(now time.Time, a Request) Decision
	End(now time.Time, token uint64, o Outcome, elapsed time.Duration) []Decision
	Advance(now time.Time) []Decision
	NextDue() (time.Time, bool)
}

func newScheduler(seed uint64) replayScheduler {
	return New(rand.New(rand.NewPCG(seed, 2)), NewBudget(0.16, 31, 10*time.Second, epoch), nil)
}

func play(r replay, seed uint64, scheduler replayScheduler) tally {
	return playWithFloor(r, seed, scheduler, nil)
}

func playWithFloor(r replay, seed uint64, scheduler replayScheduler, floor *floorChecker) tally {
	w := &simulation{
		replay: r, random: rand.New(rand.NewPCG(seed, 1)), placed: map[uint64]*simulatedRequest{}, networkDelay: 3 * time.Millisecond, floor: floor,
	}
	w.scheduler = scheduler
	w.result.byKind = map[int][2]int{}
	var list []Endpoint
	for i := range r.endpoints {
		w.endpointStates = append(w.endpointStates, &simulatedEndpoint{})
		list = append(list, NewEndpoint(fmt.Sprintf("e%02d", i), "", fmt.Sprintf("z%d", i%3), r.slots, time.Time{}))
		w.setBad(i, w.random.Float64() < r.badShare)
	}
	w.scheduler.SetEndpoints(w.clock(), list)
	for k := range r.kinds {
		w.arrive(k)
	}
	w.advance()
	floor.start(w)
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

// setBad starts a bad spell of an endpoint or ends it.
func (w *simulation) setBad(i int, bad bool) {
	m := w.endpointStates[i]
	m.bad = bad
	w.floor.healthChanged(i)
	mean := w.spell
	if !bad {
		if w.badShare == 0 {
			return
		}
		mean = time.Duration(float64(w.spell) * (1 - w.badShare) / w.badShare)
	}
	w.after(time.Duration(float64(mean)*(0.5+w.random.Float64())), func() { w.setBad(i, !bad) })
}

func (w *simulation) advance() {
	w.deliver(w.scheduler.Advance(w.clock()))
	wait := 500 * time.Millisecond
	if due, waiting := w.scheduler.NextDue(); waiting {
		wait = max(10*time.Millisecond, min(wait, due.Sub(w.clock())))
	}
	if w.now < w.length+8*time.Second {
		w.after(wait, w.advance)
	}
}

func (w *simulation) arrive(k int) {
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

func (w *simulation) start(k int) {
	kind := w.kinds[k]
	w.result.requests++
	counts := w.result.byKind[k]
	counts[0]++
	w.result.byKind[k] = counts
	q := &simulatedRequest{kind: k, since: w.now}
	q.request = Request{
		Zone: fmt.Sprintf("z%d", w.random.IntN(3)), Repeatable: kind.repeatable, Priority: kind.priority,
		SoftDeadline: w.clock().Add(kind.softDeadline), Deadline: w.clock().Add(kind.deadline),
	}
	w.place(q)
}

func (w *simulation) place(q *simulatedRequest) {
	w.token++
	q.request.Token = w.token
	w.placed[w.token] = q
	w.deliver([]Decision{w.scheduler.Place(w.clock(), q.request)})
}

func (w *simulation) deliver(decisions []Decision) {
	for _, d := range decisions {
		q := w.placed[d.Token]
		switch d.Verdict {
		case Queued:
		case Refused:
			w.finish(q, q.retries > 0, false)
		case Granted:
			w.after(w.networkDelay, func() { w.attempt(q, d) })
		}
	}
}

// finish ends a request that is not served.
func (w *simulation) finish(q *simulatedRequest, failed, _ bool) {
	if q.done {
		return
	}
	q.done = true
	w.floor.ended(false)
	if failed {
		w.result.failed++
	} else {
		w.result.refused++
	}
}

func (w *simulation) attempt(q *simulatedRequest, d Decision) {
	var i int
	if _, err := fmt.Sscanf(d.Endpoint.ID(), "e%d", &i); err != nil {
		panic(err)
	}
	m := w.endpointStates[i]
	w.floor.sent(i)
	kind := w.kinds[q.kind]
	start := w.now
	factor, hangs, sheds := 1.0, 0.0, 0.0
	if w.fault != nil {
		factor, hangs, sheds = w.fault(w.now, i)
	}
	end := func(after time.Duration, o Outcome) {
		w.after(after, func() { w.end(q, d, o, w.now-start) })
	}
	fails := w.errorShare
	if m.bad {
		fails = w.badErrorShare
	}
	left := q.request.Deadline.Sub(w.clock())
	switch {
	case w.random.Float64() < sheds:
		end(w.networkDelay, OutcomeShed)
	case w.random.Float64() < hangs:
		end(left, OutcomeTimeout)
	case w.random.Float64() < fails:
		end(w.networkDelay, OutcomeFailed)
	default:
		work := time.Duration(float64(kind.work) * math.Exp(kind.logStdDev*w.random.NormFloat64()-kind.logStdDev*kind.logStdDev/2) * factor)
		m.running++
		if m.running > w.slots {
			work += time.Duration(float64(kind.work) * float64(m.running-w.slots) / float64(w.slots))
		}
		o := OutcomeServed
		if work > left {
			work, o = left, OutcomeExpired
		}
		w.after(work, func() { m.running-- })
		end(work+w.networkDelay, o)
	}
}

func (w *simulation) end(q *simulatedRequest, d Decision, o Outcome, elapsed time.Duration) {
	w.deliver(w.scheduler.End(w.clock(), d.Token, o, elapsed))
	delete(w.placed, d.Token)
	kind := w.kinds[q.kind]
	if o == OutcomeServed {
		q.done = true
		w.floor.ended(true)
		counts := w.result.byKind[q.kind]
		counts[1]++
		w.result.byKind[q.kind] = counts
		if w.now-q.since <= kind.softDeadline {
			w.result.onTime++
			w.result.benefit++
		} else {
			w.result.late++
			w.result.benefit += kind.lateBenefit
		}
		return
	}
	retry := kind.repeatable && q.retries == 0 || o == OutcomeShed && q.retries < 4
	if !retry || !w.clock().Before(q.request.Deadline) {
		w.finish(q, true, false)
		return
	}
	q.retries++
	w.result.retries++
	q.request.Retry = true
	q.request.Avoid = append(q.request.Avoid, d.Endpoint.ID())
	w.place(q)
}

// reservations is the load of a service that gets only non-repeatable requests, at a
// normal hour.
func reservations() replay {
	return replay{
		endpoints: 13, slots: 4, length: 60 * time.Second, errorShare: 0.012,
		badShare: 0.3, badErrorShare: 0.85, spell: 6 * time.Second,
		kinds: []requestKind{{
			rate: 52.6, work: 310 * time.Millisecond, logStdDev: 0.7, softDeadline: 1500 * time.Millisecond,
			deadline: 3 * time.Second, lateBenefit: 0.1, priority: 1,
		}},
	}
}

// lookups is the load of a service that gets only repeatable requests.
func lookups() replay {
	r := reservations()
	r.endpoints = 8
	r.kinds = []requestKind{{
		rate: 24.2, work: 410 * time.Millisecond, logStdDev: 0.5, softDeadline: 1500 * time.Millisecond,
		deadline: 2500 * time.Millisecond, lateBenefit: 0.1, repeatable: true, priority: 2,
	}}
	return r
}

// mixed is the load of a service with an urgent and a repeatable kind of request.
func mixed() replay {
	r := reservations()
	r.endpoints = 6
	r.kinds = []requestKind{
		{
			rate: 12.6, work: 210 * time.Millisecond, logStdDev: 0.7, softDeadline: 600 * time.Millisecond,
			deadline: 1500 * time.Millisecond, lateBenefit: 0.1,
		},
		{
			rate: 15.8, work: 120 * time.Millisecond, logStdDev: 0.3, softDeadline: 500 * time.Millisecond,
			deadline: 1500 * time.Millisecond, lateBenefit: 0.1, repeatable: true, priority: 1,
		},
	}
	return r
}

// during returns a load factor that is x from one time to another and 1 otherwise.
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

func playAll(r replay, scheduler func(seed uint64) replayScheduler) tally {
	total := tally{byKind: map[int][2]int{}}
	for seed := uint64(1); seed <= replaySeeds; seed++ {
		t := play(r, seed, scheduler(seed))
		total.requests += t.requests
		total.onTime += t.onTime
		total.late += t.late
		total.failed += t.failed
		total.refused += t.refused
		total.retries += t.retries
		total.benefit += t.benefit
		for k, v := range t.byKind {
			c := total.byKind[k]
			total.byKind[k] = [2]int{c[0] + v[0], c[1] + v[1]}
		}
	}
	return total
}

// baseline places each request at once at the endpoint with the fewest attempts in
// flight. It uses no evidence, priorities or queue.
type baseline struct {
	endpoints []Endpoint
	inFlight  map[string]int
	grants    map[uint64]string
	budget    *Budget
}

func newBaseline(uint64) replayScheduler {
	return &baseline{inFlight: map[string]int{}, grants: map[uint64]string{}, budget: NewBudget(0.16, 31, 10*time.Second, epoch)}
}

func (b *baseline) SetEndpoints(_ time.Time, endpoints []Endpoint) []Decision {
	b.endpoints = endpoints
	return nil
}

func (b *baseline) Place(now time.Time, req Request) Decision {
	if !req.Retry {
		b.budget.Request(now)
	} else if !b.budget.Allow(now) {
		return Decision{Token: req.Token, Verdict: Refused, Reason: ReasonBudget}
	}
	best := b.endpoints[int(req.Token)%len(b.endpoints)]
	for _, e := range b.endpoints {
		if b.inFlight[e.ID()] < b.inFlight[best.ID()] {
			best = e
		}
	}
	b.inFlight[best.ID()]++
	b.grants[req.Token] = best.ID()
	return Decision{Token: req.Token, Verdict: Granted, Endpoint: best}
}

func (b *baseline) End(_ time.Time, token uint64, _ Outcome, _ time.Duration) []Decision {
	b.inFlight[b.grants[token]]--
	delete(b.grants, token)
	return nil
}

func (b *baseline) Advance(time.Time) []Decision { return nil }

func (b *baseline) NextDue() (time.Time, bool) { return time.Time{}, false }

// minGain is the share of the benefit lost by the baseline that the scheduler must
// regain under each load.
const minGain = 0.5

// minKindServedShare is the platform's bound: each kind of request must be served at
// least a quarter as often as all requests.
const minKindServedShare = 0.25

func TestSchedulerBeatsBaseline(t *testing.T) {
	for name, r := range replays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			baseline, scheduled := playAll(r, newBaseline), playAll(r, newScheduler)
			t.Logf("baseline:  %v", baseline)
			t.Logf("scheduler: %v", scheduled)
			baselineLoss := 1 - baseline.benefit/float64(baseline.requests)
			require.GreaterOrEqual(t, scheduled.benefit/float64(scheduled.requests), 1-baselineLoss*(1-minGain))
			allServed := float64(scheduled.onTime+scheduled.late) / float64(scheduled.requests)
			for k, v := range scheduled.byKind {
				require.GreaterOrEqual(t, float64(v[1])/float64(v[0]), minKindServedShare*allServed, "kind %d", k)
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
		"reservations, bad spells":                reservations(),
		"reservations, heavy load":                scaled(reservations(), 1.3),
		"reservations, burst of 1.8":              burst,
		"reservations, endpoints slowed 12 times": slow,
		"reservations, endpoints hang":            hang,
		"lookups, bad spells":                     lookups(),
		"lookups, heavy load":                     scaled(lookups(), 1.3),
		"two kinds, bad spells":                   mixed(),
		"two kinds, retry abuse":                  abuse,
	}
}
