package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testClasses() []Class {
	return []Class{
		NewClass("browse", 1, 2*time.Second, 128, WithRepeatable()),
		NewClass("booking", 3, time.Second, 64),
		NewClass("prompt", 2, 400*time.Millisecond, 64, WithRepeatable(), WithHedge()),
	}
}

func newTestController(options ...Option) *Controller {
	return New(rand.New(rand.NewPCG(1, 1)), testClasses(), options...)
}

func admit(t require.TestingT, c *Controller, now time.Time, class string) Decision {
	d, err := c.Admit(now, class, time.Time{}, nil)
	require.NoError(t, err)
	return d
}

// Guards against starvation of the lowest class, and against lower classes that take
// more than one dispatch in 16 each.
func TestLowerClassesGetOneTurnInSixteen(t *testing.T) {
	for _, waiting := range [][]string{{"booking", "browse"}, {"booking", "prompt", "browse"}} {
		c := newTestController()
		counts := map[string]int{}
		for range 1600 {
			for _, class := range waiting {
				for c.Waiting(class) < 2 {
					require.True(t, admit(t, c, epoch, class).Admitted())
				}
			}
			ticket, _ := c.Next(epoch)
			counts[ticket.Class()]++
		}
		for _, class := range waiting[1:] {
			require.InDelta(t, 100, counts[class], 1, class)
		}
	}
}

// Guards against a booking that is refused while browsing requests fill the queues.
func TestLowestClassIsDisplacedFirst(t *testing.T) {
	c := newTestController(WithTotalLimit(4))
	for range 3 {
		require.True(t, admit(t, c, epoch, "browse").Admitted())
	}
	require.True(t, admit(t, c, epoch, "prompt").Admitted())
	newest := c.byName["browse"].waiting[2]

	refused := admit(t, c, epoch, "browse")
	require.False(t, refused.Admitted())
	require.Equal(t, ReasonQueueFull, refused.Reason())

	d := admit(t, c, epoch, "booking")
	require.True(t, d.Admitted())
	require.Len(t, d.Displaced(), 1)
	require.Same(t, newest, d.Displaced()[0].Ticket())
	require.Equal(t, ReasonDisplaced, d.Displaced()[0].Reason())
	require.GreaterOrEqual(t, d.Displaced()[0].RetryAfter(), time.Second)
}

// Guards against requests that are admitted although their deadline cannot be met,
// in particular with a caller deadline shorter than that of the class, and after
// the endpoints have stopped responding.
func TestRequestsThatCannotMeetDeadlineAreRefused(t *testing.T) {
	c := newTestController()
	now := epoch
	for range 64 {
		admit(t, c, now, "browse")
	}
	for range 40 { // one dispatch each 20 ms
		now = now.Add(20 * time.Millisecond)
		ticket, _ := c.Next(now)
		c.Done(now, ticket, OutcomeServed, 10*time.Millisecond)
	}
	require.Equal(t, 24, c.Waiting("browse")) // about 0.5 s of work
	require.True(t, admit(t, c, now, "browse").Admitted())

	for _, remaining := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond} {
		d, err := c.Admit(now, "browse", now.Add(remaining), nil)
		require.NoError(t, err)
		require.Equal(t, ReasonDeadline, d.Reason(), "the estimated wait of the lowest class is doubled")
		require.GreaterOrEqual(t, d.RetryAfter(), time.Second)
		require.Zero(t, d.RetryAfter()%time.Second)
	}
	require.True(t, admit(t, c, now, "booking").Admitted(), "higher classes do not wait for browsing")

	now = now.Add(1700 * time.Millisecond) // no dispatch since
	require.Equal(t, ReasonDeadline, admit(t, c, now, "browse").Reason())
	_, err := c.Admit(now, "unknown", time.Time{}, nil)
	require.ErrorIs(t, err, ErrUnknownClass)
}

// Guards against wait estimates of lower classes that use the dispatch rate of all
// classes, although the higher ones get nearly all dispatches.
func TestWaitEstimateUsesRateOfClass(t *testing.T) {
	c := newTestController()
	now := epoch
	for range 20 {
		admit(t, c, now, "browse")
	}
	for range 240 { // one dispatch each 10 ms, of which every 16th is browsing
		for c.Waiting("booking") < 2 {
			admit(t, c, now, "booking")
		}
		now = now.Add(10 * time.Millisecond)
		ticket, _ := c.Next(now)
		c.Done(now, ticket, OutcomeServed, 10*time.Millisecond)
	}
	require.Equal(t, 5, c.Waiting("browse")) // 0.8 s at its own dispatch rate
	d, err := c.Admit(now, "browse", now.Add(time.Second), nil)
	require.NoError(t, err)
	require.Equal(t, ReasonDeadline, d.Reason())
	require.True(t, admit(t, c, now, "browse").Admitted())
}

// Guards against unbounded queues and requeues, and against a dispatch that leaves
// too little time for the response.
func TestQueueAndRequeueBounds(t *testing.T) {
	c := newTestController()
	for range 64 {
		require.True(t, admit(t, c, epoch, "booking").Admitted())
	}
	require.Equal(t, ReasonQueueFull, admit(t, c, epoch, "booking").Reason())

	ticket, _ := c.Next(epoch)
	requeued := 0
	for c.Requeue(epoch, ticket) {
		requeued++
		ticket, _ = c.Next(epoch)
	}
	require.Equal(t, maxRequeues, requeued)

	for range 40 {
		ticket, _ = c.Next(epoch)
		c.Done(epoch, ticket, OutcomeServed, 50*time.Millisecond)
	}
	at, _ := c.NextExpiry()
	require.Equal(t, epoch.Add(950*time.Millisecond), at)
	require.Len(t, c.Expire(at), 23)
}

