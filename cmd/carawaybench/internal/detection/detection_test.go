package detection

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

const testSeed = 3

func scenarioNamed(t *testing.T, name string) scenario {
	t.Helper()
	for _, s := range scenarios {
		if s.name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return scenario{}
}

// TestBaseline guards against a baseline that is weaker than its definition,
// which would make the other modes look better than they are.
func TestBaseline(t *testing.T) {
	b := newBaseline(services[2])
	now := runEpoch
	observe := func(endpoint int, kinds ...outlier.Kind) {
		for _, k := range kinds {
			b.observe(attempt{proxy: 3, endpoint: endpoint}, result{kind: k}, now)
		}
	}
	b.step(now)
	four := []outlier.Kind{outlier.KindError, outlier.KindInvalid, outlier.KindTimeout, outlier.KindRefused}
	observe(0, append(four, outlier.KindOK)...)
	observe(0, append(four, outlier.KindShed)...)
	require.False(t, b.ejected(3, 0))
	observe(0, outlier.KindUnresponsive)
	require.True(t, b.ejected(3, 0))
	require.False(t, b.ejected(4, 0), "ejections are not shared between proxies")
	observe(1, append(four, outlier.KindError)...)
	require.False(t, b.ejected(3, 1), "the floor of spedition allows one ejection")
	b.step(now.Add(baselineEjectionTime))
	require.False(t, b.ejected(3, 0))
}

// TestRunIsReproducible guards against runs that depend on more than their seed.
func TestRunIsReproducible(t *testing.T) {
	t.Logf("seed %d", testSeed)
	j := job{service: services[2], scenario: scenarioNamed(t, "errors, 30%"), mode: modes[2], seed: testSeed}
	require.Equal(t, j.run(), j.run())
}

// TestModesBeatBaseline guards against changes to the decision packages that
// detect no faster than the baseline in the scenario with the largest advantage,
// or that eject endpoints when the whole service is overloaded.
func TestModesBeatBaseline(t *testing.T) {
	t.Logf("seed %d", testSeed)
	for _, m := range modes[1:] {
		modeJob := job{service: services[3], scenario: scenarioNamed(t, "errors, all"), mode: m, seed: testSeed}
		baselineJob := modeJob
		baselineJob.mode = modes[0]
		var modeCell, baselineCell cell
		modeCell.add(modeJob.run())
		baselineCell.add(baselineJob.run())
		require.Less(t, modeCell.quantile(0.99), baselineCell.quantile(0.5), m.name)
		require.Less(t, modeCell.exposure[0], 20.0, m.name)
	}
	overload := job{
		service: services[3], scenario: scenarioNamed(t, "overload of the whole service"), mode: modes[1], seed: testSeed,
	}
	require.Zero(t, overload.run().falseEjections)
}

// TestReport guards against a report that omits a mode or a scenario.
func TestReport(t *testing.T) {
	r := &Result{cells: make(map[cellKey]*cell)}
	for _, s := range services {
		for _, sc := range scenarios {
			for _, m := range modes {
				r.add(job{service: s, scenario: sc, mode: m}, outcome{detection: []time.Duration{time.Second}, healthyHours: 1})
			}
		}
	}
	text, plot := r.Markdown(), r.SVG()
	for _, m := range modes {
		require.Contains(t, text, m.name)
		require.Equal(t, 2*len(services), strings.Count(plot, ", "+m.name+", p"))
	}
	for _, s := range scenarios {
		require.Contains(t, text, "| "+s.name+" |")
	}
}

// TestMessagesSurviveEncoding guards against evidence reports and ledger copies
// that the peer protocol's codec doesn't preserve, and against larger reports. It
// is here because the root module doesn't depend on msgpack.
func TestMessagesSurviveEncoding(t *testing.T) {
	r := outlier.NewRecorder("entry-01@1764835200000-8f3a", "finistere")
	for _, e := range services[4].names() {
		r.Record("depot", e, 7, outlier.KindOK)
	}
	r.Record("depot", "depot-03", 7, outlier.KindRefused)
	report := r.Drain()[0]
	for _, compact := range []bool{false, true} {
		var wire bytes.Buffer
		e := msgpack.NewEncoder(&wire)
		e.UseCompactInts(compact)
		e.UseArrayEncodedStructs(compact)
		require.NoError(t, e.Encode(report))
		t.Logf("report of %d endpoints, compact %v: %d bytes", len(report.Counts), compact, wire.Len())
		require.Less(t, wire.Len(), map[bool]int{false: 500, true: 250}[compact])
		var back outlier.Report
		require.NoError(t, msgpack.Unmarshal(wire.Bytes(), &back))
		require.Equal(t, report, back)
	}

	sent := ejection.PeerCopy{Version: 9, AgeMillis: 1200, Value: []byte(`{"service":"depot"}`)}
	wire, err := msgpack.Marshal(sent)
	require.NoError(t, err)
	var received ejection.PeerCopy
	require.NoError(t, msgpack.Unmarshal(wire, &received))
	require.Equal(t, sent, received)
}
