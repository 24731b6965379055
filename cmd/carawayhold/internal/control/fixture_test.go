package control

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

var errDown = eris.Wrap(platform.ErrUnavailable, "test platform is down")

// memoryPlatform is an in-memory object store that can be unavailable and can
// lose the responses of writes after they took effect.
type memoryPlatform struct {
	mu          sync.Mutex
	version     int64
	objects     map[string]platform.Object
	vms         platform.VMList
	changed     chan struct{}
	down        bool
	loseReplies int
	calls       int
	// documentReads counts the reads of service documents.
	documentReads int
}

func newMemoryPlatform() *memoryPlatform {
	return &memoryPlatform{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

func (p *memoryPlatform) set(change func(*memoryPlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *memoryPlatform) beginCall() error {
	p.calls++
	if p.down {
		return errDown
	}
	return nil
}

func (p *memoryPlatform) Get(_ context.Context, name string) (platform.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
		return platform.Object{}, err
	}
	if strings.HasPrefix(name, "config/doc/") {
		p.documentReads++
	}
	object, ok := p.objects[name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (p *memoryPlatform) Put(_ context.Context, name string, expect int64, value []byte) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
		return 0, err
	}
	if p.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	p.version++
	p.objects[name] = platform.Object{Name: name, Version: p.version, Value: slices.Clone(value)}
	close(p.changed)
	p.changed = make(chan struct{})
	if p.loseReplies > 0 {
		p.loseReplies--
		return 0, errDown
	}
	return p.version, nil
}

func (p *memoryPlatform) List(_ context.Context, prefix string, after int64) (platform.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
		return platform.Listing{}, err
	}
	listing := platform.Listing{StoreVersion: p.version}
	for name, o := range p.objects {
		if strings.HasPrefix(name, prefix) && o.Version > after {
			listing.Objects = append(listing.Objects, o)
		}
	}
	return listing, nil
}

func (p *memoryPlatform) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) (platform.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		listing, err := p.List(ctx, prefix, after)
		if err != nil || len(listing.Objects) > 0 {
			return listing, err
		}
		select {
		case <-ctx.Done():
			return listing, nil
		case <-changed:
		}
	}
}

func (p *memoryPlatform) VMs(context.Context) (platform.VMList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms, p.beginCall()
}

// commit writes a revision with the services as the operator API would.
func (p *memoryPlatform) commit(t *testing.T, operation string, services ...config.Service) int64 {
	t.Helper()
	var head rollout.Head
	object, err := p.Get(context.Background(), rollout.HeadName)
	if err == nil {
		head, err = rollout.DecodeHead(object.Value)
		require.NoError(t, err)
	}
	change := rollout.Change{
		Operator: "test", Operation: operation, Base: head.Revision,
		Versions: map[string]string{}, Documents: map[string][]byte{}, Summary: operation,
	}
	for _, s := range services {
		change.Versions[s.Name] = head.Index[s.Name].Name
		change.Documents[s.Name] = s.Canonical()
	}
	commit, err := head.Commit(change, time.Now())
	require.NoError(t, err)
	for _, w := range commit.CreateOnly() {
		_, err := p.Put(context.Background(), w.Name, 0, w.Value)
		require.NoError(t, err)
	}
	_, err = p.Put(context.Background(), rollout.HeadName, object.Version, commit.HeadValue())
	require.NoError(t, err)
	return commit.Head().Revision
}

// recordingDatapath records what the control loops apply.
type recordingDatapath struct {
	mu        sync.Mutex
	revisions []int64
	available map[string]Availability
	probe     ProbeResult
	inFlight  map[string]map[string]int
	others    map[string]int
	shedRatio float64
}

func (d *recordingDatapath) Apply(change ConfigurationChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revisions = append(d.revisions, change.Revision)
}

func (d *recordingDatapath) SetAvailability(service string, a Availability) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.available[service] = a
}

func (d *recordingDatapath) SetLiveProxies(int) {}

func (d *recordingDatapath) InFlight() map[string]map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.inFlight)
}

func (d *recordingDatapath) SetOthersLoad(_ string, inFlight map[string]int, shedRatio float64, _ time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others, d.shedRatio = inFlight, shedRatio
}

func (d *recordingDatapath) Load(string) map[string]EndpointLoad { return nil }

func (d *recordingDatapath) Probe(context.Context, string, string) (ProbeResult, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probe, true
}

func (d *recordingDatapath) revision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.revisions) == 0 {
		return 0
	}
	return d.revisions[len(d.revisions)-1]
}

