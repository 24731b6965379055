package overload

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/carawayhold/carawayhold/placement"
)

// networkDelay is the time one way between a proxy and an endpoint or the hub.
const networkDelay = 3 * time.Millisecond

// retryRatio and retryBurst are those of a deployment, burst per 13 endpoints.
const (
	retryRatio  = 0.16
	retryBurst  = 31.0
	retryWindow = 10 * time.Second
	// maxSheds bounds the endpoints that may reject one request.
	maxSheds = 4
)

var epoch = time.Unix(1_700_000_000, 0)

// scheduler is what places the requests.
type scheduler interface {
	SetEndpoints(now time.Time, endpoints []placement.Endpoint) []placement.Decision
	Place(now time.Time, request placement.Request) placement.Decision
	End(now time.Time, token uint64, outcome placement.Outcome, elapsed time.Duration) []placement.Decision
	Advance(now time.Time) []placement.Decision
	NextDue() (time.Time, bool)
}

// Policy makes the scheduler of one run.
type Policy struct {
	name         string
	newScheduler func(s *Scenario, seed uint64) scheduler
}

// Name returns the name of the policy.
func (p *Policy) Name() string { return p.name }

// Policies returns the policies that are compared.
func Policies() []*Policy {
	return []*Policy{
		{name: "placement", newScheduler: func(s *Scenario, seed uint64) scheduler {
			burst := retryBurst * float64(s.endpoints) / 13
			return placement.New(rand.New(rand.NewPCG(seed, 99)), placement.NewBudget(retryRatio, burst, retryWindow, epoch), nil)
		}},
		{name: "least in flight", newScheduler: func(*Scenario, uint64) scheduler { return newLeastInFlight() }},
	}
}

// event is due at a time; events of the same time run in the order in which they were added.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replay is a running trace.
type replay struct {
	*trace
	scheduler scheduler
	random    *rand.Rand
	events    events
	sequence  int
	now       time.Duration
	token     uint64
	requests  map[uint64]*request // by the token of the present attempt
	running   []int               // attempts by endpoint
	result    *Result
}

type request struct {
	arrival
	current placement.Request
	retries int
	sheds   int
	granted bool
	last    placement.Outcome
}

func (r *replay) clock() time.Time { return epoch.Add(r.now) }

func (r *replay) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, event{at: r.now + d, sequence: r.sequence, run: run})
}

// Run plays a scenario at a load, relative to what its slots serve, and returns the result.
func Run(s *Scenario, p *Policy, load float64, seed uint64) *Result {
	t := newTrace(s, load, seed)
	r := &replay{
		trace: t, scheduler: p.newScheduler(s, seed), random: rand.New(rand.NewPCG(seed, 50)), requests: map[uint64]*request{},
		running: make([]int, s.endpoints), result: newResult(s),
	}
	r.register()
	for _, d := range s.disturbances {
		r.after(d.from, r.register)
		r.after(d.to, r.register)
	}
	for _, a := range t.arrivals {
		r.after(a.at, func() { r.arrive(a) })
	}
	r.advance()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	return r.result
}

// register passes the registered endpoints to the scheduler.
func (r *replay) register() {
	var list []placement.Endpoint
	for i := range r.endpoints {
		if !r.conditionAt(i, r.now).gone {
			list = append(list, placement.NewEndpoint(endpointID(i), "", "z"+strconv.Itoa(i%3), r.slots, time.Time{}))
		}
	}
	r.deliver(r.scheduler.SetEndpoints(r.clock(), list))
}

func (r *replay) advance() {
	r.deliver(r.scheduler.Advance(r.clock()))
	wait := 500 * time.Millisecond
	if due, waiting := r.scheduler.NextDue(); waiting {
		wait = max(10*time.Millisecond, min(wait, due.Sub(r.clock())))
	}
	if r.now < r.length+tail {
		r.after(wait, r.advance)
	}
}

