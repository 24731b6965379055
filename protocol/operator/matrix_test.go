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
	matrixSeed = flag.Int64("operator.seed", 1, "seed of the sample of fault pairs")
	matrixFull = flag.Bool("operator.full", false, "run every pair of faults instead of a sample")
)

const (
	sampledPairs = 100
	// earlierChanges fills the head so that the changes of a pause move the
	// entry of the tested operation to a segment.
	earlierChanges = 62
	pausedChanges  = 40
	pauseLength    = 30 * time.Second
	shortOutage    = 300 * time.Millisecond
	longOutage     = 60 * time.Second
	maxRepetitions = 10
	ownOperation   = "operation-of-the-test"
)

// The two lists of the matrix.
var (
	steps = []string{"planRead", "documentsWritten", "headSent", "tookEffect", "answered"}

	faults = []string{
		"none", "storeDown", "storeDownAfter", "longOutage", "answerLost", "writeDelayed", "racingOperator",
		"racingOtherService", "racingRoute", "proxyKilled", "connectionLost", "paused",
	}
)

type armedFault struct{ fault, step string }

func (f armedFault) String() string { return f.fault + " at " + f.step }

// world is a platform, three proxies and the faults of one scenario.
type world struct {
	t     *testing.T
	inner *memoryStore

	mu        sync.Mutex
	planning  bool
	armed     []armedFault
	downUntil time.Time
	raced     int
	// random, if set, replaces the armed faults.
	random *rand.Rand
}

// trigger returns the fault that happens now, if any. The second fault of a pair
// waits for the first, so that it also meets repeated steps.
func (w *world) trigger(step string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random != nil {
		return w.randomFault()
	}
	if len(w.armed) == 0 || w.armed[0].step != step {
		return "none"
	}
	fault := w.armed[0].fault
	w.armed = w.armed[1:]
	return fault
}

// randomFault returns one of the faults that may happen any number of times.
func (w *world) randomFault() string {
	const oneIn = 6
	repeatable := []string{"storeDown", "storeDownAfter", "answerLost", "writeDelayed", "connectionLost"}
	if w.random.Intn(oneIn) > 0 {
		// Other operators proceed between the calls of this one.
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		return "none"
	}
	return repeatable[w.random.Intn(len(repeatable))]
}

func (w *world) takeDown(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downUntil = time.Now().Add(length)
}

func (w *world) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.downUntil)
}

// changes returns the number of changes by other operators.
func (w *world) changes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.raced
}

// race commits a change of another operator.
func (w *world) race(service config.Service) {
	w.mu.Lock()
	w.raced++
	operation := fmt.Sprintf("race-%04d", w.raced)
	w.mu.Unlock()
	ctx := context.Background()
	h, err := readHead(ctx, w.inner)
	require.NoError(w.t, err)
	commit, err := h.Commit(rollout.Change{
		Operator: "other", Operation: operation, Base: h.Revision,
		Versions:  map[string]string{service.Name: h.Index[service.Name].Name},
		Documents: map[string][]byte{service.Name: service.Canonical()},
	}, time.Now())
	require.NoError(w.t, err)
	for _, one := range commit.CreateOnly() {
		require.NoError(w.t, create(ctx, w.inner, one))
	}
	_, err = w.inner.Put(ctx, rollout.HeadName, h.version, commit.HeadValue())
	require.NoError(w.t, err)
}

func service(t *testing.T, name string, slots int) config.Service {
	t.Helper()
	document, err := config.Parse([]byte(strings.ReplaceAll(depotDocument, "depot", name)))
	require.NoError(t, err)
	document.Services[0].Endpoints[0].Slots = slots
	return document.Services[0]
}

// history is a store with the services depot and lager and earlier changes.
var history = sync.OnceValue(func() *world {
	w := &world{t: &testing.T{}, inner: newMemoryStore()}
	w.race(service(w.t, "depot", 6))
	for w.raced < earlierChanges {
		w.race(service(w.t, "lager", w.raced+1))
	}
	return w
})

// proxy is one proxy of the world: a store with faults below the server and a
// transport with faults in front of it.
type proxy struct {
	*world
	handler http.Handler

	// dropped cuts the connection of one request; dead ends the proxy.
	dropped chan struct{}
	dead    atomic.Bool
}

func newProxy(w *world) *proxy {
	p := &proxy{world: w, dropped: make(chan struct{}, 1)}
	p.handler = NewServer(p, noStatus{}, noEndpoints{}, SystemClock{}).Handler()
	return p
}

func (p *proxy) drop() {
	select {
	case p.dropped <- struct{}{}:
	default:
	}
}

// inject lets a fault happen at the proxy.
func (p *proxy) inject(fault string) {
	switch fault {
	case "storeDown":
		p.takeDown(shortOutage)
	case "longOutage":
		p.takeDown(longOutage)
	case "racingOperator":
		p.race(service(p.t, "depot", 100+p.changes()))
	case "racingOtherService":
		p.race(service(p.t, "lager", 100+p.changes()))
	case "racingRoute":
		other := service(p.t, "patronnier", 100+p.changes())
		other.Name = "rival"
		p.race(other)
	case "proxyKilled":
		p.dead.Store(true)
		p.drop()
	case "connectionLost":
		p.drop()
		time.Sleep(time.Millisecond)
	case "paused":
		for range pausedChanges {
			p.race(service(p.t, "lager", 100+p.changes()))
		}
		time.Sleep(pauseLength)
	}
}

