package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/once"
)

const (
	onceService   = "lager"
	onceRetention = 24 * time.Hour
	// onceBackendTime is how long the backend server works between claim and
	// settlement.
	onceBackendTime = 5 * time.Millisecond
	// onceQueueLimit bounds the operations queued for one partition.
	onceQueueLimit = 4096
)

var onceRates = []int{1, 10, 100, 1000} // bookings per second

// onceCommand measures the platform writes per booking and the latency that a
// claim adds, with one object per key and with batched partitions. It uses
// the decisions of package once and a simple group commit. The proxy's
// coordinator, which is internal to its module, also delays settlements
// behind claims and limits its write rate; its TestWriteRate measures that.
func onceCommand() *cli.Command {
	return &cli.Command{
		Name:  "once",
		Usage: "measure platform writes per booking and added latency of at-most-once claims",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "length of one run"},
			&cli.DurationFlag{Name: "call", Value: 3 * time.Millisecond, Usage: "duration of one platform call"},
			&cli.IntFlag{Name: "partitions", Value: 64, Usage: "number of partitions"},
			&cli.IntFlag{Name: "records", Value: 2000, Usage: "records that a filled partition holds at the start"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
		},
		Action: measureOnce,
	}
}

func measureOnce(ctx context.Context, command *cli.Command) error {
	callTime := command.Duration("call")
	count := command.Int("partitions")
	if count < 1 || callTime <= 0 || command.Duration("duration") <= 0 {
		return eris.New("partitions, call and duration must be greater than 0")
	}
	fmt.Printf("seed %d, %s per run, platform calls of %s, %d partitions\n",
		command.Uint64("seed"), command.Duration("duration"), callTime, count)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "bookings/s\tlayout\tbookings\trefused\twrites/booking\twrites/s\tclaim p50 ms\tclaim p99 ms")
	for _, rate := range onceRates {
		for _, layout := range []struct {
			name    string
			records int
			keyed   bool
		}{
			{"object per key", 0, true},
			{"partitions, empty", 0, false},
			{fmt.Sprintf("partitions, %d records each", command.Int("records")), command.Int("records"), false},
		} {
			var ledger onceLedger
			if layout.keyed {
				ledger = &keyedLedger{callTime: callTime}
			} else {
				l, err := newBatchedLedger(count, layout.records, callTime)
				if err != nil {
					return err
				}
				ledger = l
			}
			r := runBookings(ctx, ledger, rate, command.Duration("duration"), command.Uint64("seed"))
			ledger.close()
			if err := ctx.Err(); err != nil {
				return err
			}
			fmt.Fprintf(table, "%d\t%s\t%d\t%d\t%.2f\t%.0f\t%.1f\t%.1f\n", rate, layout.name, r.bookings, r.refused,
				float64(ledger.writes())/float64(max(r.bookings, 1)), float64(ledger.writes())/r.elapsed.Seconds(),
				r.percentile(50), r.percentile(99))
		}
	}
	return table.Flush()
}

// onceLedger records claims and outcomes.
type onceLedger interface {
	claim(once.ClaimRequest) bool
	settle(once.Settlement)
	writes() uint64
	close()
}

type onceRun struct {
	bookings, refused int
	elapsed           time.Duration
	claims            *hdrhistogram.Histogram // microseconds
}

func (r onceRun) percentile(p float64) float64 { return float64(r.claims.ValueAtQuantile(p)) / 1000 }

