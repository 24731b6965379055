package detection

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

const (
	refreshInterval = 2 * time.Second
	// Every noticeLossInterval-th notice of a ledger write is lost. The proxy
	// then reads the ledger at its next refresh.
	noticeLossInterval = 100
	requestClass       = "browse"
)

// fleet is a fleet of 32 proxies with the real recorders, latency baselines,
// evaluator, local weights and ledger. Only one evaluator is simulated, since
// the second would compete with it for the same write. The platform responds
// within one tick.
type fleet struct {
	service        service
	endpoints      []string
	index          map[string]int
	pool           ejection.Pool
	proxies        []*fleetProxy
	probers        []outlier.Prober
	evaluator      *outlier.Evaluator
	stored         ejection.Ledger
	version        int64
	writes         int
	ejectionCounts []float64
	ledgerWritten  bool // the ledger was written in the last step
	firstError     error
}

type fleetProxy struct {
	name            string
	recorder        *outlier.Recorder
	latencyBaseline *outlier.LatencyBaseline
	local           *outlier.LocalWeights
	view            *ejection.View
	phase           int
	weights         map[string]float64
	ejected         []bool
}

func newFleet(s service, w config.Weighting, seed uint64) *fleet {
	rng := rand.New(rand.NewPCG(seed, 2))
	f := &fleet{
		service: s, endpoints: s.names(), index: make(map[string]int),
		evaluator:      outlier.NewEvaluator(w),
		stored:         ejection.Ledger{Service: s.name},
		ejectionCounts: make([]float64, s.endpoints),
	}
	for i, e := range f.endpoints {
		f.index[e] = i
	}
	f.pool = ejection.NewPool(1, s.floor, f.endpoints)
	for i := range proxyCount {
		name, zone := fmt.Sprintf("entry-%02d", i), fmt.Sprintf("zone-%d", i%zoneCount)
		f.probers = append(f.probers, outlier.Prober{Name: name, Zone: zone})
		f.proxies = append(f.proxies, &fleetProxy{
			name: name, recorder: outlier.NewRecorder(name, zone),
			latencyBaseline: outlier.NewLatencyBaseline(), local: outlier.NewLocalWeights(w),
			view: ejection.NewView(s.name), phase: rng.IntN(int(refreshInterval / tick)),
			ejected: make([]bool, s.endpoints),
		})
	}
	return f
}

func (f *fleet) weight(proxy, endpoint int) float64 {
	p := f.proxies[proxy]
	if p.ejected[endpoint] {
		return 0
	}
	if w, ok := p.weights[f.endpoints[endpoint]]; ok {
		return w
	}
	return 1
}

func (f *fleet) ejected(proxy, endpoint int) bool { return f.proxies[proxy].ejected[endpoint] }

func (f *fleet) ejections() []float64 { return f.ejectionCounts }

func (f *fleet) observe(a attempt, r result, now time.Time) {
	p, name := f.proxies[a.proxy], f.endpoints[a.endpoint]
	k := r.kind
	if k == outlier.KindOK && p.latencyBaseline.Observe(requestClass, name, r.latency, now) {
		k = outlier.KindSlow
	}
	p.recorder.Record(f.service.name, name, r.generation, k)
}

func (f *fleet) observeProbe(a attempt, r result, _ time.Time) {
	p, name := f.proxies[a.proxy], f.endpoints[a.endpoint]
	ok := r.kind == outlier.KindOK
	if limit, known := p.latencyBaseline.Threshold(requestClass, name); known && r.latency > limit {
		ok = false
	}
	p.recorder.RecordProbe(f.service.name, name, r.generation, ok)
}

func (f *fleet) step(now time.Time) []attempt {
	turn := int(now.Sub(runEpoch) / tick)
	var probes []attempt
	for i, p := range f.proxies {
		if turn%int(outlier.ReportInterval/tick) == p.phase%int(outlier.ReportInterval/tick) {
			f.report(p, now)
		}
		noticed := f.ledgerWritten && (i+turn)%noticeLossInterval != 0
		if noticed || turn%int(refreshInterval/tick) == p.phase {
			f.recordError(p.view.ObservePlatform(f.stored, f.version, now.Add(-tick), now))
			f.recordError(p.view.Check(f.pool))
		}
		f.refreshEjected(p, now)
		if turn%int(outlier.ProbeInterval/tick) == 0 {
			probes = append(probes, f.probes(i, now)...)
		}
	}
	f.ledgerWritten = false
	if turn%int(outlier.ReportInterval/tick) == 0 {
		f.evaluate(now)
	}
	return probes
}

func (f *fleet) report(p *fleetProxy, now time.Time) {
	for _, r := range p.recorder.Drain() {
		f.evaluator.Add(r, now)
		p.local.Add(r, now)
	}
	p.weights = p.local.Weights(f.endpoints, f.service.floor, now)
}

func (f *fleet) refreshEjected(p *fleetProxy, now time.Time) {
	clear(p.ejected)
	for _, e := range p.view.EjectedWithin(f.pool, now) {
		p.ejected[f.index[e]] = true
	}
}

func (f *fleet) probes(proxy int, now time.Time) []attempt {
	p := f.proxies[proxy]
	var probes []attempt
	for e, ejected := range p.ejected {
		if ejected && outlier.ProbeDue(p.name, f.probers, f.service.name, f.endpoints[e], now) {
			probes = append(probes, attempt{endpoint: e, proxy: proxy})
		}
	}
	return probes
}

// evaluate runs the evaluator on the first proxy: it removes returning entries
// that were held long enough, returns endpoints with enough successful probes and
// proposes new suspects, all in one write.
func (f *fleet) evaluate(now time.Time) {
	p := f.proxies[0]
	base, version := p.view.Ledger()
	f.evaluator.SetEjected(p.view.Endpoints(ejection.StateEjected))
	f.writes++
	d := ejection.NewDraft(base, f.pool, p.name, fmt.Sprintf("op-%d", f.writes), now)
	for _, e := range p.view.Removable(now) {
		f.recordError(d.Remove(e, p.view))
	}
	for _, e := range p.view.Endpoints(ejection.StateEjected) {
		if f.evaluator.Returnable(e, base.Ejections(e)) {
			f.recordError(d.Return(e))
		}
	}
	for _, s := range f.evaluator.Suspects(now) {
		c := ejection.Candidate{Endpoint: s.Endpoint, Kind: s.Kind.String(), Evidence: s.Evidence}
		if d.Propose(c) == nil {
			f.ejectionCounts[f.index[s.Endpoint]]++
		}
	}
	l, _, err := d.Finish()
	f.recordError(err)
	if !d.Changed() || version != f.version {
		return
	}
	f.version++
	f.stored = l
	f.ledgerWritten = true
	f.recordError(p.view.ObservePlatform(l, f.version, now, now))
}

// recordError keeps the first error. None is expected, and job.run panics on
// one so that a violated invariant cannot go unnoticed in a measurement.
func (f *fleet) recordError(err error) {
	if f.firstError == nil {
		f.firstError = err
	}
}
