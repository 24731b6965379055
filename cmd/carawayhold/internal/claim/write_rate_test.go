package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/carawayhold/carawayhold/once"
)

var measureFlag = flag.Bool("measure", false, "print the writes per booking and the latency of claims at more rates")

// Guards against updates that exceed the write rate, claims that the limiter
// delays by more than maxWriteDelay, and claims that it still delays after the
// load has ended. Runs in a synctest bubble with platform calls of 3 ms, so that
// the figures do not depend on the machine. -measure adds rates.
func TestWriteRate(t *testing.T) {
	const partitions = 64
	seconds := 2
	rates := []int{1000}
	if *measureFlag {
		seconds = 10
		rates = []int{1, 10, 100, 1000}
	}
	for _, bookings := range rates {
		for _, writeRate := range []float64{0, 50, 300} {
			withCoordinator(t, func(t *testing.T, ctx context.Context, c *Coordinator, _ *memoryStore) {
				c.SetWriteRate(writeRate)
				began := time.Now()
				latencies := book(ctx, c, bookings, partitions, time.Duration(seconds)*time.Second)
				if err := c.Flush(ctx); err != nil {
					t.Error(err)
				}
				writes := float64(c.Stats().Updates)
				worst := latencies[len(latencies)-1]
				if limit := maxWriteDelay + 20*time.Millisecond; worst > limit {
					t.Errorf("a claim took %s, want at most %s", worst, limit)
				}
				// Every partition may exceed the rate with one update per maxWriteDelay.
				elapsed := time.Since(began).Seconds()
				time.Sleep(time.Second)
				began = time.Now()
				if _, verdict := c.Claim(ctx, submissionOf("after the load", false)); time.Since(began) > 10*time.Millisecond {
					t.Errorf("a claim after the load ended took %s: %s", time.Since(began), verdict.Reason())
				}
				limit := writeBurst + elapsed*max(writeRate, partitions/maxWriteDelay.Seconds())
				if writeRate > 0 && writes > limit {
					t.Errorf("%.0f writes, want at most %.0f", writes, limit)
				}
				fmt.Printf("%4d bookings/s, write rate %3.0f/s: %.2f writes/booking, %4.0f writes/s, claim p50 %s p99 %s worst %s\n",
					bookings, writeRate, writes/float64(len(latencies)), writes/elapsed,
					latencies[len(latencies)/2].Round(100*time.Microsecond),
					latencies[len(latencies)*99/100].Round(100*time.Microsecond), worst.Round(100*time.Microsecond))
			})
		}
	}
}

// book makes bookings at exponentially distributed intervals and returns the
// sorted latencies of their claims.
func book(ctx context.Context, c *Coordinator, perSecond, partitions int, duration time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(*seedFlag, uint64(perSecond)))
	var mu sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		group.Go(func() {
			began := time.Now()
			s := submissionOf(fmt.Sprint(i), false)
			s.Service.Partitions = partitions
			ticket, _ := c.Claim(ctx, s)
			mu.Lock()
			latencies = append(latencies, time.Since(began))
			mu.Unlock()
			if ticket != nil && ticket.BeginSend() == nil {
				time.Sleep(5 * time.Millisecond)
				c.Settle(ticket, Answered(once.NewResponse(201, nil, []byte(`{"reserved":true}`))))
			}
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies
}