func (r *replay) arrive(a arrival) {
	k := r.kinds[a.kind]
	r.result.arrived(k)
	q := &request{arrival: a, current: placement.Request{
		Zone: "z" + strconv.Itoa(r.random.IntN(3)), Repeatable: k.repeatable, Priority: k.priority,
		SoftDeadline: epoch.Add(a.at + k.aim), Deadline: epoch.Add(a.at + k.budget),
	}}
	r.place(q)
}

func (r *replay) place(q *request) {
	r.token++
	q.current.Token = r.token
	r.requests[r.token] = q
	r.deliver([]placement.Decision{r.scheduler.Place(r.clock(), q.current)})
}

func (r *replay) deliver(decisions []placement.Decision) {
	for _, d := range decisions {
		q, found := r.requests[d.Token]
		if !found {
			continue
		}
		switch d.Verdict {
		case placement.Refused:
			delete(r.requests, d.Token)
			r.refuse(q, d)
		case placement.Granted:
			if !q.granted {
				q.granted = true
				r.result.waited(r.now - q.at)
			}
			r.after(networkDelay, func() { r.attempt(q, d) })
		case placement.Queued:
		}
	}
}

// refuse ends a request that gets no endpoint.
func (r *replay) refuse(q *request, d placement.Decision) {
	cause := "refused: " + string(d.Reason)
	if q.granted {
		cause = "failed: " + q.last.String() + ", then " + string(d.Reason)
	} else {
		r.result.refusedAfter(r.now - q.at)
	}
	r.result.unserved(r.kinds[q.kind], cause, r.now)
}

func (r *replay) attempt(q *request, d placement.Decision) {
	i, err := strconv.Atoi(d.Endpoint.ID()[1:])
	if err != nil {
		panic(err)
	}
	began := r.now
	end := func(after time.Duration, o placement.Outcome) {
		r.after(after, func() { r.end(q, d, o, r.now-began) })
	}
	c := r.conditionAt(i, r.now)
	left := q.current.Deadline.Sub(r.clock())
	switch {
	case c.gone:
		end(networkDelay, placement.OutcomeUnreachable)
		return
	case r.random.Float64() < c.sheds || r.running[i] >= r.slots:
		end(networkDelay, placement.OutcomeShed)
		return
	case r.random.Float64() < c.errors && r.hangs:
		end(max(0, left), placement.OutcomeTimeout)
		return
	case !r.hangs && r.random.Float64() < c.errors:
		end(networkDelay, placement.OutcomeFailed)
		return
	}
	work, outcome := time.Duration(float64(q.work)*c.slowdown), placement.OutcomeServed
	if work > left {
		work, outcome = max(0, left), placement.OutcomeExpired
	}
	r.running[i]++
	r.after(work, func() { r.running[i]-- })
	end(work+networkDelay, outcome)
}

func (r *replay) end(q *request, d placement.Decision, o placement.Outcome, elapsed time.Duration) {
	k := r.kinds[q.kind]
	delete(r.requests, d.Token)
	freed := r.scheduler.End(r.clock(), d.Token, o, elapsed)
	defer func() { r.deliver(freed) }()
	if o == placement.OutcomeServed {
		r.result.served(k, r.now-q.at)
		return
	}
	q.last = o
	q.current.Retry, q.current.Rerouted = o != placement.OutcomeUnreachable, o == placement.OutcomeUnreachable
	again := k.repeatable && q.retries == 0 && !d.Surplus()
	if o == placement.OutcomeShed {
		q.sheds++
		again = q.sheds < maxSheds && !d.Surplus()
	}
	if !again && o != placement.OutcomeUnreachable || !r.clock().Before(q.current.Deadline) {
		r.result.unserved(k, "failed: "+o.String(), r.now)
		return
	}
	q.retries++
	q.current.Avoid = append(q.current.Avoid, d.Endpoint.ID())
	r.place(q)
}
