package outlier

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
)

// TestRecorderDropsOlderGenerations guards against counts that are lost, sent
// twice, or taken from an earlier process of the endpoint.
func TestRecorderDropsOlderGenerations(t *testing.T) {
	r := NewRecorder("p1", "z1")
	r.Record("depot", "b", 0, KindOK)
	r.Record("depot", "a", 1, KindSlow)
	r.Record("depot", "a", 2, KindError) // a newer generation discards the slow outcome
	r.Record("depot", "a", 1, KindInvalid)
	r.Record("depot", "a", 2, KindOK)
	r.Record("depot", "a", 2, kindCount)
	r.RecordProbe("depot", "c", 1, true)
	r.RecordProbe("depot", "c", 1, false)
	r.Record("atelier", "x", 1, KindShed)
	reports := r.Drain()
	require.Len(t, reports, 2)
	require.Equal(t, "atelier", reports[0].Service)
	require.Equal(t, Report{Reporter: "p1", Zone: "z1", Service: "depot", Sequence: 1, Counts: []Counts{
		{Endpoint: "a", Generation: 2, Kinds: []uint32{1, 0, 1}},
		{Endpoint: "b", Kinds: []uint32{1}},
		{Endpoint: "c", Generation: 1, Kinds: []uint32{}, ProbesSucceeded: 1, ProbesFailed: 1},
	}}, reports[1])
	require.Empty(t, r.Drain())
	r.Record("depot", "a", 2, KindOK)
	require.EqualValues(t, 2, r.Drain()[0].Sequence)

	wire, err := json.Marshal(reports[1])
	require.NoError(t, err)
	var back Report
	require.NoError(t, json.Unmarshal(wire, &back))
	require.Equal(t, reports[1], back)
}

// TestLatencyBaselineIgnoresSlowMinority guards against a threshold that rises with
// the slow endpoint itself, with two other slow ones or with another class, and
// against one that is based on too few latencies.
func TestLatencyBaselineIgnoresSlowMinority(t *testing.T) {
	b := NewLatencyBaseline()
	now := testEpoch
	round := func(class string, latency map[string]time.Duration) (slow []string) {
		now = now.Add(time.Second)
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			l := 20 * time.Millisecond
			if own, ok := latency[name]; ok {
				l = own
			}
			if b.Observe(class, name, l, now) {
				slow = append(slow, name)
			}
		}
		return slow
	}
	_, ok := b.Threshold("browse", "a")
	require.False(t, ok)
	for range 5 {
		require.Empty(t, round("browse", map[string]time.Duration{"a": time.Second}), "too few latencies")
	}
	for range 60 {
		round("browse", map[string]time.Duration{"a": time.Second, "b": time.Second, "c": time.Second})
		require.Empty(t, round("booking", map[string]time.Duration{
			"a": time.Second, "b": time.Second, "c": time.Second, "d": time.Second, "e": time.Second,
		}))
	}
	slow := map[string]time.Duration{"a": time.Second, "b": time.Second, "c": time.Second}
	require.Equal(t, []string{"a", "b", "c"}, round("browse", slow))
	threshold, ok := b.Threshold("browse", "a")
	require.True(t, ok)
	require.InDelta(t, 40*time.Millisecond, threshold, float64(5*time.Millisecond))
	b.RetainOnly([]string{"a"})
	now = now.Add(time.Second)
	require.False(t, b.Observe("browse", "a", time.Minute, now), "no other endpoint is left for comparison")
}

// TestLocalWeightsKeepMinimumAndFloor guards against a proxy that starves an
// endpoint on its own evidence, or reduces more endpoints than the floor allows.
func TestLocalWeightsKeepMinimumAndFloor(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	l := NewLocalWeights(config.WeightingBalanced)
	now := testEpoch
	report := func(errors map[string]uint32) {
		now = now.Add(ReportInterval)
		r := Report{Reporter: "p1", Sequence: uint64(now.Sub(testEpoch) / ReportInterval)}
		for _, name := range names {
			r.Counts = append(r.Counts, Counts{Endpoint: name, Kinds: []uint32{4 - errors[name], 0, errors[name]}})
		}
		l.Add(r, now)
	}
	for range 20 {
		report(nil)
	}
	require.Empty(t, l.Weights(names, 3, now))
	for range 4 {
		report(map[string]uint32{"a": 4, "b": 2})
	}
	weights := l.Weights(names, 3, now)
	require.InDelta(t, MinWeight, weights["a"], 1e-9)
	require.Less(t, weights["a"], weights["b"])
	require.Less(t, weights["b"], 1.0)
	require.Equal(t, map[string]float64{"a": weights["a"]}, l.Weights(names, 4, now), "strongest evidence first")
	require.Empty(t, l.Weights(names, 5, now))
	require.Empty(t, l.Weights(names, 3, now.Add(time.Minute)), "weights must recover without traffic")

	for range 60 {
		report(map[string]uint32{"a": 4, "b": 4, "c": 4, "d": 4, "e": 4})
	}
	for range 4 {
		report(map[string]uint32{"a": 1, "b": 4, "c": 4, "d": 4, "e": 4})
	}
	require.Empty(t, l.Weights(names, 3, now), "no endpoint is an outlier while all fail")
}
