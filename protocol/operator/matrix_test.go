package operator

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/rollout"
)

var (
	seedFlag     = flag.Int64("operator.seed", 1, "seed of the sample of fault pairs")
	allPairsFlag = flag.Bool("operator.full", false, "run every pair of faults instead of a sample")
)

const (
	sampledPairs = 100
	// earlierChanges fills the audit entries of the head, so that changesDuringPause
	// more changes move the entry of the tested operation to a segment.
	earlierChanges     = 62
	changesDuringPause = 40
	pauseLength        = 30 * time.Second
	shortOutage        = 300 * time.Millisecond
	longOutage         = 60 * time.Second
	maxSubmissions     = 10
	ownOperation       = "operation-of-the-test"
)

// Every fault is tested at every step of planning and confirming.
var (
	steps = []string{"planRead", "documentsWritten", "headSent", "headWritten", "responseSent"}

	faults = []string{
		"none", "storeDown", "storeDownAfter", "longOutage", "responseLost", "writeDelayed", "racingOperator",
		"racingOtherService", "racingRoute", "proxyKilled", "connectionLost", "paused",
	}
)

type armedFault struct{ fault, step string }

func (f armedFault) String() string { return f.fault + " at " + f.step }

// scenario is the state of one test: the platform's store, which three proxies
// share, and the faults to inject.
type scenario struct {
	t     *testing.T
	store *memoryStore

	mu           sync.Mutex
	planning     bool
	armed        []armedFault
	outageEnd    time.Time
	otherChanges int
	// random, if set, selects random faults instead of the armed ones.
	random *rand.Rand
}

// nextFault returns the fault to inject at this step, or "none". The second fault of
// a pair is injected only after the first, so that it can also hit a repeated step.
func (s *scenario) nextFault(step string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random != nil {
		return s.randomFault()
	}
	if len(s.armed) == 0 || s.armed[0].step != step {
		return "none"
	}
	fault := s.armed[0].fault
	s.armed = s.armed[1:]
	return fault
}

// randomFault returns "none" or one of the faults that can be repeated any number of
// times. The caller must hold s.mu.
func (s *scenario) randomFault() string {
	const oneIn = 6
	repeatable := []string{"storeDown", "storeDownAfter", "responseLost", "writeDelayed", "connectionLost"}
	if s.random.Intn(oneIn) > 0 {
		// Lets other operators run between two calls of this one.
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		return "none"
	}
	return repeatable[s.random.Intn(len(repeatable))]
}

func (s *scenario) startOutage(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageEnd = time.Now().Add(length)
}

func (s *scenario) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.outageEnd)
}

func (s *scenario) otherChangeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.otherChanges
}

// commitAsOther commits a change of service as another operator.
func (s *scenario) commitAsOther(service config.Service) {
	s.mu.Lock()
	s.otherChanges++
	operation := fmt.Sprintf("race-%04d", s.otherChanges)
	s.mu.Unlock()
	ctx := context.Background()
	h, err := readHead(ctx, s.store)
	require.NoError(s.t, err)
	commit, err := h.Commit(rollout.Change{
		Operator: "other", Operation: operation, Base: h.Revision,
		Versions:  map[string]string{service.Name: h.Index[service.Name].Name},
		Documents: map[string][]byte{service.Name: service.Canonical()},
	}, time.Now())
	require.NoError(s.t, err)
	for _, write := range commit.CreateOnly() {
		require.NoError(s.t, createObject(ctx, s.store, write))
	}
	_, err = s.store.Put(ctx, rollout.HeadName, h.version, commit.HeadValue())
	require.NoError(s.t, err)
}

// newService returns the service of depotDocument under another name. Its first endpoint
// has the given slots.
func newService(t *testing.T, name string, slots int) config.Service {
	t.Helper()
	document, err := config.Parse([]byte(strings.ReplaceAll(depotDocument, "depot", name)))
	require.NoError(t, err)
	document.Services[0].Endpoints[0].Slots = slots
	return document.Services[0]
}

// initialHistory returns a scenario whose store has the services depot and lager with
// earlierChanges changes.
var initialHistory = sync.OnceValue(func() *scenario {
	s := &scenario{t: &testing.T{}, store: newMemoryStore()}
	s.commitAsOther(newService(s.t, "depot", 6))
	for s.otherChanges < earlierChanges {
		s.commitAsOther(newService(s.t, "lager", s.otherChanges+1))
	}
	return s
})

