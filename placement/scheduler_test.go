package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// bench drives a scheduler step by step.
type bench struct {
	t     *testing.T
	s     *Scheduler
	now   time.Time
	token uint64
}

func newBench(t *testing.T, endpoints, slots int) *bench {
	t.Helper()
	b := &bench{t: t, now: epoch}
	b.s = New(rand.New(rand.NewPCG(1, 2)), NewBudget(0.2, 56, 10*time.Second, epoch), nil)
	b.s.SetEndpoints(b.now, b.endpoints(endpoints, slots))
	return b
}

func (b *bench) endpoints(n, slots int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, NewEndpoint(fmt.Sprintf("e%02d", i), "", "z", slots, time.Time{}))
	}
	return list
}

func (b *bench) ask() Request {
	b.token++
	return Request{Token: b.token, Zone: "z", Priority: 1, SoftDeadline: b.now.Add(1500 * time.Millisecond), Deadline: b.now.Add(3 * time.Second)}
}

func (b *bench) safe() Request {
	a := b.ask()
	a.Repeatable = true
	return a
}

// fail makes an endpoint suspected.
func (b *bench) fail(id string) {
	for range 2 {
		b.s.Observe(b.now, id, 0, OutcomeFailed)
	}
	require.GreaterOrEqual(b.t, b.s.seats[id].belief.value(b.now), suspected)
}

func (b *bench) place(a Request) Decision { return b.s.Place(b.now, a) }

// Work waits for an endpoint that is well rather than be lost at one that fails.
func TestWorkWaitsForEndpointsThatAreWell(t *testing.T) {
	b := newBench(t, 2, 2)
	b.fail("e01")
	for range 2 {
		require.Equal(t, "e00", b.place(b.ask()).Endpoint.ID())
	}
	require.Equal(t, Queued, b.place(b.ask()).Verdict)
	decisions := b.s.End(b.now, 1, OutcomeServed, 300*time.Millisecond)
	require.Len(t, decisions, 1)
	require.Equal(t, "e00", decisions[0].Endpoint.ID())
}

// An endpoint that fails at once is always free; it must not drain the queue while the
// others are busy, even if all are suspected.
func TestFailingEndpointDoesNotDrainTheQueue(t *testing.T) {
	b := newBench(t, 3, 1)
	for _, id := range []string{"e00", "e01"} {
		b.s.believe(b.now, b.s.seats[id], suspected+0.05)
	}
	b.fail("e02")
	b.fail("e02")
	require.NotEqual(t, "e02", b.place(b.ask()).Endpoint.ID())
	require.NotEqual(t, "e02", b.place(b.ask()).Endpoint.ID())
	require.Equal(t, Queued, b.place(b.ask()).Verdict)
	require.Empty(t, b.s.Advance(b.now))
	require.NotEmpty(t, b.s.End(b.now, 1, OutcomeServed, 300*time.Millisecond))
}

// Many views that decide without a hub would all test the same endpoint.
func TestNoTestLeavesSuspectedEndpointsAlone(t *testing.T) {
	b := newBench(t, 2, 4)
	b.fail("e01")
	b.now = b.now.Add(trialPause)
	b.s.believe(b.now, b.s.seats["e01"], 0.9)
	a := b.safe()
	a.NoProbe = true
	require.Equal(t, "e00", b.place(a).Endpoint.ID())
	require.Equal(t, "e01", b.place(b.safe()).Endpoint.ID())
}

// A waiting request takes a suspected endpoint before its time is over, unless that
// endpoint is known to fail: then it is refused, which is true, as not run.
func TestLastResort(t *testing.T) {
	cases := map[string]struct {
		failing float64
		verdict Verdict
	}{
		"may be well":    {lastResortRisk - 0.05, Granted},
		"known to fail":  {mostFailing, Refused},
		"just below":     {lastResortRisk - 0.001, Granted},
		"well above it ": {lastResortRisk + 0.1, Refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2, 1)
			b.fail("e01")
			b.place(b.ask())
			a := b.ask()
			a.Deadline = b.now.Add(time.Second)
			require.Equal(t, Queued, b.place(a).Verdict)
			due, waiting := b.s.NextDue()
			require.True(t, waiting)
			require.Empty(t, b.s.Advance(due.Add(-time.Millisecond)))
			b.s.believe(due, b.s.seats["e01"], c.failing)
			decisions := b.s.Advance(due)
			if c.verdict == Refused {
				require.Empty(t, decisions)
				decisions = b.s.Advance(a.Deadline.Add(-b.s.leastService() + time.Millisecond))
			}
			require.Len(t, decisions, 1)
			require.Equal(t, c.verdict, decisions[0].Verdict)
			if c.verdict == Granted {
				require.Equal(t, "e01", decisions[0].Endpoint.ID())
			}
		})
	}
}

