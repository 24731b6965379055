package main

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/admission"
	"github.com/carawayhold/carawayhold/balance"
)

// The constants describe the service lager of the design page, section 1.1.
const (
	loadProxies   = 32
	loadEndpoints = 13
	loadSlots     = 4
	loadZones     = 3
	// loadServiceTime is the mean time for which an endpoint processes a
	// request.
	loadServiceTime = 20 * time.Millisecond
	// loadStages is the number of exponential times that a service time is the
	// sum of; with 4 the standard deviation is half of the mean.
	loadStages = 4
	// loadSameZone and loadOtherZone are one-way network delays.
	loadSameZone  = 200 * time.Microsecond
	loadOtherZone = 1500 * time.Microsecond
	// loadReportInterval is the time between load reports of a proxy.
	loadReportInterval = 500 * time.Millisecond
	// Requests that arrive during loadWarmUp are excluded from the results.
	loadWarmUp = 5 * time.Second
)

var loadEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// loadClass is a request class and its share of the offered load.
type loadClass struct {
	name     string
	priority int
	deadline time.Duration
	queue    int
	share    float64
}

func loadClasses(booking, prompt float64) []loadClass {
	return []loadClass{
		{name: "booking", priority: 3, deadline: time.Second, queue: 64, share: booking},
		{name: "prompt", priority: 2, deadline: 400 * time.Millisecond, queue: 64, share: prompt},
		{name: "browse", priority: 1, deadline: 2 * time.Second, queue: 128, share: 1 - booking - prompt},
	}
}

// loadPolicy is how the proxies and endpoints handle requests.
type loadPolicy struct {
	name string
	// roundRobin sends each request immediately to the next endpoint, without
	// classes or queues in the proxy.
	roundRobin bool
	// endpointQueue is the number of requests that an endpoint queues before
	// it sheds.
	endpointQueue int
}

// loadPolicies returns the compared policies. The long queue of the last one
// represents backend servers that queue what they cannot serve.
func loadPolicies(queue int) []loadPolicy {
	return []loadPolicy{
		{name: "carawayhold", endpointQueue: queue},
		{name: "round robin", roundRobin: true, endpointQueue: queue},
		{name: "round robin, long endpoint queues", roundRobin: true, endpointQueue: 256},
	}
}

// loadCommand measures goodput, shed rate and latency per class under
// overload.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "simulate lager at 0.5, 1, 2 and 4 times capacity with the real admission and balance code",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"},
			&cli.DurationFlag{Name: "length", Value: 30 * time.Second, Usage: "simulated time of each run after the warm-up"},
			&cli.FloatFlag{Name: "booking", Value: 0.05, Usage: "share of bookings in the offered load"},
			&cli.FloatFlag{Name: "prompt", Value: 0.15, Usage: "share of stock checks in the offered load"},
			&cli.IntFlag{Name: "queue", Value: 4, Usage: "requests that wait in an endpoint before it sheds"},
			&cli.StringFlag{Name: "plot", Usage: "file to write an SVG plot to"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return measureLoad(os.Stdout, c.Uint64("seed"), c.Duration("length"),
				loadClasses(c.Float("booking"), c.Float("prompt")), c.Int("queue"), c.String("plot"))
		},
	}
}

func measureLoad(
	out io.Writer, seed uint64, length time.Duration, classes []loadClass, queue int, plot string,
) error {
	capacity := float64(loadEndpoints*loadSlots) / loadServiceTime.Seconds()
	fmt.Fprintf(out, "seed %d, %v per run after %v warm-up, capacity %.0f requests/s\n\n", seed, length, loadWarmUp, capacity)
	fmt.Fprintln(out, "| load | policy | class | offered/s | goodput/s | goodput % | shed % | late % | p50 ms | p99 ms | refused after, p99 ms | slots busy % | attempts shed % |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var results []*loadSim
	for _, factor := range []float64{0.5, 1, 2, 4} {
		for _, policy := range loadPolicies(queue) {
			s := newLoadSim(seed, policy, classes, factor, factor*capacity, length)
			s.run()
			s.report(out)
			results = append(results, s)
		}
	}
	if plot == "" {
		return nil
	}
	return eris.Wrap(os.WriteFile(plot, []byte(loadPlot(results, loadPolicies(queue))), 0o644), "cannot write the plot")
}

type loadEvent struct {
	at    time.Time
	order uint64
	run   func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }

func (e loadEvents) Less(i, j int) bool {
	if order := e[i].at.Compare(e[j].at); order != 0 {
		return order < 0
	}
	return e[i].order < e[j].order
}

func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *loadEvents) Push(x any) { *e = append(*e, x.(loadEvent)) }