// proxy is one proxy of a scenario. It wraps the store that the server uses and the
// transport to the server, and injects faults into both.
type proxy struct {
	*scenario
	handler http.Handler

	// connectionCuts resets the connection of one request for each value; killed makes
	// the proxy unreachable.
	connectionCuts chan struct{}
	killed         atomic.Bool
}

func newProxy(s *scenario) *proxy {
	p := &proxy{scenario: s, connectionCuts: make(chan struct{}, 1)}
	p.handler = NewServer(p, noStatus{}, noEndpoints{}, SystemClock{}).Handler()
	return p
}

func (p *proxy) cutConnection() {
	select {
	case p.connectionCuts <- struct{}{}:
	default:
	}
}

// inject executes a fault; faults of a single call are handled by the caller.
func (p *proxy) inject(fault string) {
	switch fault {
	case "storeDown":
		p.startOutage(shortOutage)
	case "longOutage":
		p.startOutage(longOutage)
	case "racingOperator":
		p.commitAsOther(newService(p.t, "depot", 100+p.otherChangeCount()))
	case "racingOtherService":
		p.commitAsOther(newService(p.t, "lager", 100+p.otherChangeCount()))
	case "racingRoute":
		other := newService(p.t, "patronnier", 100+p.otherChangeCount())
		other.Name = "rival"
		p.commitAsOther(other)
	case "proxyKilled":
		p.killed.Store(true)
		p.cutConnection()
	case "connectionLost":
		p.cutConnection()
		time.Sleep(time.Millisecond)
	case "paused":
		for range changesDuringPause {
			p.commitAsOther(newService(p.t, "lager", 100+p.otherChangeCount()))
		}
		time.Sleep(pauseLength)
	}
}

func (p *proxy) Get(ctx context.Context, name string) (platform.Object, error) {
	fault := "none"
	if name == rollout.HeadName && p.planning {
		fault = p.nextFault("planRead")
	}
	p.inject(fault)
	if p.killed.Load() || p.inOutage() || fault == "responseLost" {
		return platform.Object{}, platform.ErrUnavailable
	}
	if fault == "storeDownAfter" {
		p.startOutage(shortOutage)
	}
	return p.store.Get(ctx, name)
}

func (p *proxy) Put(ctx context.Context, name string, expect int64, value []byte) (int64, error) {
	step := "documentsWritten"
	if name == rollout.HeadName {
		step = "headSent"
	}
	fault := p.nextFault(step)
	p.inject(fault)
	if p.killed.Load() || p.inOutage() {
		return 0, platform.ErrUnavailable
	}
	if fault == "writeDelayed" {
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = p.store.Put(ctx, name, expect, value)
		}()
		return 0, platform.ErrUnavailable
	}
	version, err := p.store.Put(ctx, name, expect, value)
	if fault == "storeDownAfter" {
		p.startOutage(shortOutage)
	}
	if fault == "responseLost" {
		return 0, platform.ErrUnavailable
	}
	if name != rollout.HeadName || err != nil {
		return version, err
	}
	fault = p.nextFault("headWritten")
	p.inject(fault)
	switch fault {
	case "storeDownAfter":
		p.startOutage(shortOutage)
		return 0, platform.ErrUnavailable
	case "storeDown", "longOutage", "responseLost", "writeDelayed", "proxyKilled":
		return 0, platform.ErrUnavailable
	}
	return version, nil
}

// RoundTrip calls the handler of the proxy.
func (p *proxy) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.killed.Load() {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.handler.ServeHTTP(recorder, r.Clone(context.Background()))
	}()
	select {
	case <-done:
	case <-p.connectionCuts:
		return nil, errors.New("connection reset")
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if p.planning {
		return recorder.Result(), nil
	}
	fault := p.nextFault("responseSent")
	if fault == "paused" {
		p.inject(fault)
		return nil, errors.New("connection reset")
	}
	if fault == "responseLost" || fault == "connectionLost" || fault == "proxyKilled" {
		if fault == "proxyKilled" {
			p.killed.Store(true)
		}
		return nil, errors.New("connection reset")
	}
	p.inject(fault)
	return recorder.Result(), nil
}

// network routes requests to the proxies by host name.
type network map[string]*proxy

func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	return n[r.URL.Host].RoundTrip(r)
}

// newScenario returns a scenario with a copy of the initial history and a client of
// its three proxies.
func newScenario(t *testing.T, armed []armedFault) (*scenario, *Client) {
	earlier := initialHistory()
	s := &scenario{t: t, otherChanges: earlier.otherChanges, armed: armed, store: &memoryStore{
		version: earlier.store.version, objects: maps.Clone(earlier.store.objects),
	}}
	proxies := network{"a": newProxy(s), "b": newProxy(s), "c": newProxy(s)}
	client, err := NewClient([]string{"a", "b", "c"}, WithTransport(proxies))
	require.NoError(t, err)
	return s, client
}