// In an overload, requests that can no longer meet their aim are refused at once rather
// than wait behind others until their deadline.
func TestLateRequestsAreRefusedInAnOverload(t *testing.T) {
	const pause = 10 * time.Millisecond
	b := newBench(t, 4, 4)
	refused := map[uint64]time.Duration{}
	asked := map[uint64]time.Time{}
	take := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Verdict == Refused {
				refused[d.Token] = b.now.Sub(asked[d.Token])
			}
		}
	}
	ends := map[uint64]time.Time{}
	for range 600 { // 100 requests a second at 16 slots of 300 ms
		b.now = b.now.Add(pause)
		for token := range b.s.grants {
			if _, found := ends[token]; !found {
				ends[token] = b.now.Add(firstServiceTime)
			}
			if !ends[token].After(b.now) {
				take(b.s.End(b.now, token, OutcomeServed, firstServiceTime))
			}
		}
		a := b.ask()
		asked[a.Token] = b.now
		take([]Decision{b.place(a)})
		take(b.s.Advance(b.now))
	}
	require.NotEmpty(t, refused)
	for token, waited := range refused {
		require.Less(t, waited, 1500*time.Millisecond, token)
	}
	for token := range b.s.waiting {
		require.Less(t, b.now.Sub(asked[token]), 1500*time.Millisecond)
	}
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 1, 1)
	b.place(b.ask())
	queued, refused := 0, 0
	for range 40 {
		d := b.place(b.ask())
		switch d.Verdict {
		case Queued:
			queued++
		case Refused:
			refused++
			require.Equal(t, ReasonNoTime, d.Reason)
			require.Positive(t, d.RetryAfter)
		}
	}
	require.Positive(t, refused)
	require.LessOrEqual(t, time.Duration(queued)*firstServiceTime, 3*time.Second)
}

func TestNoEndpoint(t *testing.T) {
	b := newBench(t, 0, 0)
	d := b.place(b.ask())
	require.Equal(t, Refused, d.Verdict)
	require.Equal(t, ReasonNoEndpoint, d.Reason)
}

// Requests that can still meet their aim go before those that cannot, so that an
// overload does not make every response late.
func TestRequestsThatMeetTheirAimGoFirst(t *testing.T) {
	b := newBench(t, 1, 1)
	b.place(b.ask())
	late := b.ask()
	late.SoftDeadline = b.now.Add(100 * time.Millisecond)
	require.Equal(t, Queued, b.place(late).Verdict)
	require.Equal(t, Queued, b.place(b.ask()).Verdict)
	decisions := b.s.End(b.now, 1, OutcomeServed, 300*time.Millisecond)
	require.Equal(t, uint64(3), decisions[0].Token)
}

func TestUrgentRequestsGoFirstAndNoneStarves(t *testing.T) {
	b := newBench(t, 1, 1)
	b.place(b.ask())
	low := b.ask()
	low.Priority = 2
	low.Deadline = b.now.Add(time.Minute)
	require.Equal(t, Queued, b.place(low).Verdict)
	served := b.s.served
	for len(b.s.waiting) > 0 && b.s.served < served+2*lowestShare {
		urgent := b.ask()
		urgent.Priority = 0
		b.place(urgent)
		for token := range b.s.grants {
			b.s.End(b.now, token, OutcomeServed, 300*time.Millisecond)
			break
		}
		if _, granted := b.s.grants[low.Token]; granted {
			return
		}
	}
	t.Fatal("the request of the lowest rank got no slot")
}

// A repeatable request tests a suspected endpoint only if another has a free slot.
func TestTrials(t *testing.T) {
	b := newBench(t, 2, 1)
	b.fail("e01")
	b.now = b.now.Add(trialPause)
	require.Equal(t, "e00", b.place(b.ask()).Endpoint.ID(), "an unsafe request makes no trial")
	require.Equal(t, Queued, b.place(b.safe()).Verdict, "no room for a second attempt")
	b.s.withdraw(2)
	b.s.End(b.now, 1, OutcomeServed, 300*time.Millisecond)
	require.Equal(t, "e01", b.place(b.safe()).Endpoint.ID())
	b.s.End(b.now, b.token, OutcomeFailed, time.Millisecond)
	require.Equal(t, "e00", b.place(b.safe()).Endpoint.ID(), "the next trial waits")
}

