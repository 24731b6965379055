package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

const (
	latencyBackends  = 4
	latencySlots     = 64
	latencyBodyBytes = 1024
	// maxLatencyMicros is the greatest latency that the histograms record.
	maxLatencyMicros = 10_000_000
	// targetAddedMillis is the target for the added latency at p99, from
	// section 1.3 of the design page.
	targetAddedMillis = 1.4
)

// latencyVariants are the compared paths of a request: straight to a backend
// server, through a minimal proxy, and through carawayhold.
var latencyVariants = []string{"direct", "pass-through", "proxy"}

// latencyCommand compares the variants in alternating runs, with backend
// servers in this process.
func latencyCommand() *cli.Command {
	return &cli.Command{
		Name:  "latency",
		Usage: "compare direct calls, a plain pass-through and the proxy in alternating runs",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "rounds", Value: 15, Usage: "runs of each way"},
			&cli.DurationFlag{Name: "length", Value: time.Second, Usage: "length of one run"},
			&cli.IntFlag{Name: "rate", Value: 2000, Usage: "requests a second in the paced runs"},
			&cli.IntFlag{Name: "workers", Value: 16, Usage: "callers at the same time"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			m, err := newLatencyMeasurement(c.Int("workers"), c.Duration("length"))
			if err != nil {
				return err
			}
			defer m.close()
			fmt.Printf("rounds %d, length %s, workers %d\n\n", c.Int("rounds"), c.Duration("length"), c.Int("workers"))
			if err := m.measure(c.Int("rounds"), c.Int("rate")); err != nil {
				return err
			}
			return m.measure(c.Int("rounds"), 0)
		},
	}
}

// latencyMeasurement holds the servers and clients of all variants.
type latencyMeasurement struct {
	workers int
	length  time.Duration
	targets map[string][]string // base URLs by variant; direct calls choose in turn
	clients map[string]*http.Client
	servers []*http.Server
	proxy   *caller.Server
	set     *endpoint.Set
}

// latencySample is the result of one run.
type latencySample struct {
	p50, p99  float64 // milliseconds
	rate      float64 // requests a second
	cpuMicros float64 // microseconds of processor time per request, all parts
}

func newLatencyMeasurement(workers int, length time.Duration) (*latencyMeasurement, error) {
	m := &latencyMeasurement{
		workers: workers, length: length, set: endpoint.NewSet(),
		targets: map[string][]string{}, clients: map[string]*http.Client{},
	}
	body := []byte(strings.Repeat("x", latencyBodyBytes))
	var addresses []string
	for range latencyBackends {
		address, err := m.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Echo", r.Header.Get("X-Request-Id"))
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
		}))
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
		m.targets["direct"] = append(m.targets["direct"], "http://"+address)
	}
	address, err := m.serve(newPassThrough(addresses, workers))
	if err != nil {
		return nil, err
	}
	m.targets["pass-through"] = []string{"http://" + address}
	if err := m.startProxy(addresses); err != nil {
		return nil, err
	}
	for _, variant := range latencyVariants {
		m.clients[variant] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	}
	return m, nil
}