// auditTrail reads the whole audit trail without using the code under test.
func (s *scenario) auditTrail() (rollout.Head, []rollout.AuditEntry) {
	object, err := s.store.Get(context.Background(), rollout.HeadName)
	require.NoError(s.t, err)
	h, err := rollout.DecodeHead(object.Value)
	require.NoError(s.t, err)
	var entries []rollout.AuditEntry
	for number := int64(0); int64(len(entries)) < h.OldestAudit()-1; number++ {
		object, err := s.store.Get(context.Background(), rollout.SegmentName(number))
		require.NoError(s.t, err, "an audit segment is missing")
		segment, err := rollout.DecodeSegment(object.Value)
		require.NoError(s.t, err)
		entries = append(entries, segment.Entries...)
	}
	return h, append(entries, h.Audit...)
}

// checkInvariants asserts that the audit trail is complete and matches the head, and
// returns how often it contains the operation of the test.
func (s *scenario) checkInvariants() int {
	h, entries := s.auditTrail()
	counts := map[string]int{}
	latest := map[string]rollout.AuditEntry{}
	for i, e := range entries {
		require.Equal(s.t, int64(i+1), e.Revision, "the audit trail has a gap or a duplicate entry")
		counts[e.Operation]++
		for _, name := range e.Changed {
			latest[name] = e
		}
	}
	for i := 1; i <= s.otherChanges; i++ {
		require.Equal(s.t, 1, counts[fmt.Sprintf("race-%04d", i)], "a change of another operator is lost or duplicated")
	}
	for name, e := range latest {
		ref := h.Index[name]
		require.Equal(s.t, rollout.DocumentName(name, e.Revision, e.Operation), ref.Name, "the head lacks an accepted change")
		object, err := s.store.Get(context.Background(), ref.Name)
		require.NoError(s.t, err)
		require.Equal(s.t, ref.Digest, rollout.Digest(object.Value))
	}
	require.LessOrEqual(s.t, counts[ownOperation], 1, "the operation is in the audit trail twice")
	return counts[ownOperation]
}

// runScenario plans and confirms a change of depot and a new service patronnier
// while the armed faults are injected, and asserts that each result matches the audit
// trail. It returns the results that the operator received.
func runScenario(t *testing.T, armed ...armedFault) string {
	s, client := newScenario(t, armed)
	ctx := context.Background()
	document, err := json.Marshal(config.Document{
		Services: []config.Service{newService(t, "depot", 7), newService(t, "patronnier", 6)},
	})
	require.NoError(t, err)

	s.planning = true
	plan, err := client.Plan(ctx, document)
	for errors.Is(err, ErrUnavailable) {
		time.Sleep(longOutage)
		plan, err = client.Plan(ctx, document)
	}
	if errors.Is(err, ErrInvalid) {
		require.ErrorContains(t, err, "duplicates a route of service rival")
		time.Sleep(2 * pauseLength)
		return "invalid"
	}
	require.NoError(t, err)
	s.planning = false

	confirmation := Confirmation{Operation: ownOperation, Operator: "maelle", Plan: plan}
	results := ""
	for range maxSubmissions {
		_, err = client.Confirm(ctx, confirmation)
		// Lets pauses and delayed writes end before the check.
		time.Sleep(2 * pauseLength)
		count := s.checkInvariants()
		switch {
		case err == nil:
			require.Equal(t, 1, count, "accepted, but not in the audit trail")
			return results + "accepted"
		case errors.Is(err, ErrStale):
			require.Zero(t, count, "refused, but in the audit trail")
			return results + "refused"
		case errors.Is(err, ErrUnavailable):
			require.Zero(t, count, "reported as not applied, but in the audit trail: %v", err)
			results += "unavailable, "
		default:
			require.ErrorIs(t, err, ErrUnknown)
			results += "unknown, "
		}
	}
	require.Fail(t, "no final result", results)
	return results
}