func (p *proxy) Get(ctx context.Context, name string) (platform.Object, error) {
	fault := "none"
	if name == rollout.HeadName && p.planning {
		fault = p.trigger("planRead")
	}
	p.inject(fault)
	if p.dead.Load() || p.isDown() || fault == "answerLost" {
		return platform.Object{}, platform.ErrUnavailable
	}
	if fault == "storeDownAfter" {
		p.takeDown(shortOutage)
	}
	return p.inner.Get(ctx, name)
}

func (p *proxy) Put(ctx context.Context, name string, expect int64, value []byte) (int64, error) {
	step := "documentsWritten"
	if name == rollout.HeadName {
		step = "headSent"
	}
	fault := p.trigger(step)
	p.inject(fault)
	if p.dead.Load() || p.isDown() {
		return 0, platform.ErrUnavailable
	}
	if fault == "writeDelayed" {
		go func() {
			time.Sleep(2 * time.Second)
			_, _ = p.inner.Put(ctx, name, expect, value)
		}()
		return 0, platform.ErrUnavailable
	}
	version, err := p.inner.Put(ctx, name, expect, value)
	if fault == "storeDownAfter" {
		p.takeDown(shortOutage)
	}
	if fault == "answerLost" {
		return 0, platform.ErrUnavailable
	}
	if name != rollout.HeadName || err != nil {
		return version, err
	}
	fault = p.trigger("tookEffect")
	p.inject(fault)
	switch fault {
	case "storeDownAfter":
		p.takeDown(shortOutage)
		return 0, platform.ErrUnavailable
	case "storeDown", "longOutage", "answerLost", "writeDelayed", "proxyKilled":
		return 0, platform.ErrUnavailable
	}
	return version, nil
}