// Guards against waiting requests that get their refusal after the deadline, or not
// at all.
func TestExpireDropsAtDeadline(t *testing.T) {
	c := newTestController()
	ticket := admit(t, c, epoch, "prompt").Ticket()
	at, ok := c.NextExpiry()
	require.True(t, ok)
	require.Equal(t, ticket.Deadline(), at)
	require.Empty(t, c.Expire(at.Add(-time.Millisecond)))
	dropped := c.Expire(at)
	require.Len(t, dropped, 1)
	require.Same(t, ticket, dropped[0].Ticket())
	require.Equal(t, StateEnded, ticket.State())
	require.Empty(t, c.Expire(at))
	_, ok = c.Next(at)
	require.False(t, ok, "a dropped request must not run")
}

// Guards against retries that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	c := newTestController()
	var tickets []*Ticket
	for range 100 {
		admit(t, c, epoch, "browse")
		ticket, _ := c.Next(epoch)
		tickets = append(tickets, ticket)
	}
	booking := admit(t, c, epoch, "booking").Ticket()
	require.False(t, c.Retry(epoch, booking), "bookings are not repeatable")
	c.SetShedRatio(0.21, epoch.Add(time.Second))
	require.False(t, c.Retry(epoch, tickets[0]), "more than 20% are shed")
	allowed := 0
	for _, ticket := range tickets {
		if c.Retry(epoch.Add(time.Second), ticket) { // the shed ratio of the fleet is stale
			allowed++
		}
	}
	require.Equal(t, 10, allowed)
}

// Guards against hedges before the 95th percentile, several hedges of a request, and
// hedges of classes that do not allow them.
func TestHedgeAfterP95(t *testing.T) {
	c := newTestController()
	run := func(class string) *Ticket {
		admit(t, c, epoch, class)
		ticket, _ := c.Next(epoch)
		return ticket
	}
	_, ok := c.HedgeAt(run("prompt"))
	require.False(t, ok, "no samples")
	for i := range 100 {
		c.Done(epoch, run("prompt"), OutcomeServed, time.Duration(i+1)*time.Millisecond)
	}
	ticket := run("prompt")
	at, ok := c.HedgeAt(ticket)
	require.True(t, ok)
	require.InDelta(t, 95, at.Sub(epoch).Milliseconds(), 5)
	require.False(t, c.Hedge(at.Add(-time.Millisecond), ticket))
	require.True(t, c.Hedge(at, ticket))
	require.False(t, c.Hedge(at, ticket))
	require.False(t, c.Hedge(at.Add(time.Second), run("browse")))
}

// Guards against requests that are lost, ended twice or queued beyond the limits, in
// any sequence of calls.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(rand.New(rand.NewPCG(1, 1)), testClasses(), WithTotalLimit(8))
		now := epoch
		waiting, running := map[*Ticket]bool{}, map[*Ticket]bool{}
		checkDropped := func(dropped []Dropped) {
			for _, d := range dropped {
				if !waiting[d.Ticket()] || d.RetryAfter() < time.Second || d.Reason() == ReasonNone {
					t.Fatalf("dropped: %v, retry after %v", d.Reason(), d.RetryAfter())
				}
				delete(waiting, d.Ticket())
			}
		}
		anyRunning := func(t *rapid.T) *Ticket {
			for ticket := range running {
				return ticket
			}
			t.Skip("no request is running")
			return nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				sum := 0
				for _, q := range c.queues {
					sum += len(q.waiting)
				}
				if sum != c.waiting || sum != len(waiting) {
					t.Fatalf("%d in the queues, %d counted, %d expected", sum, c.waiting, len(waiting))
				}
			},
			"offer": func(t *rapid.T) {
				class := rapid.SampledFrom([]string{"booking", "prompt", "browse"}).Draw(t, "class")
				d := admit(t, c, now, class)
				checkDropped(d.Displaced())
				if d.Admitted() {
					waiting[d.Ticket()] = true
				} else if d.RetryAfter() < time.Second {
					t.Fatalf("retry after %v", d.RetryAfter())
				}
			},
			"next": func(t *rapid.T) {
				ticket, ok := c.Next(now)
				if ok != (len(waiting) > 0) || ok && !waiting[ticket] {
					t.Fatalf("Next returned %v with %d waiting", ok, len(waiting))
				}
				if ok {
					delete(waiting, ticket)
					running[ticket] = true
				}
			},
			"done": func(t *rapid.T) {
				ticket := anyRunning(t)
				outcome := Outcome(rapid.IntRange(1, 3).Draw(t, "outcome"))
				c.Done(now, ticket, outcome, 10*time.Millisecond)
				delete(running, ticket)
				if outcome == OutcomeShed && c.Requeue(now, ticket) {
					waiting[ticket] = true
				}
			},
			"withdraw": func(*rapid.T) {
				for ticket := range waiting {
					c.Cancel(ticket)
					delete(waiting, ticket)
					break
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				checkDropped(c.Expire(now))
				for ticket := range waiting {
					if !now.Before(ticket.Deadline()) {
						t.Fatalf("a request waits beyond its deadline")
					}
				}
			},
		})
	})
}
