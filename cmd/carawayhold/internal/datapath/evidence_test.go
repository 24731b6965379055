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

// Each kind of result that says something about an endpoint has one kind of evidence.
func TestKindsOfEvidence(t *testing.T) {
	require.Equal(t, map[endpoint.Kind]outlier.Kind{
		endpoint.KindOK: outlier.KindOK, endpoint.KindInvalid: outlier.KindInvalid, endpoint.KindError: outlier.KindError,
		endpoint.KindTimeout: outlier.KindTimeout, endpoint.KindRefused: outlier.KindRefused, endpoint.KindShed: outlier.KindShed,
	}, kinds)
}

// References of services that are gone are dropped; those of others outlive a change.
func TestReferencesFollowTheConfiguration(t *testing.T) {
	e := NewEvidence(outlier.NewRecorder("entry-1", "finistere"), func(string, int64, bool) {})
	e.apply(control.Change{Changed: []config.Service{described("depot", "127.0.0.1:1"), described("atelier", "127.0.0.1:2")}})
	kept := e.references["depot"]
	require.NotNil(t, kept)
	e.apply(control.Change{Changed: []config.Service{described("depot", "127.0.0.1:3")}, Removed: []string{"atelier"}})
	require.Same(t, kept, e.references["depot"])
	require.NotContains(t, e.references, "atelier")
}

func TestSlownessNeedsAReference(t *testing.T) {
	e := NewEvidence(outlier.NewRecorder("entry-1", "finistere"), func(string, int64, bool) {})
	require.False(t, e.slow("depot", "prompt", "depot-0", time.Hour))
	require.False(t, e.exceeds("depot", "prompt", "depot-0", time.Hour))
	e.apply(control.Change{Changed: []config.Service{described("depot", "127.0.0.1:1")}})
	require.False(t, e.exceeds("depot", "prompt", "depot-0", time.Hour), "no response has been seen")
}
