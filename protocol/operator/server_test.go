package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/ejection"
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

func (noEndpoints) Endpoints(_ context.Context, service string) ([]EndpointStatus, bool, error) {
	return []EndpointStatus{{Name: "depot-1", State: EndpointEjected}}, service == "depot", nil
}

// testAPI is a server over a store in memory with a client that calls its handler
// directly.
type testAPI struct {
	t          *testing.T
	store      *memoryStore
	client     *Client
	operations int

	metrics *metrics.Set
}

type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

func newAPI(t *testing.T) *testAPI {
	t.Helper()
	store := newMemoryStore()
	set := metrics.NewSet()
	handler := NewServer(store, noStatus{}, noEndpoints{}, newManualClock(), WithMetrics(set)).Handler()
	client, err := NewClient([]string{"proxy"}, WithTransport(handlerTransport{handler}), WithClock(newManualClock()))
	require.NoError(t, err)
	return &testAPI{t: t, store: store, client: client, metrics: set}
}

func (a *testAPI) plan(document string) config.Plan {
	a.t.Helper()
	plan, err := a.client.Plan(context.Background(), []byte(document))
	require.NoError(a.t, err)
	return plan
}

func (a *testAPI) confirm(plan config.Plan) (ConfirmationResult, error) {
	a.operations++
	return a.client.Confirm(context.Background(),
		Confirmation{Operation: fmt.Sprintf("operation-%d", a.operations), Operator: "maelle", Plan: plan})
}

func (a *testAPI) apply(document string) ConfirmationResult {
	a.t.Helper()
	confirmed, err := a.confirm(a.plan(document))
	require.NoError(a.t, err)
	return confirmed
}

func (a *testAPI) do(method, path, contentType, body string) (int, Problem) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := a.client.http.Transport.RoundTrip(request)
	require.NoError(a.t, err)
	var problem Problem
	require.NoError(a.t, json.NewDecoder(response.Body).Decode(&problem))
	return response.StatusCode, problem
}

func withSlots(slots int) string {
	return strings.Replace(depotDocument, `"slots": 6`, fmt.Sprintf(`"slots": %d`, slots), 1)
}

// Checks an accepted change from the document to the head and the audit trail.
func TestPlanAndConfirm(t *testing.T) {
	a := newAPI(t)
	ctx := context.Background()
	plan := a.plan(depotDocument)
	require.Equal(t, map[string]string{"depot": ""}, plan.Versions)
	confirmation := Confirmation{Operation: "operation-1", Operator: "maelle", Plan: plan}
	confirmed, err := a.client.Confirm(ctx, confirmation)
	require.NoError(t, err)
	require.Equal(t, ConfirmationResult{Revision: 1, Operation: "operation-1", Changed: true}, confirmed)

	repeated, err := a.client.Confirm(ctx, confirmation)
	require.NoError(t, err)
	require.Equal(t, ConfirmationResult{Revision: 1, Operation: "operation-1", Changed: true, Repeated: true}, repeated)

	unchanged, err := a.confirm(a.plan(depotDocument))
	require.NoError(t, err)
	require.False(t, unchanged.Changed)

	page, err := a.client.Audit(ctx, "depot", 0, 0)
	require.NoError(t, err)
	require.Len(t, page.Entries, 1)
	require.Equal(t, "maelle", page.Entries[0].Operator)
	services, err := a.client.Services(ctx)
	require.NoError(t, err)
	require.Equal(t, "config/doc/depot/1-operation-1", services.Services[0].Document)
	service, err := a.client.Service(ctx, "depot")
	require.NoError(t, err)
	require.Equal(t, services.Services[0].Digest, service.Digest())
	endpoints, err := a.client.Endpoints(ctx, "depot")
	require.NoError(t, err)
	require.Equal(t, EndpointEjected, endpoints.Endpoints[0].State)
	_, err = a.client.Endpoints(ctx, "atelier")
	require.ErrorIs(t, err, ErrNotFound)
	var exposed strings.Builder
	a.metrics.WritePrometheus(&exposed)
	require.Contains(t, exposed.String(),
		`carawayhold_operator_responses_total{route="/v1/services/{service}/endpoints",code="notFound"} 1`)
}