// runBookings starts bookings with exponentially distributed gaps until the
// duration is over, whether or not earlier ones have finished.
func runBookings(ctx context.Context, ledger onceLedger, rate int, duration time.Duration, seed uint64) onceRun {
	random := rand.New(rand.NewPCG(seed, uint64(rate)))
	r := onceRun{claims: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	var mu sync.Mutex
	var group sync.WaitGroup
	start := time.Now()
	for next := start; ; r.bookings++ {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
		if next.Sub(start) > duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		request := bookingRequest(seed, uint64(r.bookings))
		group.Go(func() {
			started := time.Now()
			granted := ledger.claim(request)
			elapsed := time.Since(started)
			mu.Lock()
			_ = r.claims.RecordValue(elapsed.Microseconds())
			if !granted {
				r.refused++
			}
			mu.Unlock()
			if !granted {
				return
			}
			time.Sleep(onceBackendTime)
			ledger.settle(bookingSettlement(request))
		})
	}
	group.Wait()
	r.elapsed = time.Since(start)
	return r
}

func bookingRequest(seed, number uint64) once.ClaimRequest {
	key := fmt.Sprintf("booking-%d-%d", seed, number)
	return once.ClaimRequest{
		Key:             once.NewKey(onceService, "", "graz", key),
		Fingerprint:     once.NewFingerprint("POST", "/reservations", []byte(key)),
		Claim:           once.NewClaimID("bench", number),
		Claimant:        "bench",
		RetentionMillis: onceRetention.Milliseconds(),
	}
}

func bookingSettlement(c once.ClaimRequest) once.Settlement {
	response := once.NewResponse(201, nil, []byte(`{"reserved":true}`))
	return once.Settlement{
		Key:             c.Key,
		Claim:           c.Claim,
		State:           once.StateAnswered,
		Response:        &response,
		RetentionMillis: c.RetentionMillis,
	}
}

// keyedLedger writes one object per key: each booking costs a creation and an
// update.
type keyedLedger struct {
	callTime time.Duration
	written  atomic.Uint64
	objects  sync.Map
}

func (l *keyedLedger) claim(c once.ClaimRequest) bool {
	time.Sleep(l.callTime)
	l.written.Add(1)
	_, exists := l.objects.LoadOrStore(c.Key, c)
	return !exists
}

func (l *keyedLedger) settle(s once.Settlement) {
	time.Sleep(l.callTime)
	l.written.Add(1)
	l.objects.Store(s.Key, s)
}

func (l *keyedLedger) writes() uint64 { return l.written.Load() }

func (l *keyedLedger) close() {}

// batchedLedger has one goroutine per partition. Each of its writes covers
// all operations that arrived during the previous write.
type batchedLedger struct {
	callTime time.Duration
	written  atomic.Uint64
	queues   []chan onceOperation
	group    sync.WaitGroup
}

// onceOperation is a claim or a settlement.
type onceOperation struct {
	claim      *once.ClaimRequest
	settlement *once.Settlement
	granted    chan bool
}

func newBatchedLedger(count, records int, callTime time.Duration) (*batchedLedger, error) {
	l := &batchedLedger{callTime: callTime}
	for i := range count {
		p, err := filledPartition(i, count, records)
		if err != nil {
			return nil, err
		}
		queue := make(chan onceOperation, onceQueueLimit)
		l.queues = append(l.queues, queue)
		l.group.Go(func() { l.serve(p, queue) })
	}
	return l, nil
}

func filledPartition(index, count, records int) (*once.Partition, error) {
	var batch once.Batch
	for i := range records {
		c := bookingRequest(1<<32+uint64(index), uint64(i))
		batch.Claims = append(batch.Claims, c)
	}
	result, err := once.NewPartition(onceService, index, count, nil).Apply(time.Now(), batch)
	if err != nil {
		return nil, err
	}
	var outcomes once.Batch
	for _, c := range batch.Claims {
		outcomes.Settlements = append(outcomes.Settlements, bookingSettlement(c))
	}
	result, err = result.Next.Apply(time.Now(), outcomes)
	return result.Next, err
}

func (l *batchedLedger) serve(p *once.Partition, queue chan onceOperation) {
	for first := range queue {
		operations := []onceOperation{first}
		for len(queue) > 0 {
			operations = append(operations, <-queue)
		}
		p = l.update(p, operations)
	}
}

func (l *batchedLedger) update(p *once.Partition, operations []onceOperation) *once.Partition {
	var batch once.Batch
	for _, o := range operations {
		if o.claim != nil {
			batch.Claims = append(batch.Claims, *o.claim)
		} else {
			batch.Settlements = append(batch.Settlements, *o.settlement)
		}
	}
	result, err := p.Apply(time.Now(), batch)
	if err == nil && result.Changed {
		_, err = result.Next.Encode()
		time.Sleep(l.callTime)
		l.written.Add(1)
	}
	claims := 0
	for _, o := range operations {
		if o.claim == nil {
			o.granted <- err == nil
			continue
		}
		o.granted <- err == nil && result.Claims[claims].Kind == once.DecisionGranted
		claims++
	}
	if err != nil {
		return p
	}
	return result.Next
}

func (l *batchedLedger) submit(key once.Key, o onceOperation) bool {
	o.granted = make(chan bool, 1)
	l.queues[once.PartitionOf(key, len(l.queues))] <- o
	return <-o.granted
}

func (l *batchedLedger) claim(c once.ClaimRequest) bool {
	return l.submit(c.Key, onceOperation{claim: &c})
}

func (l *batchedLedger) settle(s once.Settlement) {
	l.submit(s.Key, onceOperation{settlement: &s})
}

func (l *batchedLedger) writes() uint64 { return l.written.Load() }

func (l *batchedLedger) close() {
	for _, q := range l.queues {
		close(q)
	}
	l.group.Wait()
}