// Endpoints without repeatable requests are tested under pressure, after a pause.
func TestSuspectsAreTestedUnderPressure(t *testing.T) {
	b := newBench(t, 2, 4)
	b.fail("e01")
	for range 4 {
		b.place(b.ask())
	}
	waits := b.ask()
	waits.SoftDeadline, waits.Deadline = b.now, b.now.Add(sacrificePause+3*time.Second)
	require.Equal(t, Queued, b.place(waits).Verdict)
	b.now = b.now.Add(sacrificePause)
	b.s.belief(t, "e01", b.now)
	require.Equal(t, "e01", b.place(b.ask()).Endpoint.ID())
}

// belief makes sure that an endpoint is still suspected.
func (s *Scheduler) belief(t *testing.T, id string, now time.Time) {
	t.Helper()
	require.GreaterOrEqual(t, s.seats[id].belief.value(now), suspected)
}

func TestNewEndpointGetsWorkSoon(t *testing.T) {
	b := newBench(t, 3, 4)
	for range 200 {
		b.place(b.safe())
		b.s.End(b.now, b.token, OutcomeServed, 100*time.Millisecond)
		b.now = b.now.Add(20 * time.Millisecond)
	}
	b.s.SetEndpoints(b.now, b.endpoints(4, 4))
	// The platform's bound for endpoints that join.
	until := b.now.Add(4 * time.Second)
	for b.now.Before(until) {
		d := b.place(b.safe())
		if d.Endpoint.ID() == "e03" {
			return
		}
		b.s.End(b.now, d.Token, OutcomeServed, 100*time.Millisecond)
		b.now = b.now.Add(50 * time.Millisecond)
	}
	t.Fatal("the new endpoint got no work")
}

// While many requests fail, suspected endpoints are tested too, so that no part of a
// service stays without work.
func TestSuspectsAreTestedInDistress(t *testing.T) {
	b := newBench(t, 4, 4)
	b.fail("e03")
	for step := range 300 {
		d := b.place(b.ask())
		o := OutcomeServed
		if step%5 == 0 {
			o = OutcomeFailed
		}
		if d.Endpoint.ID() == "e03" {
			require.GreaterOrEqual(t, b.now.Sub(epoch), distressPause)
			return
		}
		b.s.End(b.now, d.Token, o, 20*time.Millisecond)
		b.now = b.now.Add(10 * time.Millisecond)
	}
	t.Fatal("the suspected endpoint got no work")
}

// Every endpoint that is not suspected has work within two seconds, the platform's
// bound for the share of endpoints in use, whenever it applies: in distress, or if a
// request can be sent again from an endpoint that fails.
func TestAllEndpointsStayInUse(t *testing.T) {
	cases := map[string]struct{ repeatable, failures int }{ // one in so many
		"some can be sent again":    {repeatable: 4},
		"none can, many fail":       {failures: 5},
		"some can, many fail":       {repeatable: 4, failures: 5},
		"most can, and all is well": {repeatable: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 12, 4)
			for range 20 {
				b.s.Observe(b.now, "e00", 0, OutcomeServed)
			}
			last := map[string]time.Time{}
			for step := range 400 {
				a := b.ask()
				a.Repeatable = c.repeatable > 0 && step%c.repeatable == 0
				d := b.place(a)
				last[d.Endpoint.ID()] = b.now
				b.now = b.now.Add(20 * time.Millisecond)
				o := OutcomeServed
				if c.failures > 0 && step%c.failures == 0 {
					o = OutcomeFailed
				}
				b.s.End(b.now, d.Token, o, 20*time.Millisecond)
				if step < 200 {
					continue
				}
				for id, seat := range b.s.seats {
					if seat.belief.value(b.now) < suspected {
						require.Less(t, b.now.Sub(last[id]), 2*time.Second, id)
					}
				}
			}
		})
	}
}

// While all is well, requests that must not repeat stay with endpoints that have just
// served, so that a bad spell of an idle one harms nobody, but with no fewer than the
// platform asks for: a burst of failures finds the endpoints in use as the calm before
// left them, and there is no time to draw others in. Without the lower bound, a service
// without other requests broke the rule on a standard day.
func TestOnceRequestsStayWithProvenEndpoints(t *testing.T) {
	const endpoints, floorShare = 20, 0.7
	b := newBench(t, endpoints, 4)
	last := map[string]time.Time{}
	most := 0
	for step := range 600 {
		d := b.place(b.ask())
		last[d.Endpoint.ID()] = b.now
		b.now = b.now.Add(20 * time.Millisecond)
		b.s.End(b.now, d.Token, OutcomeServed, 20*time.Millisecond)
		if step < 200 {
			continue
		}
		used := 0
		for _, at := range last {
			if b.now.Sub(at) <= 2*time.Second {
				used++
			}
		}
		require.GreaterOrEqual(t, float64(used), floorShare*endpoints, "step %d", step)
		most = max(most, used)
	}
	require.LessOrEqual(t, float64(most), (1-neglectedShare)*endpoints)
}

