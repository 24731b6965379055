package datapath

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/control"
	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// Guards against a result that is not counted, or is counted as another kind.
func TestResultKinds(t *testing.T) {
	require.Equal(t, map[endpoint.Kind]outlier.Kind{
		endpoint.KindOK: outlier.KindOK, endpoint.KindInvalid: outlier.KindInvalid, endpoint.KindError: outlier.KindError,
		endpoint.KindTimeout: outlier.KindTimeout, endpoint.KindRefused: outlier.KindRefused, endpoint.KindShed: outlier.KindShed,
	}, kinds)
}

// Guards against baselines that outlive their service, and those that a change of
// their service resets.
func TestBaselinesFollowConfiguration(t *testing.T) {
	e := NewEvidenceRecorder(outlier.NewRecorder("entry-1", "finistere"), func(string, int64, bool) {})
	e.apply(control.ConfigurationChange{Changed: []config.Service{serviceConfig("depot", "127.0.0.1:1"), serviceConfig("atelier", "127.0.0.1:2")}})
	kept := e.baselines["depot"]
	require.NotNil(t, kept)
	e.apply(control.ConfigurationChange{Changed: []config.Service{serviceConfig("depot", "127.0.0.1:3")}, Removed: []string{"atelier"}})
	require.Same(t, kept, e.baselines["depot"])
	require.NotContains(t, e.baselines, "atelier")
}

func TestNotSlowWithoutBaseline(t *testing.T) {
	e := NewEvidenceRecorder(outlier.NewRecorder("entry-1", "finistere"), func(string, int64, bool) {})
	require.False(t, e.slow("depot", "prompt", "depot-0", time.Hour))
	require.False(t, e.exceedsThreshold("depot", "prompt", "depot-0", time.Hour))
	e.apply(control.ConfigurationChange{Changed: []config.Service{serviceConfig("depot", "127.0.0.1:1")}})
	require.False(t, e.exceedsThreshold("depot", "prompt", "depot-0", time.Hour), "no response has been seen")
}