func (m *latencyMeasurement) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "cannot listen")
	}
	server := &http.Server{Handler: handler}
	m.servers = append(m.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// newPassThrough returns a minimal proxy over net/http: it forwards requests
// to the backend servers in turn and copies their responses.
func newPassThrough(addresses []string, workers int) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: workers}
	var mu sync.Mutex
	turn := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		turn++
		address := addresses[turn%len(addresses)]
		mu.Unlock()
		out := &http.Request{Method: r.Method, URL: r.URL, Header: r.Header, Body: r.Body, Host: r.Host}
		out.URL.Scheme, out.URL.Host = "http", address
		response, err := transport.RoundTrip(out.WithContext(r.Context()))
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		header := w.Header()
		for name, values := range response.Header {
			header[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// startProxy starts the complete request path except for the evidence
// recorder and the at-most-once coordinator, which repeatable requests don't
// use.
func (m *latencyMeasurement) startProxy(addresses []string) error {
	service := config.Service{
		Name: "lager", EchoHeader: "X-Echo",
		Routes:  []config.Route{{PathPrefix: "/", Class: "prompt"}},
		Classes: []config.Class{{Name: "prompt", Repeat: config.RepeatAllowed, DeadlineMillis: 5000, QueueLimit: 1000}},
	}
	for i, address := range addresses {
		service.Endpoints = append(service.Endpoints, config.Endpoint{
			Name: "lager-" + strconv.Itoa(i), Address: address, Zone: "zone-1", Slots: latencySlots,
		})
	}
	handler := caller.NewHandler(noCoordinator{}, noRecorder{}, zap.NewNop())
	handler.SetTable(caller.NewTable(1, []config.Service{service}, benchParts{clients: m.set}))
	m.proxy = caller.NewServer(handler, zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "cannot listen")
	}
	m.targets["proxy"] = []string{"http://" + listener.Addr().String()}
	go func() { _ = m.proxy.Serve(listener) }()
	return nil
}

type noCoordinator struct{}

func (noCoordinator) Claim(context.Context, *caller.Submission) (caller.Claim, once.Verdict) {
	return nil, once.Unknown(once.ReasonInvalid)
}

func (noCoordinator) Outcome(context.Context, *caller.Submission) once.Verdict {
	return once.Unknown(once.ReasonInvalid)
}

type noRecorder struct{}

func (noRecorder) Record(string, string, string, string, *endpoint.Result) {}

func (m *latencyMeasurement) close() {
	for _, c := range m.clients {
		c.CloseIdleConnections()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.proxy.Shutdown(ctx, time.Now())
	m.set.Close()
	for _, s := range m.servers {
		_ = s.Close()
	}
}

// measure runs all variants in turn and prints a table. The rate is in
// requests per second; 0 means as many as the workers can make.
func (m *latencyMeasurement) measure(rounds, rate int) error {
	samples := map[string][]latencySample{}
	for round := -1; round < rounds; round++ {
		for _, variant := range latencyVariants {
			s, err := m.run(variant, rate)
			if err != nil {
				return err
			}
			// Round -1 opens the connections and isn't counted.
			if round >= 0 {
				samples[variant] = append(samples[variant], s)
			}
		}
	}
	printLatency(samples, rate)
	return nil
}

// run makes requests of one variant for the length of a run.
func (m *latencyMeasurement) run(variant string, rate int) (latencySample, error) {
	histograms := make([]*hdrhistogram.Histogram, m.workers)
	errs := make([]error, m.workers)
	before := cpuTime()
	started := time.Now()
	until := started.Add(m.length)
	var wait sync.WaitGroup
	for i := range m.workers {
		histograms[i] = hdrhistogram.New(1, maxLatencyMicros, 3)
		wait.Go(func() { errs[i] = m.work(variant, i, rate, until, histograms[i]) })
	}
	wait.Wait()
	elapsed := time.Since(started)
	spent := cpuTime() - before
	all := hdrhistogram.New(1, maxLatencyMicros, 3)
	for i, h := range histograms {
		if errs[i] != nil {
			return latencySample{}, errs[i]
		}
		all.Merge(h)
	}
	count := float64(all.TotalCount())
	return latencySample{
		p50:       float64(all.ValueAtPercentile(50)) / 1000,
		p99:       float64(all.ValueAtPercentile(99)) / 1000,
		rate:      count / elapsed.Seconds(),
		cpuMicros: float64(spent.Microseconds()) / count,
	}, nil
}

func (m *latencyMeasurement) work(
	variant string, worker, rate int, until time.Time, histogram *hdrhistogram.Histogram,
) error {
	targets := m.targets[variant]
	var interval time.Duration
	if rate > 0 {
		interval = time.Second * time.Duration(m.workers) / time.Duration(rate)
	}
	next := time.Now().Add(interval * time.Duration(worker) / time.Duration(m.workers))
	for n := worker; ; n++ {
		time.Sleep(time.Until(next))
		next = next.Add(interval)
		started := time.Now()
		if started.After(until) {
			return nil
		}
		id := variant + "-" + strconv.Itoa(worker) + "-" + strconv.Itoa(n)
		if err := get(m.clients[variant], targets[n%len(targets)], id); err != nil {
			return eris.Wrap(err, variant)
		}
		_ = histogram.RecordValue(min(time.Since(started).Microseconds(), maxLatencyMicros))
	}
}

// get makes one request and checks that the response is complete and belongs
// to it.
func get(client *http.Client, target, id string) error {
	request, err := http.NewRequest(http.MethodGet, target+"/stock", nil)
	if err != nil {
		return err
	}
	request.Header.Set("X-Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || n != latencyBodyBytes || response.Header.Get("X-Echo") != id {
		return eris.Errorf("status %d with %d bytes for %s", response.StatusCode, n, response.Header.Get("X-Echo"))
	}
	return nil
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// printLatency prints medians over the rounds. Added values are medians of
// the differences within a round, which cancels slow phases of the machine.
func printLatency(samples map[string][]latencySample, rate int) {
	title := "as fast as possible"
	if rate > 0 {
		title = fmt.Sprintf("%d requests/s", rate)
	}
	fmt.Printf("%s:\n\n", title)
	fmt.Println("| way | p50 ms | p99 ms | added p50 ms | added p99 ms (least to most of the rounds) | requests/s | own requests/s per core |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	direct := samples["direct"]
	for _, variant := range latencyVariants {
		list := samples[variant]
		p50 := medianOf(list, func(i int) float64 { return list[i].p50 })
		p99 := medianOf(list, func(i int) float64 { return list[i].p99 })
		total := medianOf(list, func(i int) float64 { return list[i].rate })
		if variant == "direct" {
			fmt.Printf("| %s | %.3f | %.3f | | | %.0f | |\n", variant, p50, p99, total)
			continue
		}
		var added []float64
		for i := range list {
			added = append(added, list[i].p99-direct[i].p99)
		}
		slices.Sort(added)
		own := medianOf(list, func(i int) float64 { return list[i].cpuMicros - direct[i].cpuMicros })
		fmt.Printf("| %s | %.3f | %.3f | %.3f | %.3f (%.3f to %.3f) | %.0f | %.0f |\n", variant, p50, p99,
			medianOf(list, func(i int) float64 { return list[i].p50 - direct[i].p50 }),
			added[len(added)/2], added[0], added[len(added)-1], total, 1e6/own)
	}
	fmt.Printf("\ntarget: added p99 at most %.1f ms\n\n", targetAddedMillis)
}

func medianOf(list []latencySample, value func(i int) float64) float64 {
	values := make([]float64, len(list))
	for i := range list {
		values[i] = value(i)
	}
	slices.Sort(values)
	return values[len(values)/2]
}