func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadSim is one run in virtual time.
type loadSim struct {
	policy  loadPolicy
	classes []loadClass
	factor  float64
	rate    float64
	length  time.Duration
	random  *rand.Rand

	now       time.Time
	end       time.Time
	queue     loadEvents
	order     uint64
	endpoints []*loadEndpoint
	proxies   []*loadProxy
	tallies   []loadTally
	busy      time.Duration // slot time used after the warm-up
	attempts  int
	refusals  int // attempts that an endpoint shed
}

// loadTally counts the requests of one class that arrived after the warm-up.
type loadTally struct {
	offered, good, shed, late int
	latencies                 []time.Duration // of good responses
	refusals                  []time.Duration // from arrival to refusal
}

type loadRequest struct {
	class    int
	arrived  time.Time
	deadline time.Time
	tried    []string
	ticket   *admission.Ticket
}

func newLoadSim(
	seed uint64, policy loadPolicy, classes []loadClass, factor, rate float64, length time.Duration,
) *loadSim {
	s := &loadSim{
		policy: policy, classes: classes, factor: factor, rate: rate, length: length,
		random: rand.New(rand.NewPCG(seed, 1)), now: loadEpoch,
		end:     loadEpoch.Add(loadWarmUp + length),
		tallies: make([]loadTally, len(classes)),
	}
	var described []balance.Endpoint
	for i := range loadEndpoints {
		e := &loadEndpoint{sim: s, name: fmt.Sprintf("lager-%d", i+1), zone: i % loadZones}
		s.endpoints = append(s.endpoints, e)
		described = append(described, balance.NewEndpoint(e.name, fmt.Sprint(e.zone), loadSlots))
	}
	for i := range loadProxies {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		p := &loadProxy{sim: s, zone: i % loadZones, next: random.IntN(loadEndpoints)}
		var admitted []admission.Class
		for _, c := range classes {
			admitted = append(admitted, admission.NewClass(c.name, c.priority, c.deadline, c.queue))
		}
		p.control = admission.New(random, admitted)
		p.pool = balance.NewPool(fmt.Sprint(p.zone), random, described...)
		p.pool.SetConnections(balance.ConnectionLimit(loadProxies))
		s.proxies = append(s.proxies, p)
	}
	return s
}

func (s *loadSim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, loadEvent{at: s.now.Add(d), order: s.order, run: run})
}

func (s *loadSim) run() {
	s.after(0, s.arrive)
	if !s.policy.roundRobin {
		s.after(loadReportInterval, s.shareLoad)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(loadEvent)
		s.now = e.at
		e.run()
	}
}