// RoundTrip sends a request to the proxy without a network.
func (p *proxy) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.dead.Load() {
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
	case <-p.dropped:
		return nil, errors.New("connection reset")
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if p.planning {
		return recorder.Result(), nil
	}
	fault := p.trigger("answered")
	if fault == "paused" {
		p.inject(fault)
		return nil, errors.New("connection reset")
	}
	if fault == "answerLost" || fault == "connectionLost" || fault == "proxyKilled" {
		if fault == "proxyKilled" {
			p.dead.Store(true)
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

// newWorld starts from a copy of the history.
func newWorld(t *testing.T, armed []armedFault) (*world, *Client) {
	earlier := history()
	w := &world{t: t, raced: earlier.raced, armed: armed, inner: &memoryStore{
		version: earlier.inner.version, objects: maps.Clone(earlier.inner.objects),
	}}
	proxies := network{"a": newProxy(w), "b": newProxy(w), "c": newProxy(w)}
	client, err := NewClient([]string{"a", "b", "c"}, WithTransport(proxies))
	require.NoError(t, err)
	return w, client
}

// trail reads the whole audit trail without the code under test.
func (w *world) trail() (rollout.Head, []rollout.AuditEntry) {
	object, err := w.inner.Get(context.Background(), rollout.HeadName)
	require.NoError(w.t, err)
	h, err := rollout.DecodeHead(object.Value)
	require.NoError(w.t, err)
	var entries []rollout.AuditEntry
	for number := int64(0); int64(len(entries)) < h.OldestAudit()-1; number++ {
		object, err := w.inner.Get(context.Background(), rollout.SegmentName(number))
		require.NoError(w.t, err, "an audit segment is missing")
		segment, err := rollout.DecodeSegment(object.Value)
		require.NoError(w.t, err)
		entries = append(entries, segment.Entries...)
	}
	return h, append(entries, h.Audit...)
}

// check asserts the invariants and returns how often the operation is in the trail.
func (w *world) check() int {
	h, entries := w.trail()
	counts := map[string]int{}
	latest := map[string]rollout.AuditEntry{}
	for i, e := range entries {
		require.Equal(w.t, int64(i+1), e.Revision, "the trail has a gap or an entry twice")
		counts[e.Operation]++
		for _, name := range e.Changed {
			latest[name] = e
		}
	}
	for i := 1; i <= w.raced; i++ {
		require.Equal(w.t, 1, counts[fmt.Sprintf("race-%04d", i)], "a change of another operator is lost or twice")
	}
	for name, e := range latest {
		ref := h.Index[name]
		require.Equal(w.t, rollout.DocumentName(name, e.Revision, e.Operation), ref.Name, "the head misses an accepted change")
		object, err := w.inner.Get(context.Background(), ref.Name)
		require.NoError(w.t, err)
		require.Equal(w.t, ref.Digest, rollout.Digest(object.Value))
	}
	require.LessOrEqual(w.t, counts[ownOperation], 1, "the operation is in the trail twice")
	return counts[ownOperation]
}

// runScenario plans and confirms a change of depot and a new service patronnier
// while the armed faults happen, and asserts what the operator was told. It
// returns the answers that the operator got.
func runScenario(t *testing.T, armed ...armedFault) string {
	w, client := newWorld(t, armed)
	ctx := context.Background()
	document, err := json.Marshal(config.Document{
		Services: []config.Service{service(t, "depot", 7), service(t, "patronnier", 6)},
	})
	require.NoError(t, err)

	w.planning = true
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
	w.planning = false

	confirmation := Confirmation{Operation: ownOperation, Operator: "maelle", Plan: plan}
	answers := ""
	for range maxRepetitions {
		_, err = client.Confirm(ctx, confirmation)
		// Paused proxies and delayed writes end before the next check.
		time.Sleep(2 * pauseLength)
		count := w.check()
		switch {
		case err == nil:
			require.Equal(t, 1, count, "accepted, but not in the trail")
			return answers + "accepted"
		case errors.Is(err, ErrStale):
			require.Zero(t, count, "refused, but in the trail")
			return answers + "refused"
		case errors.Is(err, ErrUnavailable):
			require.Zero(t, count, "reported as not applied, but in the trail: %v", err)
			answers += "unavailable, "
		default:
			require.ErrorIs(t, err, ErrUnknown)
			answers += "unknown, "
		}
	}
	require.Fail(t, "no final answer", answers)
	return answers
}

// Guards against faults that only show with several operators at the same time
// and with any number of faults.
func TestConcurrentOperators(t *testing.T) {
	history() // outside the bubbles of synctest
	t.Logf("seed %d", *matrixSeed)
	const operators, changesEach = 6, 8
	synctest.Test(t, func(t *testing.T) {
		w, client := newWorld(t, nil)
		w.random = rand.New(rand.NewSource(*matrixSeed))
		results := make([]map[string]error, operators)
		var group sync.WaitGroup
		for o := range operators {
			results[o] = map[string]error{}
			group.Go(func() {
				for i := range changesEach {
					name := []string{"depot", "lager"}[(o+i)%2]
					operation := fmt.Sprintf("operator-%d-%d", o, i)
					results[o][operation] = planAndConfirm(client, service(t, name, 200+o*changesEach+i), operation)
				}
			})
		}
		group.Wait()
		time.Sleep(2 * pauseLength)
		w.check()
		_, entries := w.trail()
		counts := map[string]int{}
		for _, e := range entries {
			counts[e.Operation]++
		}
		accepted, refused := 0, 0
		for _, result := range results {
			for operation, err := range result {
				if err == nil {
					accepted++
					require.Equal(t, 1, counts[operation], "accepted, but not once in the trail")
				} else {
					refused++
					require.ErrorIs(t, err, ErrStale)
					require.Zero(t, counts[operation], "refused, but in the trail")
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

// Guards against changes that are lost, applied twice, applied in part, applied
// after a refusal, or missing in the audit trail.
func TestCommitUnderFaults(t *testing.T) {
	history() // outside the bubbles of synctest
	var singles []armedFault
	for _, f := range faults {
		for _, s := range steps {
			singles = append(singles, armedFault{fault: f, step: s})
		}
	}
	// A server that refuses everything would keep the invariants.
	expected := map[string]string{
		"racingOperator at documentsWritten": "refused",
		"racingOperator at headSent":         "refused",
		"racingRoute at documentsWritten":    "refused",
		"racingRoute at headSent":            "refused",
		"longOutage at headSent":             "unknown, accepted",
		"longOutage at documentsWritten":     "unavailable, accepted",
	}
	answers := map[string]int{}
	for _, f := range singles {
		t.Run(f.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := runScenario(t, f)
				answers[answer]++
				want, special := expected[f.String()]
				if f.fault == "none" || f.fault == "racingOtherService" {
					want, special = "accepted", true
				}
				if special {
					require.Equal(t, want, answer)
				}
			})
		})
	}
	t.Logf("answers: %v", answers)
}

// Guards against the same with two faults in one change.
func TestCommitUnderTwoFaults(t *testing.T) {
	history() // outside the bubbles of synctest
	t.Logf("seed %d", *matrixSeed)
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
	if !*matrixFull {
		random := rand.New(rand.NewSource(*matrixSeed))
		random.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
		// Only these pairs show a write that takes effect after "not applied".
		always := [][2]armedFault{
			{{"writeDelayed", "headSent"}, {"storeDown", "documentsWritten"}},
			{{"writeDelayed", "headSent"}, {"longOutage", "documentsWritten"}},
			{{"connectionLost", "headSent"}, {"storeDown", "documentsWritten"}},
		}
		pairs = append(always, pairs[:sampledPairs]...)
	}
	answers := map[string]int{}
	for _, p := range pairs {
		t.Run(p[0].String()+", then "+p[1].String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { answers[runScenario(t, p[0], p[1])]++ })
		})
	}
	t.Logf("answers: %v", answers)
}