// Guards against errors that need several concurrent operators and more than two
// faults.
func TestConcurrentOperators(t *testing.T) {
	initialHistory() // must be built outside the bubbles of synctest
	t.Logf("seed %d", *seedFlag)
	const operators, changesEach = 6, 8
	synctest.Test(t, func(t *testing.T) {
		s, client := newScenario(t, nil)
		s.random = rand.New(rand.NewSource(*seedFlag))
		results := make([]map[string]error, operators)
		var group sync.WaitGroup
		for o := range operators {
			results[o] = map[string]error{}
			group.Go(func() {
				for i := range changesEach {
					name := []string{"depot", "lager"}[(o+i)%2]
					operation := fmt.Sprintf("operator-%d-%d", o, i)
					results[o][operation] = planAndConfirm(client, newService(t, name, 200+o*changesEach+i), operation)
				}
			})
		}
		group.Wait()
		time.Sleep(2 * pauseLength)
		s.checkInvariants()
		_, entries := s.auditTrail()
		counts := map[string]int{}
		for _, e := range entries {
			counts[e.Operation]++
		}
		accepted, refused := 0, 0
		for _, result := range results {
			for operation, err := range result {
				if err == nil {
					accepted++
					require.Equal(t, 1, counts[operation], "accepted, but not exactly once in the audit trail")
				} else {
					refused++
					require.ErrorIs(t, err, ErrStale)
					require.Zero(t, counts[operation], "refused, but in the audit trail")
				}
			}
		}
		t.Logf("accepted %d, refused %d", accepted, refused)
		require.NotZero(t, accepted)
		require.NotZero(t, refused)
	})
}

// planAndConfirm repeats an operation until its result is known.
func planAndConfirm(client *Client, service config.Service, operation string) error {
	ctx := context.Background()
	document, err := json.Marshal(config.Document{Services: []config.Service{service}})
	if err != nil {
		return err
	}
	plan, err := client.Plan(ctx, document)
	for errors.Is(err, ErrUnavailable) {
		time.Sleep(shortOutage)
		plan, err = client.Plan(ctx, document)
	}
	if err != nil {
		return err
	}
	for {
		time.Sleep(time.Millisecond)
		_, err = client.Confirm(ctx, Confirmation{Operation: operation, Operator: "maelle", Plan: plan})
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
			return err
		}
	}
}

// Guards against changes that are lost, applied twice, applied in part, applied after
// a refusal, or missing from the audit trail, with one fault in each change.
func TestCommitUnderFaults(t *testing.T) {
	initialHistory() // must be built outside the bubbles of synctest
	var singles []armedFault
	for _, f := range faults {
		for _, s := range steps {
			singles = append(singles, armedFault{fault: f, step: s})
		}
	}
	// The invariants alone would also hold for a server that refuses everything.
	expected := map[string]string{
		"racingOperator at documentsWritten": "refused",
		"racingOperator at headSent":         "refused",
		"racingRoute at documentsWritten":    "refused",
		"racingRoute at headSent":            "refused",
		"longOutage at headSent":             "unknown, accepted",
		"longOutage at documentsWritten":     "unavailable, accepted",
	}
	results := map[string]int{}
	for _, f := range singles {
		t.Run(f.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := runScenario(t, f)
				results[result]++
				want, special := expected[f.String()]
				if f.fault == "none" || f.fault == "racingOtherService" {
					want, special = "accepted", true
				}
				if special {
					require.Equal(t, want, result)
				}
			})
		})
	}
	t.Logf("results: %v", results)
}

// Guards against the errors of TestCommitUnderFaults with two faults in one change.
func TestCommitUnderTwoFaults(t *testing.T) {
	initialHistory() // must be built outside the bubbles of synctest
	t.Logf("seed %d", *seedFlag)
	var pairs [][2]armedFault
	for _, f := range faults[1:] {
		for _, s := range steps {
			for _, f2 := range faults[1:] {
				for _, s2 := range steps {
					pairs = append(pairs, [2]armedFault{{fault: f, step: s}, {fault: f2, step: s2}})
				}
			}
		}
	}
	if !*allPairsFlag {
		random := rand.New(rand.NewSource(*seedFlag))
		random.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
		// Only these pairs reveal a write that takes effect after ErrUnavailable was
		// returned.
		always := [][2]armedFault{
			{{"writeDelayed", "headSent"}, {"storeDown", "documentsWritten"}},
			{{"writeDelayed", "headSent"}, {"longOutage", "documentsWritten"}},
			{{"connectionLost", "headSent"}, {"storeDown", "documentsWritten"}},
		}
		pairs = append(always, pairs[:sampledPairs]...)
	}
	results := map[string]int{}
	for _, p := range pairs {
		t.Run(p[0].String()+", then "+p[1].String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { results[runScenario(t, p[0], p[1])]++ })
		})
	}
	t.Logf("results: %v", results)
}
