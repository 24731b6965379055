package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

const (
	seed          = 20261204
	classDeadline = time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func spedition(names ...string) *config.Service {
	s := &config.Service{Name: "spedition", Classes: []config.Class{
		{Name: "prompt", Repeat: config.RepeatAllowed, DeadlineMillis: classDeadline.Milliseconds(), QueueLimit: 100},
	}}
	for _, name := range names {
		s.Endpoints = append(s.Endpoints, config.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "z", Slots: 2})
	}
	return s
}

func newDispatcher(s *config.Service) *Dispatcher {
	d := New("entry-1", "z", endpoint.NewSet(), rand.New(rand.NewPCG(seed, 0)))
	d.Configure(s)
	return d
}

func admit(t *testing.T, d *Dispatcher) (caller.Permit, time.Duration) {
	t.Helper()
	return d.Admit(t.Context(), "prompt", time.Now().Add(classDeadline))
}

// Guards against more concurrent attempts at an endpoint than it has slots.
func TestConcurrencyStaysWithinSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, rounds, slots = 20, 50, 4
		d := newDispatcher(spedition("a", "b"))
		var running, most, refused atomic.Int64
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				for range rounds {
					permit, _ := admit(t, d)
					if permit == nil {
						refused.Add(1)
						continue
					}
					if n := running.Add(1); n > most.Load() {
						most.Store(n)
					}
					time.Sleep(time.Millisecond) // fake time: the service time of the endpoint
					running.Add(-1)
					permit.Done(nil)
				}
			})
		}
		wait.Wait()
		require.Zero(t, refused.Load())
		require.EqualValues(t, slots, most.Load())
		require.Zero(t, d.waiting)
	})
}

// Guards against a request that waits beyond its deadline, and against a refusal
// without a time to retry after.
func TestWaitingEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(spedition("a"))
		for range 2 {
			permit, _ := admit(t, d)
			require.NotNil(t, permit)
		}
		started := time.Now()
		permit, retryAfter := admit(t, d)
		require.Nil(t, permit)
		require.LessOrEqual(t, time.Since(started), classDeadline+tickInterval)
		require.GreaterOrEqual(t, retryAfter, time.Second)
		require.Zero(t, d.waiting)
	})
}

// Guards against a cancelled request that stays in the queue.
func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(spedition("a"))
		first, _ := admit(t, d)
		second, _ := admit(t, d)
		require.NotNil(t, second)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		permit, _ := d.Admit(ctx, "prompt", time.Now().Add(classDeadline))
		require.Nil(t, permit)
		require.Zero(t, d.waiting)
		first.Done(nil)
		permit, _ = admit(t, d)
		require.NotNil(t, permit)
	})
}

// Guards against an ejection that outlasts the validity of the ledger copy, and against
// choosing an ejected or draining endpoint.
func TestEjectionEndsWithLedgerCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const validity = 300 * time.Millisecond
		d := newDispatcher(spedition("a", "b", "c"))
		d.SetAvailability([]string{"a"}, time.Now().Add(validity), []string{"b"}, nil, nil)
		chosen := func() map[string]bool {
			names := map[string]bool{}
			for range 50 {
				permit, _ := admit(t, d)
				require.NotNil(t, permit)
				names[permit.Endpoint()] = true
				permit.Done(nil)
			}
			return names
		}
		require.Equal(t, map[string]bool{"c": true}, chosen())
		time.Sleep(validity) // fake time
		require.Equal(t, map[string]bool{"a": true, "c": true}, chosen())
	})
}

// Guards against a burst of requests to a process that has just started.
func TestWarmUpLimitsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(spedition("a", "b"))
		d.SetAvailability(nil, time.Time{}, nil, nil, []string{"a"})
		busy := func() int { return d.InFlight()["a"] }
		var permits []caller.Permit
		for range 12 {
			permit, _ := admit(t, d)
			if permit == nil {
				break
			}
			permits = append(permits, permit)
			require.LessOrEqual(t, busy(), warmUpLimit)
		}
		for _, permit := range permits {
			permit.Done(nil)
		}
		d.SetAvailability(nil, time.Time{}, nil, nil, nil)
		require.Zero(t, busy())
	})
}

// Guards against losing waiting requests when the classes of a service change, and
// against a request that waits although an endpoint is available.
func TestWaitingRequestsSurviveReconfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(spedition("a"))
		first, _ := admit(t, d)
		second, _ := admit(t, d)
		admitted := make(chan caller.Permit, 1)
		go func() {
			permit, _ := admit(t, d)
			admitted <- permit
		}()
		synctest.Wait()
		changed := spedition("a")
		changed.Classes[0].QueueLimit = 7
		d.Configure(changed)
		freed := time.Now()
		first.Done(nil)
		require.NotNil(t, <-admitted)
		require.Zero(t, time.Since(freed))
		second.Done(nil)
		require.Zero(t, d.waiting)
	})
}

// Guards against retries beyond the budget, which would multiply the load on a failing
// service, and against a retry at the endpoint that just failed.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 400
		d := newDispatcher(spedition("a", "b"))
		retries := 0
		for range requests {
			permit, _ := admit(t, d)
			require.NotNil(t, permit)
			failed := permit.Endpoint()
			permit.Done(nil)
			if permit.Retry(t.Context(), false) {
				retries++
				require.NotEqual(t, failed, permit.Endpoint())
				permit.Done(nil)
			}
		}
		require.Positive(t, retries)
		require.LessOrEqual(t, retries, requests/10)
	})
}