// Guards against a stale-plan error that does not say who changed what.
func TestStalePlanShowsDifference(t *testing.T) {
	a := newAPI(t)
	a.apply(depotDocument)
	plan := a.plan(withSlots(9))
	a.apply(withSlots(8))
	_, err := a.confirm(plan)
	require.ErrorIs(t, err, ErrStale)
	require.EqualError(t, err, strings.Join([]string{
		"the configuration changed since the plan was computed at revision 1; make a new plan",
		"revision 2 by maelle at 2026-03-01T12:00:00Z: changed depot (1 fields)",
		"changed since the plan was computed:",
		"~ service depot (changed)",
		"    ~ endpoints[depot-1].slots: 6 -> 8",
	}, "\n"))
}

// Guards against accepting a refused plan after the change that made it stale was
// reverted; a paused proxy could then apply what another had refused.
func TestRefusalIsFinal(t *testing.T) {
	tests := []struct{ name, planned, then, undo string }{
		{"service", depotDocument, strings.ReplaceAll(depotDocument, "/depot", "/counter"), `{"remove": ["depot"]}`},
		{"route", depotDocument, strings.Replace(depotDocument, `"name": "depot"`, `"name": "rival"`, 1), `{"remove": ["rival"]}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAPI(t)
			plan := a.plan(tt.planned)
			a.apply(tt.then)
			_, err := a.confirm(plan)
			require.ErrorIs(t, err, ErrStale)
			a.apply(tt.undo)
			_, err = a.confirm(plan)
			require.ErrorIs(t, err, ErrStale)
		})
	}
}

// Guards against an operation id that returns the result of another plan.
func TestReusedOperationIDIsInvalid(t *testing.T) {
	a := newAPI(t)
	first, second := a.plan(withSlots(8)), a.plan(withSlots(9))
	ctx := context.Background()
	_, err := a.client.Confirm(ctx, Confirmation{Operation: "operation-1", Operator: "maelle", Plan: first})
	require.NoError(t, err)
	_, err = a.client.Confirm(ctx, Confirmation{Operation: "operation-1", Operator: "maelle", Plan: second})
	require.ErrorIs(t, err, ErrInvalid)
	require.ErrorContains(t, err, "the operation id was used for another plan")
}

// Guards against invalid requests that write to the store or whose error does not
// state the reason.
func TestInvalidRequests(t *testing.T) {
	a := newAPI(t)
	plan := a.plan(depotDocument)
	confirmation := func(change func(*Confirmation)) string {
		c := Confirmation{Operation: "operation-1", Operator: "maelle", Plan: plan}
		c.Plan.Document.Services = append([]config.Service{}, plan.Document.Services...)
		change(&c)
		content, err := json.Marshal(c)
		require.NoError(t, err)
		return string(content)
	}
	unchanged := confirmation(func(*Confirmation) {})
	tests := []struct {
		name, method, path, contentType, body string
		status                                int
		want                                  string
	}{
		{"path", "GET", "/v1/frob", "", "", 404, "there is no /v1/frob"},
		{"method", "GET", "/v1/plans", "", "", 405, "/v1/plans does not take GET"},
		{
			"content type", "POST", "/v1/plans", "text/plain", depotDocument, 415,
			`content type "text/plain"; want one of ["application/json" "application/hujson"]`,
		},
		{
			"comments in a confirmation", "POST", "/v1/confirmations", "application/hujson", unchanged, 415,
			`content type "application/hujson"; want one of ["application/json"]`,
		},
		{
			"size", "POST", "/v1/plans", "application/json", strings.Repeat(" ", maxDocumentBytes+1), 413,
			"the request is larger than 2097152 bytes",
		},
		{
			"document", "POST", "/v1/plans", "application/json; charset=utf-8", `{"services": 1}`, 400,
			"the document is invalid\nline 1, column 14: services: found a number; want an array",
		},
		{
			"unknown field", "POST", "/v1/confirmations", "application/json", strings.Replace(unchanged, `"operator"`, `"author"`, 1), 400,
			"the request is invalid\njson: unknown field \"author\"; want a JSON object with the documented fields",
		},
		{
			"wrong type", "POST", "/v1/confirmations", "application/json", `{"operation": 1}`, 400,
			"the request is invalid\noperation: found a number; want a value of type string",
		},
		{
			"two values", "POST", "/v1/confirmations", "application/json", unchanged + unchanged, 400,
			"the request is invalid\nthe body goes on after the JSON object; want one JSON object",
		},
		{
			"operation", "POST", "/v1/confirmations", "application/json", confirmation(func(c *Confirmation) { c.Operation = "a/b" }), 400,
			"the request is invalid\noperation: not an operation id; want 8 to 64 lower-case letters, digits and '-', such as a UUID",
		},
		{
			"operator", "POST", "/v1/confirmations", "application/json", confirmation(func(c *Confirmation) { c.Operator = "" }), 400,
			"the request is invalid\noperator: not an operator name; want 1 to 63 lower-case letters, digits, '-', '_' and '.', starting with a letter or digit",
		},
		{
			"edited plan", "POST", "/v1/confirmations", "application/json",
			confirmation(func(c *Confirmation) { c.Plan.Document.Services[0].Floor = 0 }), 400,
			"the request is invalid\nplan.digest: the plan was edited or cut after it was computed; want the plan as the server returned it",
		},
		{
			"invalid plan", "POST", "/v1/confirmations", "application/json",
			confirmation(func(c *Confirmation) { c.Plan.Document.Services[0].Floor = 9 }), 400,
			"the document is invalid\nservices[0].floor: 9 is out of range; want a number from 0 to 2 (the service's endpoints)",
		},
		{
			"object of another kind", "POST", "/v1/confirmations", "application/json",
			confirmation(func(c *Confirmation) {
				c.Plan.Versions = map[string]string{"depot": "config/doc/depot/../../../once/depot/3"}
			}), 400,
			"the request is invalid\nplan.versions.depot: \"config/doc/depot/../../../once/depot/3\" is not a document of the service; want the plan as the server returned it",
		},
		{
			"ejections of a path", "GET", "/v1/services/..%2f..%2fconfig%2fhead/ejections", "", "", 404,
			`there is no service "..%2f..%2fconfig%2fhead"`,
		},
		{
			"page", "GET", "/v1/audit?limit=501", "", "", 400,
			"the request is invalid\nlimit: \"501\" is not valid; want a number from 1 to 500",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, problem := a.do(tt.method, tt.path, tt.contentType, tt.body)
			require.Equal(t, tt.want, problem.Error())
			require.Equal(t, tt.status, status)
			require.Empty(t, a.store.objects, "a refused request wrote to the store")
		})
	}
}

// Guards against audit pages that lose entries at the boundary between the head and
// the segments.
func TestAuditPagination(t *testing.T) {
	a := newAPI(t)
	const changes = 100
	for i := range changes {
		a.apply(withSlots(i + 1))
	}
	for _, limit := range []int{1, 7, 32, 33, 100, 500} {
		var revisions []int64
		before := int64(0)
		for {
			page, err := a.client.Audit(context.Background(), "depot", before, limit)
			require.NoError(t, err)
			for _, e := range page.Entries {
				revisions = append(revisions, e.Revision)
			}
			if before = page.Before; before == 0 {
				break
			}
		}
		require.Len(t, revisions, changes, "limit %d", limit)
		for i, r := range revisions {
			require.Equal(t, int64(changes-i), r)
		}
	}
	page, err := a.client.Audit(context.Background(), "atelier", 0, 10)
	require.NoError(t, err)
	require.Empty(t, page.Entries)
}

// Guards against ejection pages that skip or repeat entries, including on a page that
// spans the newest entries and a full segment.
func TestEjectionPagination(t *testing.T) {
	a := newAPI(t)
	const count = ejection.TrailSegment + 3
	var trail ejection.Trail
	for n := range count {
		next, full := trail.Append(ejection.TrailEntry{Proxy: strconv.Itoa(n + 1)})
		if len(full) > 0 {
			storeJSON(t, a.store, ejection.TrailSegmentName("depot", trail.Archived), full)
		}
		trail = next
	}
	storeJSON(t, a.store, ejection.TrailName("depot"), trail)
	want := count
	for before, pages := int64(0), 0; pages == 0 || before > 0; pages++ {
		page, err := a.client.Ejections(context.Background(), "depot", before, 100)
		require.NoError(t, err)
		for _, e := range page.Entries {
			require.Equal(t, strconv.Itoa(want), e.Proxy)
			want--
		}
		before = page.Before
	}
	require.Zero(t, want)
}

func storeJSON(t *testing.T, store Store, name string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	require.NoError(t, err)
	_, err = store.Put(context.Background(), name, 0, content)
	require.NoError(t, err)
}

// serverResponses is a transport with one response function per server name.
type serverResponses map[string]func(*http.Request) (*http.Response, error)

func (a serverResponses) RoundTrip(r *http.Request) (*http.Response, error) { return a[r.URL.Host](r) }

// Guards against a client that gives up while another proxy could respond, and
// against ErrUnavailable after a confirmation that may have been applied.
func TestClientFailover(t *testing.T) {
	respond := func(status int, body string) func(*http.Request) (*http.Response, error) {
		return func(*http.Request) (*http.Response, error) {
			recorder := httptest.NewRecorder()
			recorder.WriteHeader(status)
			_, err := recorder.WriteString(body)
			return recorder.Result(), err
		}
	}
	lost := func(*http.Request) (*http.Response, error) { return nil, errors.New("connection reset") }
	ok := respond(200, `{"revision": 7, "changed": true}`)
	lostOnce := false
	lostThenUnavailable := func(r *http.Request) (*http.Response, error) {
		if !lostOnce {
			lostOnce = true
			return lost(r)
		}
		return respond(503, `{"code": "unavailable"}`)(r)
	}
	unavailable := respond(503, `{"code": "unavailable", "error": "down"}`)
	tests := []struct {
		name    string
		servers serverResponses
		want    error
	}{
		{"first responds", serverResponses{"a": ok, "b": lost}, nil},
		{"second responds", serverResponses{"a": lost, "b": ok}, nil},
		{"other program at the address", serverResponses{"a": respond(404, "no such page"), "b": ok}, nil},
		{"other program, then platform down", serverResponses{"a": respond(404, "no such page"), "b": unavailable}, ErrUnavailable},
		{"gateway error, then platform down", serverResponses{"a": respond(502, "bad gateway"), "b": unavailable}, ErrUnknown},
		{"code and status disagree", serverResponses{"a": respond(500, `{"code": "stale"}`), "b": ok}, nil},
		{"platform down for all", serverResponses{"a": unavailable, "b": unavailable}, ErrUnavailable},
		{"lost, then platform down", serverResponses{"a": lost, "b": unavailable}, ErrUnknown},
		{"platform down, then lost", serverResponses{"a": unavailable, "b": lost}, ErrUnknown},
		{"lost in the first round only", serverResponses{"a": lostThenUnavailable, "b": unavailable}, ErrUnknown},
		{"unknown, then refused", serverResponses{"a": respond(504, `{"code": "unknown"}`), "b": respond(409, `{"code": "stale"}`)}, ErrStale},
		{"invalid is final", serverResponses{"a": respond(400, `{"code": "invalid"}`), "b": ok}, ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client, err := NewClient([]string{"a", "b"}, WithTransport(tt.servers), WithClock(newManualClock()))
			require.NoError(t, err)
			_, err = client.Confirm(context.Background(), Confirmation{})
			require.ErrorIs(t, err, tt.want)
		})
	}
	for _, server := range []string{"", "ftp://a", "http://"} {
		_, err := NewClient([]string{server})
		require.ErrorIs(t, err, ErrInvalid, server)
	}
}