// arrive creates a request at a random proxy and schedules the next arrival.
func (s *loadSim) arrive() {
	if !s.now.Before(s.end) {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	r := &loadRequest{class: s.drawClass(), arrived: s.now}
	r.deadline = s.now.Add(s.classes[r.class].deadline)
	if s.counted(r) {
		s.tallies[r.class].offered++
	}
	s.proxies[s.random.IntN(loadProxies)].arrive(r)
}

func (s *loadSim) drawClass() int {
	point := s.random.Float64()
	for i, c := range s.classes {
		if point -= c.share; point < 0 {
			return i
		}
	}
	return len(s.classes) - 1
}

func (s *loadSim) counted(r *loadRequest) bool { return !r.arrived.Before(loadEpoch.Add(loadWarmUp)) }

func (s *loadSim) shed(r *loadRequest) {
	if s.counted(r) {
		s.tallies[r.class].shed++
		s.tallies[r.class].refusals = append(s.tallies[r.class].refusals, s.now.Sub(r.arrived))
	}
}

func (s *loadSim) served(r *loadRequest) {
	if !s.counted(r) {
		return
	}
	t := &s.tallies[r.class]
	if s.now.After(r.deadline) {
		t.late++
		return
	}
	t.good++
	t.latencies = append(t.latencies, s.now.Sub(r.arrived))
}

// shareLoad gives every proxy the in-flight counts of the others.
func (s *loadSim) shareLoad() {
	total := map[string]int{}
	counts := make([]map[string]int, len(s.proxies))
	for i, p := range s.proxies {
		counts[i] = p.pool.InFlight()
		for name, inFlight := range counts[i] {
			total[name] += inFlight
		}
	}
	for i, p := range s.proxies {
		for _, e := range s.endpoints {
			p.pool.SetPeersInFlight(e.name, total[e.name]-counts[i][e.name], s.now.Add(2*loadReportInterval))
		}
	}
	if s.now.Before(s.end) {
		s.after(loadReportInterval, s.shareLoad)
	}
}

// loadProxy uses the admission and balance packages as the real proxy does.
type loadProxy struct {
	sim     *loadSim
	zone    int
	next    int // of round robin
	control *admission.Controller
	pool    *balance.Pool
	wakeAt  time.Time
}

func (p *loadProxy) arrive(r *loadRequest) {
	if p.sim.policy.roundRobin {
		e := p.sim.endpoints[p.next]
		p.next = (p.next + 1) % loadEndpoints
		p.sim.after(delay(p.zone, e.zone), func() { e.receive(p, r) })
		return
	}
	decision, err := p.control.Admit(p.sim.now, p.sim.classes[r.class].name, time.Time{}, r)
	if err != nil || !decision.Admitted() {
		p.sim.shed(r)
		return
	}
	r.ticket = decision.Ticket()
	p.refuse(decision.Displaced())
	p.dispatch()
}

func (p *loadProxy) refuse(dropped []admission.Dropped) {
	for _, d := range dropped {
		p.sim.shed(d.Ticket().Value().(*loadRequest))
	}
}

// dispatch sends queued requests while an endpoint has capacity.
func (p *loadProxy) dispatch() {
	now := p.sim.now
	for p.pool.Available(now) {
		t, ok := p.control.Next(now)
		if !ok {
			return
		}
		r := t.Value().(*loadRequest)
		chosen, _ := p.pool.Pick(now, r.tried...)
		e := p.sim.endpoint(chosen.Name())
		p.sim.after(delay(p.zone, e.zone), func() { e.receive(p, r) })
	}
	p.schedule()
}

// schedule runs the proxy again when an endpoint becomes available or a
// request expires.
func (p *loadProxy) schedule() {
	at, ok := p.pool.NextOpen(p.sim.now)
	if expiry, waiting := p.control.NextExpiry(); waiting && (!ok || expiry.Before(at)) {
		at, ok = expiry, true
	}
	if !ok || p.control.Waiting("booking")+p.control.Waiting("prompt")+p.control.Waiting("browse") == 0 {
		return
	}
	if p.wakeAt.After(p.sim.now) && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	p.sim.after(max(0, at.Sub(p.sim.now)), func() {
		p.refuse(p.control.Expire(p.sim.now))
		p.dispatch()
	})
}

// complete handles the response of an endpoint.
func (p *loadProxy) complete(r *loadRequest, e *loadEndpoint, sent time.Time, shed bool) {
	s := p.sim
	if s.policy.roundRobin {
		if shed {
			s.shed(r)
		} else {
			s.served(r)
		}
		return
	}
	spent := s.now.Sub(sent)
	if shed {
		p.pool.Done(s.now, e.name, balance.ResultShed, spent)
		p.control.Done(s.now, r.ticket, admission.OutcomeShed, spent)
		r.tried = append(r.tried, e.name)
		if !p.control.Requeue(s.now, r.ticket) {
			s.shed(r)
		}
	} else {
		p.pool.Done(s.now, e.name, balance.ResultServed, spent)
		p.control.Done(s.now, r.ticket, admission.OutcomeServed, spent)
		s.served(r)
	}
	p.dispatch()
}

// loadEndpoint processes as many requests at a time as it has slots, and
// sheds requests while its queue is full.
type loadEndpoint struct {
	sim     *loadSim
	name    string
	zone    int
	running int
	waiting []func()
}

func (s *loadSim) endpoint(name string) *loadEndpoint {
	at := slices.IndexFunc(s.endpoints, func(e *loadEndpoint) bool { return e.name == name })
	return s.endpoints[at]
}

func (e *loadEndpoint) receive(p *loadProxy, r *loadRequest) {
	e.sim.attempts++
	back := delay(p.zone, e.zone)
	sent := e.sim.now.Add(-back)
	work := func() {
		e.running++
		service := e.sim.drawServiceTime()
		e.sim.countBusy(service)
		e.sim.after(service, func() {
			e.running--
			e.sim.after(back, func() { p.complete(r, e, sent, false) })
			e.startWaiting()
		})
	}
	switch {
	case e.running < loadSlots:
		work()
	case len(e.waiting) < e.sim.policy.endpointQueue:
		e.waiting = append(e.waiting, work)
	default:
		e.sim.refusals++
		e.sim.after(back, func() { p.complete(r, e, sent, true) })
	}
}

func (e *loadEndpoint) startWaiting() {
	if len(e.waiting) == 0 {
		return
	}
	work := e.waiting[0]
	e.waiting = e.waiting[1:]
	work()
}

func (s *loadSim) drawServiceTime() time.Duration {
	sum := 0.0
	for range loadStages {
		sum += s.random.ExpFloat64()
	}
	return time.Duration(sum / loadStages * float64(loadServiceTime))
}

func (s *loadSim) countBusy(service time.Duration) {
	if !s.now.Before(loadEpoch.Add(loadWarmUp)) && s.now.Before(s.end) {
		s.busy += service
	}
}

func delay(zoneA, zoneB int) time.Duration {
	if zoneA == zoneB {
		return loadSameZone
	}
	return loadOtherZone
}

// quantile returns a quantile in milliseconds, or a dash if there are no
// samples.
func quantile(samples []time.Duration, share float64) string {
	if len(samples) == 0 {
		return "–"
	}
	slices.SortFunc(samples, cmp.Compare[time.Duration])
	at := min(len(samples)-1, int(share*float64(len(samples))))
	return fmt.Sprintf("%.1f", samples[at].Seconds()*1000)
}

func (t *loadTally) percent(count int) float64 {
	return 100 * float64(count) / float64(max(1, t.offered))
}

func (s *loadSim) report(out io.Writer) {
	seconds := s.length.Seconds()
	busy := 100 * s.busy.Seconds() / (seconds * loadEndpoints * loadSlots)
	for i, c := range s.classes {
		t := &s.tallies[i]
		fmt.Fprintf(out, "| %.1f | %s | %s | %.0f | %.0f | %.1f | %.1f | %.1f | %s | %s | %s | %.0f | %.0f |\n",
			s.factor, s.policy.name, c.name, float64(t.offered)/seconds, float64(t.good)/seconds,
			t.percent(t.good), t.percent(t.shed), t.percent(t.late), quantile(t.latencies, 0.5), quantile(t.latencies, 0.99), quantile(t.refusals, 0.99), busy,
			100*float64(s.refusals)/float64(max(1, s.attempts)))
	}
}

// loadPlot draws the goodput percentage of each class over the load factor,
// one panel per policy.
func loadPlot(results []*loadSim, policies []loadPolicy) string {
	const panelWidth, panelHeight, margin, top = 260, 180, 46, 40
	colors := []string{"#1b6ca8", "#2a9d55", "#c0632b"}
	widths := []int{7, 4, 2} // lines of equal classes stay visible
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		len(policies)*(panelWidth+margin)+margin, panelHeight+top+70)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	for i, policy := range policies {
		left := margin + i*(panelWidth+margin)
		fmt.Fprintf(&b, `<text x="%d" y="22" font-weight="bold">%s</text>`+"\n", left, policy.name)
		for percent := 0; percent <= 100; percent += 25 {
			y := top + panelHeight*(100-percent)/100
			fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ddd"/><text x="%d" y="%d" text-anchor="end">%d%%</text>`+"\n",
				left, y, left+panelWidth, y, left-4, y+4, percent)
		}
		column := 0
		points := make([]string, len(colors))
		for _, s := range results {
			if s.policy != policy {
				continue
			}
			x := left + 20 + column*(panelWidth-40)/3
			fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">%.1f</text>`+"\n", x, top+panelHeight+16, s.factor)
			for c := range s.tallies {
				t := &s.tallies[c]
				y := float64(top) + float64(panelHeight)*(100-t.percent(t.good))/100
				points[c] += fmt.Sprintf("%d,%.1f ", x, y)
			}
			column++
		}
		for c := range points {
			fmt.Fprintf(&b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="%d"/>`+"\n", points[c], colors[c], widths[c])
		}
	}
	for c, class := range results[0].classes {
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="14" height="4" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n",
			margin+c*110, top+panelHeight+42, colors[c], margin+c*110+20, top+panelHeight+48, class.name)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d">goodput in %% of the offered requests, over load in multiples of the capacity</text>`+"\n",
		margin+340, top+panelHeight+48)
	b.WriteString("</svg>\n")
	return b.String()
}