func (d *recordingDatapath) availability(service string) Availability {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.available[service]
}

// testProxy is one proxy of a test fleet, without a request path.
type testProxy struct {
	control  *Control
	datapath *recordingDatapath
	recorder *outlier.Recorder
	platform *gatedPlatform
	stop     func()
}

// gatedPlatform is one proxy's connection to the shared platform, which a test
// can interrupt.
type gatedPlatform struct {
	*memoryPlatform
	disconnected atomic.Bool
}

func (p *gatedPlatform) Get(ctx context.Context, name string) (platform.Object, error) {
	if p.disconnected.Load() {
		return platform.Object{}, errDown
	}
	return p.memoryPlatform.Get(ctx, name)
}

func (p *gatedPlatform) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) (platform.Listing, error) {
	if p.disconnected.Load() {
		return platform.Listing{}, errDown
	}
	listing, err := p.memoryPlatform.Watch(ctx, prefix, after, wait)
	if p.disconnected.Load() {
		return platform.Listing{}, errDown
	}
	return listing, err
}

var testZones = []string{"finistere", "morbihan", "ille-vilaine"}

// startFleet starts count proxies on loopback that share a platform.
func startFleet(t *testing.T, shared *memoryPlatform, count int) []*testProxy {
	t.Helper()
	var listeners []net.Listener
	var seeds []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
	}
	var fleet []*testProxy
	for i, l := range listeners {
		fleet = append(fleet, startProxy(t, shared, i, l, seeds))
	}
	return fleet
}

func startProxy(t *testing.T, shared *memoryPlatform, index int, l net.Listener, seeds []string) *testProxy {
	t.Helper()
	incarnation := membership.NewIncarnation(time.Now(), uint64(index)+1)
	name := "entry-" + string(rune('a'+index))
	zone := testZones[index%len(testZones)]
	transport := peer.New(l.Addr().String(), incarnation.String(), zap.NewNop())
	m := &testProxy{
		datapath: &recordingDatapath{available: map[string]Availability{}, probe: ProbeResult{OK: true}},
		recorder: outlier.NewRecorder(incarnation.String(), zone),
		platform: &gatedPlatform{memoryPlatform: shared},
	}
	m.control = New(Dependencies{
		Self:  membership.NewMember(name, l.Addr().String(), zone, incarnation),
		Seeds: seeds, Platform: m.platform, Transport: transport,
		Datapath: m.datapath, Recorder: m.recorder, Metrics: metrics.NewSet(), Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = transport.Serve(l) })
	group.Go(func() { _ = m.control.Run(ctx) })
	m.stop = sync.OnceFunc(func() {
		cancel()
		_ = transport.Close()
		group.Wait()
	})
	t.Cleanup(m.stop)
	return m
}

func depotService(endpoints, floor int) config.Service {
	s := config.Service{
		Name: "depot", Floor: floor, Weighting: config.WeightingDetection,
		Routes:  []config.Route{{PathPrefix: "/depot", Class: "prompt"}},
		Classes: []config.Class{{Name: "prompt", Priority: 1, Repeat: config.RepeatAllowed, DeadlineMillis: 1000, QueueLimit: 10}},
	}
	for i := range endpoints {
		name := "depot-" + string(rune('a'+i))
		s.Endpoints = append(s.Endpoints, config.Endpoint{
			Name: name, Address: "127.0.0.1:" + string(rune('1'+i)) + "0000", Zone: testZones[i%3], Slots: 6,
		})
	}
	return s
}

func auditOf(t *testing.T, p *memoryPlatform, service string) []ejection.TrailEntry {
	t.Helper()
	object, err := p.Get(context.Background(), ejection.TrailName(service))
	if err != nil {
		return nil
	}
	trail, err := ejection.DecodeTrail(object.Value)
	require.NoError(t, err)
	return trail.Entries
}

// startAdditional starts one more proxy, with the others as seeds.
func startAdditional(t *testing.T, shared *memoryPlatform, fleet []*testProxy) *testProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var seeds []string
	for _, m := range fleet {
		seeds = append(seeds, m.control.self.Address())
	}
	return startProxy(t, shared, len(fleet), l, seeds)
}

func newTestNode() *membership.Node {
	now := time.Now()
	self := membership.NewMember("entry-a", "127.0.0.1:1", "finistere", membership.NewIncarnation(now, 1))
	return membership.NewNode(self, now, rand.New(rand.NewPCG(1, 1)))
}
