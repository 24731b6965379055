package operator

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

const depotDocument = `{
  // The counter of the atelier.
  "services": [{
    "name": "depot",
    "routes": [
      {"pathPrefix": "/depot/dropoffs", "methods": ["POST"], "class": "booking"},
      {"pathPrefix": "/depot", "class": "prompt"},
    ],
    "endpoints": [
      {"name": "depot-1", "address": "10.0.0.1:8080", "zone": "finistere", "slots": 6},
      {"name": "depot-2", "address": "10.0.0.2:8080", "zone": "morbihan", "slots": 6},
    ],
    "classes": [
      {"name": "booking", "priority": 3, "repeat": "never", "deadlineMillis": 4000, "queueLimit": 32},
      {"name": "prompt", "priority": 2, "repeat": "allowed", "deadlineMillis": 1000, "queueLimit": 64, "hedge": true},
    ],
    "floor": 1,
  }],
}`

type noStatus struct{}

func (noStatus) Status(context.Context) (Status, error) { return Status{Proxy: "entry-1"}, nil }

type noEndpoints struct{}

func (noEndpoints) Endpoints(context.Context, string) ([]EndpointStatus, bool, error) {
	return nil, false, nil
}

func newTestClient(t *testing.T, store Store) *Client {
	t.Helper()
	server := httptest.NewServer(NewServer(store, noStatus{}, noEndpoints{}, newStoppedClock()).Handler())
	t.Cleanup(server.Close)
	client, err := NewClient([]string{server.URL}, WithClock(newStoppedClock()))
	require.NoError(t, err)
	return client
}

// Guards the path of an accepted change from document to head and audit trail.
func TestPlanAndConfirm(t *testing.T) {
	store := newMemoryStore()
	client := newTestClient(t, store)
	ctx := context.Background()

	plan, err := client.Plan(ctx, []byte(depotDocument))
	require.NoError(t, err)
	require.Equal(t, map[string]string{"depot": ""}, plan.Versions)

	confirmation := Confirmation{Operation: "operation-1", Operator: "maelle", Plan: plan}
	confirmed, err := client.Confirm(ctx, confirmation)
	require.NoError(t, err)
	require.Equal(t, Confirmed{Revision: 1, Operation: "operation-1", Changed: true}, confirmed)

	again, err := client.Confirm(ctx, confirmation)
	require.NoError(t, err)
	require.Equal(t, Confirmed{Revision: 1, Operation: "operation-1", Changed: true, Repeated: true}, again)

	confirmation.Operation = "operation-2"
	_, err = client.Confirm(ctx, confirmation)
	require.ErrorIs(t, err, ErrStale)

	page, err := client.Audit(ctx, "depot", 0, 0)
	require.NoError(t, err)
	require.Len(t, page.Entries, 1)
	require.Equal(t, "maelle", page.Entries[0].Operator)
	services, err := client.Services(ctx)
	require.NoError(t, err)
	require.Equal(t, "config/doc/depot/1-operation-1", services.Services[0].Document)
}