// The platform's rule counts only endpoints without a disturbance, which a proxy cannot
// tell from others: if much is lost, suspected endpoints are tested although most
// endpoints have work.
func TestSuspectsAreTestedWhenMuchIsLost(t *testing.T) {
	b := newBench(t, 20, 4)
	suspects := []string{"e18", "e19"}
	for _, id := range suspects {
		b.fail(id)
	}
	began := b.now
	tested := map[string]bool{}
	for step := 0; b.now.Sub(began) < 2*time.Second; step++ {
		d := b.place(b.ask())
		if d.Verdict == Granted && b.now.Sub(began) > 0 {
			tested[d.Endpoint.ID()] = true
		}
		b.now = b.now.Add(5 * time.Millisecond)
		o := OutcomeServed
		if step%4 == 0 {
			o = OutcomeTimeout
		}
		b.s.End(b.now, d.Token, o, 20*time.Millisecond)
		// Failures elsewhere do not make more endpoints suspected.
		for id, seat := range b.s.seats {
			if id != suspects[0] && id != suspects[1] {
				b.s.believe(b.now, seat, leastFailing)
			}
		}
	}
	for _, id := range suspects {
		require.True(t, tested[id], id)
	}
}

// In distress, requests that must not repeat test suspected endpoints only if too many
// endpoints have no work.
func TestNeglectedEndpoints(t *testing.T) {
	b := newBench(t, 10, 4)
	require.True(t, b.s.neglected(b.now))
	for range 10 {
		b.place(b.ask())
	}
	require.False(t, b.s.neglected(b.now.Add(neglectedAfter)))
}

func TestOverdueAttemptsCountBeforeTheyEnd(t *testing.T) {
	b := newBench(t, 2, 4)
	d := b.place(b.ask())
	b.place(b.ask())
	b.now = b.now.Add(overdueFactor*firstServiceTime + time.Millisecond)
	b.s.refresh(b.now)
	require.GreaterOrEqual(t, b.s.seats[d.Endpoint.ID()].risk, suspected)
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	b := newBench(t, 2, 1)
	require.Empty(t, b.s.SetEndpoints(b.now, b.endpoints(1, 1)))
	require.Equal(t, "e00", b.place(b.ask()).Endpoint.ID())
	require.Equal(t, Queued, b.place(b.ask()).Verdict)
}

// A view that takes over counts the attempts that another one has placed, once each.
func TestTakenOverAttemptsCountOnce(t *testing.T) {
	b := newBench(t, 1, 2)
	a := b.ask()
	a.Proxy = "p"
	require.Equal(t, Granted, b.place(a).Verdict)
	held := b.s.InFlight("p")
	require.Equal(t, []Attempt{{Token: a.Token, Endpoint: "e00", Since: b.now, Deadline: a.Deadline}}, held)
	require.Empty(t, b.s.InFlight("q"))
	next := newBench(t, 1, 2)
	for range 2 {
		next.s.Begin(held[0].Since, Request{Token: held[0].Token, Proxy: "p", Deadline: held[0].Deadline}, held[0].Endpoint)
	}
	require.Equal(t, 1, next.s.Stats(next.now).InFlight)
	next.s.End(next.now, a.Token, OutcomeServed, time.Second)
	require.Zero(t, next.s.Stats(next.now).InFlight)
}

func TestAttemptsOfLostProxiesEnd(t *testing.T) {
	b := newBench(t, 1, 1)
	b.place(b.ask())
	b.now = b.now.Add(2 * time.Second)
	require.Equal(t, Queued, b.place(b.ask()).Verdict)
	b.now = b.now.Add(time.Second + grantSlack + time.Millisecond)
	require.NotEmpty(t, b.s.Advance(b.now))
}

// An endpoint's own time-out at a short deadline is no evidence against it.
func TestExpiredIsNoEvidence(t *testing.T) {
	b := newBench(t, 1, 4)
	d := b.place(b.ask())
	before := b.s.seats["e00"].belief.value(b.now)
	b.s.End(b.now, d.Token, OutcomeExpired, 300*time.Millisecond)
	require.Equal(t, before, b.s.seats["e00"].belief.value(b.now))
}

