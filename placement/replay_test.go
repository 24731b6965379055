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
	// badErrorShare of its requests at once. badSpellLength is the mean length.
	badShare       float64
	badErrorShare  float64
	badSpellLength time.Duration
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

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, run: run, seq: s.seq})
}

// replayScheduler is the interface of the schedulers under test.
type replayScheduler interface {
	SetEndpoints(now time.Time, endpoints []Endpoint) []Decision
	Place(now time.Time, req Request) Decision
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
	s := &simulation{
		replay: r, random: rand.New(rand.NewPCG(seed, 1)), placed: map[uint64]*simulatedRequest{}, networkDelay: 3 * time.Millisecond, floor: floor,
	}
	s.scheduler = scheduler
	s.result.byKind = map[int][2]int{}
	var list []Endpoint
	for i := range r.endpoints {
		s.endpointStates = append(s.endpointStates, &simulatedEndpoint{})
		list = append(list, NewEndpoint(fmt.Sprintf("e%02d", i), "", fmt.Sprintf("z%d", i%3), r.slots, time.Time{}))
		s.setBad(i, s.random.Float64() < r.badShare)
	}
	s.scheduler.SetEndpoints(s.clock(), list)
	for k := range r.kinds {
		s.arrive(k)
	}
	s.advance()
	floor.start(s)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > r.length+10*time.Second {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.result
}

// setBad starts a bad spell of an endpoint or ends it.
func (s *simulation) setBad(i int, bad bool) {
	e := s.endpointStates[i]
	e.bad = bad
	s.floor.healthChanged(i)
	mean := s.badSpellLength
	if !bad {
		if s.badShare == 0 {
			return
		}
		mean = time.Duration(float64(s.badSpellLength) * (1 - s.badShare) / s.badShare)
	}
	s.after(time.Duration(float64(mean)*(0.5+s.random.Float64())), func() { s.setBad(i, !bad) })
}

func (s *simulation) advance() {
	s.deliver(s.scheduler.Advance(s.clock()))
	wait := 500 * time.Millisecond
	if due, waiting := s.scheduler.NextDue(); waiting {
		wait = max(10*time.Millisecond, min(wait, due.Sub(s.clock())))
	}
	if s.now < s.length+8*time.Second {
		s.after(wait, s.advance)
	}
}

func (s *simulation) arrive(k int) {
	kind := s.kinds[k]
	rate := kind.rate
	if s.rate != nil {
		rate *= s.rate(s.now)
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now < s.length {
			s.arrive(k)
			s.start(k)
		}
	})
}

func (s *simulation) start(k int) {
	kind := s.kinds[k]
	s.result.requests++
	counts := s.result.byKind[k]
	counts[0]++
	s.result.byKind[k] = counts
	q := &simulatedRequest{kind: k, since: s.now}
	q.request = Request{
		Zone: fmt.Sprintf("z%d", s.random.IntN(3)), Repeatable: kind.repeatable, Priority: kind.priority,
		SoftDeadline: s.clock().Add(kind.softDeadline), Deadline: s.clock().Add(kind.deadline),
	}
	s.place(q)
}

func (s *simulation) place(q *simulatedRequest) {
	s.token++
	q.request.Token = s.token
	s.placed[s.token] = q
	s.deliver([]Decision{s.scheduler.Place(s.clock(), q.request)})
}

func (s *simulation) deliver(decisions []Decision) {
	for _, d := range decisions {
		q := s.placed[d.Token]
		switch d.Verdict {
		case Queued:
		case Refused:
			s.finish(q, q.retries > 0, false)
		case Granted:
			s.after(s.networkDelay, func() { s.attempt(q, d) })
		}
	}
}

// finish ends a request that is not served.
func (s *simulation) finish(q *simulatedRequest, failed, _ bool) {
	if q.done {
		return
	}
	q.done = true
	s.floor.ended(false)
	if failed {
		s.result.failed++
	} else {
		s.result.refused++
	}
}

func (s *simulation) attempt(q *simulatedRequest, d Decision) {
	var i int
	if _, err := fmt.Sscanf(d.Endpoint.ID(), "e%d", &i); err != nil {
		panic(err)
	}
	e := s.endpointStates[i]
	s.floor.sent(i)
	kind := s.kinds[q.kind]
	start := s.now
	factor, hangs, sheds := 1.0, 0.0, 0.0
	if s.fault != nil {
		factor, hangs, sheds = s.fault(s.now, i)
	}
	end := func(after time.Duration, o Outcome) {
		s.after(after, func() { s.end(q, d, o, s.now-start) })
	}
	fails := s.errorShare
	if e.bad {
		fails = s.badErrorShare
	}
	left := q.request.Deadline.Sub(s.clock())
	switch {
	case s.random.Float64() < sheds:
		end(s.networkDelay, OutcomeShed)
	case s.random.Float64() < hangs:
		end(left, OutcomeTimeout)
	case s.random.Float64() < fails:
		end(s.networkDelay, OutcomeFailed)
	default:
		work := time.Duration(float64(kind.work) * math.Exp(kind.logStdDev*s.random.NormFloat64()-kind.logStdDev*kind.logStdDev/2) * factor)
		e.running++
		if e.running > s.slots {
			work += time.Duration(float64(kind.work) * float64(e.running-s.slots) / float64(s.slots))
		}
		o := OutcomeServed
		if work > left {
			work, o = left, OutcomeExpired
		}
		s.after(work, func() { e.running-- })
		end(work+s.networkDelay, o)
	}
}

func (s *simulation) end(q *simulatedRequest, d Decision, o Outcome, elapsed time.Duration) {
	s.deliver(s.scheduler.End(s.clock(), d.Token, o, elapsed))
	delete(s.placed, d.Token)
	kind := s.kinds[q.kind]
	if o == OutcomeServed {
		q.done = true
		s.floor.ended(true)
		counts := s.result.byKind[q.kind]
		counts[1]++
		s.result.byKind[q.kind] = counts
		if s.now-q.since <= kind.softDeadline {
			s.result.onTime++
			s.result.benefit++
		} else {
			s.result.late++
			s.result.benefit += kind.lateBenefit
		}
		return
	}
	retry := kind.repeatable && q.retries == 0 || o == OutcomeShed && q.retries < 4
	if !retry || !s.clock().Before(q.request.Deadline) {
		s.finish(q, true, false)
		return
	}
	q.retries++
	s.result.retries++
	q.request.Retry = true
	q.request.Avoid = append(q.request.Avoid, d.Endpoint.ID())
	s.place(q)
}

// reservations is the load of a service that gets only non-repeatable requests, at a
// normal hour.
func reservations() replay {
	return replay{
		endpoints: 13, slots: 4, length: 60 * time.Second, errorShare: 0.012,
		badShare: 0.3, badErrorShare: 0.85, badSpellLength: 6 * time.Second,
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