// The repeats of a service that several hubs place in turn stay within the budget of
// one, because each begins without the burst.
func TestBudgetHoldsWhileHubsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			window = 10 * time.Second
			burst  = 20
			ratio  = 0.2
		)
		hubs := make([]*Budget, 3)
		for i := range hubs {
			hubs[i] = NewBudget(ratio, burst, window, epoch)
		}
		now, owner := epoch, 0
		var repeats, requests []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch next := rapid.IntRange(0, 60).Draw(t, "action"); {
			case next < len(hubs) && next != owner:
				owner = next
				hubs[owner].Restart(now)
			case next%2 == 0:
				hubs[owner].Request(now)
				requests = append(requests, now)
			case hubs[owner].Allow(now):
				repeats = append(repeats, now)
			}
		}
		count := func(list []time.Time, end time.Time, length time.Duration) float64 {
			n := 0.0
			for _, at := range list {
				if age := end.Sub(at); age >= 0 && age < length {
					n++
				}
			}
			return n
		}
		// Windows of the budget move in steps of a bucket.
		const step = window / budgetBuckets
		for _, end := range repeats {
			if n := count(repeats, end, window-step); n > ratio*count(requests, end, 2*window)+burst {
				t.Fatalf("%v repeats", n)
			}
		}
	})
}

// In any window of the budget, repeats are at most the ratio of the requests that
// count for it and the burst.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		budget := NewBudget(0.2, 20, window, epoch)
		type entry struct {
			at     time.Time
			repeat bool
		}
		var log []entry
		now := epoch
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				budget.Request(now)
				log = append(log, entry{at: now})
				continue
			}
			if budget.Allow(now) {
				log = append(log, entry{at: now, repeat: true})
			}
		}
		for _, last := range log {
			requests, repeats := 0, 0
			for _, e := range log {
				if age := last.at.Sub(e.at); age >= 0 && age < window-window/budgetBuckets {
					if e.repeat {
						repeats++
					}
				}
				// The rule counts requests of the window or of one half a window before.
				if age := last.at.Sub(e.at); age >= 0 && age < window+window/budgetBuckets && !e.repeat {
					requests++
				}
			}
			if float64(repeats) > 0.2*float64(requests)+20 {
				t.Fatalf("%d repeats for %d requests", repeats, requests)
			}
		}
	})
}

// The messages about one attempt are handled at the same time: an end may come before its
// ask, or before the attempts that are handed over. Neither may keep a slot until the
// deadline.
func TestEndsThatOvertake(t *testing.T) {
	cases := map[string]func(b *bench, a Request){
		"the ask":                    func(b *bench, a Request) { require.Equal(b.t, Refused, b.place(a).Verdict) },
		"an attempt handed over":     func(b *bench, a Request) { b.s.Begin(b.now, a, "e00") },
		"a copy of the ask":          func(b *bench, a Request) { b.place(a); b.place(a) },
		"a copy after a memory turn": func(b *bench, a Request) { b.now = b.now.Add(endedMemory); b.place(a) },
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, 1)
			a := b.ask()
			b.s.End(b.now, a.Token, OutcomeNone, 0)
			late(b, a)
			require.Equal(t, Granted, b.place(b.ask()).Verdict)
		})
	}
}

// A request that waits here while its proxy has placed it alone and hands it over is one
// attempt.
func TestWaitingRequestThatIsHandedOver(t *testing.T) {
	b := newBench(t, 1, 1)
	b.place(b.ask())
	a := b.ask()
	require.Equal(t, Queued, b.place(a).Verdict)
	b.s.Begin(b.now, a, "e00")
	require.Empty(t, b.s.waiting)
	require.Equal(t, Queued, b.place(b.ask()).Verdict)
	b.s.End(b.now, 1, OutcomeServed, 0)
	require.Len(t, b.s.End(b.now, a.Token, OutcomeServed, 0), 1)
}

// Ended attempts are forgotten: what is remembered does not grow with the time.
func TestEndedAttemptsAreForgotten(t *testing.T) {
	var remembered tokens
	now := epoch
	for token := range uint64(1000) {
		remembered.add(now, token)
		require.True(t, remembered.has(token))
		now = now.Add(endedMemory / 100)
		require.LessOrEqual(t, len(remembered.young)+len(remembered.old), 200)
	}
	require.False(t, remembered.has(0))
	remembered.add(now.Add(time.Hour), 1000)
	require.Len(t, remembered.young, 1)
	require.Empty(t, remembered.old)
}
