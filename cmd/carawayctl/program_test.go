package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/operator"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

const depotDocument = `{"services": [{
  "name": "depot", "floor": 1, // of two
  "routes": [{"pathPrefix": "/depot", "class": "prompt"}],
  "endpoints": [{"name": "depot-1", "address": "10.0.0.1:8080", "zone": "finistere", "slots": 6},
                {"name": "depot-2", "address": "10.0.0.2:8080", "zone": "morbihan", "slots": 6}],
  "classes": [{"name": "prompt", "priority": 2, "repeat": "allowed", "deadlineMillis": 1000, "queueLimit": 64}],
}]}`

// fleet is an object store in memory, which can be unavailable, with the fixed state of
// a proxy.
type fleet struct {
	mu      sync.Mutex
	version int64
	objects map[string]platform.Object
	down    bool
}

func (f *fleet) Get(_ context.Context, name string) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	object, ok := f.objects[name]
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (f *fleet) Put(_ context.Context, name string, expect int64, value []byte) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, platform.ErrUnavailable
	}
	if f.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	f.version++
	f.objects[name] = platform.Object{Name: name, Version: f.version, Value: value}
	return f.version, nil
}

func (f *fleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{
		Proxy: "entry-1", Zone: "finistere", Revision: 7, KnownRevision: 7, ConfirmedAgeMillis: 800, Ready: true,
		Members: []operator.MemberStatus{
			{Name: "entry-1", Address: "10.0.1.1:8082", Zone: "finistere", State: "alive"},
			{Name: "entry-2", Address: "10.0.1.2:8082", Zone: "morbihan", State: "alive", Revision: 7, AgeMillis: 400},
			{Name: "entry-3", Address: "10.0.1.3:8082", Zone: "morbihan", State: "suspect", Revision: 6, AgeMillis: 90_000},
		},
	}, nil
}

func (f *fleet) Endpoints(_ context.Context, service string) ([]operator.EndpointStatus, bool, error) {
	return []operator.EndpointStatus{
		{Name: "depot-1", Address: "10.0.0.1:8080", Zone: "finistere", State: operator.EndpointServing, Limit: 2, Weight: 1},
		{
			Name: "depot-2", Address: "10.0.0.2:8080", Zone: "morbihan", State: operator.EndpointEjected, Limit: 1,
			Evidence: []operator.Evidence{{Kind: "wrong", Count: 12, Score: 9.1, Threshold: 8}},
		},
	}, service == "depot", nil
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

func (fixedClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// harness runs the program against a proxy, with its files in a temporary directory.
type harness struct {
	t         *testing.T
	fleet     *fleet
	server    string
	directory string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	f := &fleet{objects: map[string]platform.Object{}}
	server := httptest.NewServer(operator.NewServer(f, f, f, fixedClock{}).Handler())
	t.Cleanup(server.Close)
	t.Setenv(serversVariable, server.URL)
	t.Setenv(operatorVariable, "maelle")
	h := &harness{t: t, fleet: f, server: server.URL, directory: t.TempDir()}
	h.write("depot.jsonc", depotDocument)
	return h
}

func (h *harness) path(name string) string { return filepath.Join(h.directory, name) }

func (h *harness) write(name, content string) {
	require.NoError(h.t, os.WriteFile(h.path(name), []byte(content), 0o600))
}

// run executes a command line in which @ is replaced by the directory. The output has @
// for the directory, SERVER for the address of the proxy and UUID for any UUID.
func (h *harness) run(stdin string, terminal bool, line string) (code int, stdout, stderr string) {
	var out, errors bytes.Buffer
	p := newProgram(strings.NewReader(stdin), &out, &errors, terminal)
	p.clock = fixedClock{}
	arguments := append([]string{"carawayctl"}, strings.Fields(strings.ReplaceAll(line, "@", h.directory+"/"))...)
	code = p.run(context.Background(), arguments)
	clean := func(text string) string {
		text = strings.ReplaceAll(strings.ReplaceAll(text, h.directory+"/", "@"), h.server, "SERVER")
		return regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`).ReplaceAllString(text, "UUID")
	}
	return code, clean(out.String()), clean(errors.String())
}

const addedDepot = `plan on revision 0
+ service depot (added)
    + classes[prompt].deadlineMillis: 1000
    + classes[prompt].priority: 2
    + classes[prompt].queueLimit: 64
    + classes[prompt].repeat: "allowed"
    + endpoints[depot-1].address: "10.0.0.1:8080"
    + endpoints[depot-1].connections: 300
    + endpoints[depot-1].slots: 6
    + endpoints[depot-1].zone: "finistere"
    + endpoints[depot-2].address: "10.0.0.2:8080"
    + endpoints[depot-2].connections: 300
    + endpoints[depot-2].slots: 6
    + endpoints[depot-2].zone: "morbihan"
    + floor: 1
    + heldBytes: 1048576
    + oncePartitions: 64
    + retentionMillis: 86400000
    + retryBudgetPercent: 10
    + routes[* /depot].class: "prompt"
    + warmUpMillis: 10000
    + weighting: "balanced"
`

// Guards against exit codes and output that differ from docs/operators.md. The cases
// depend on the state that the previous ones leave in the store.
func TestCommands(t *testing.T) {
	h := newHarness(t)
	h.write("bad.jsonc", `{"services": [{"name": "Depot"}]}`)
	h.write("more.jsonc", strings.Replace(depotDocument, `"slots": 6`, `"slots": 8`, 1))
	h.write("full.jsonc", strings.Replace(depotDocument, `"floor": 1`, `"floor": 2`, 1))
	_, err := h.fleet.Put(context.Background(), "audit/ejection/depot", 0, []byte(`{"entries": [{"time": "2026-03-01T12:00:00Z",
		"proxy": "entry-1", "action": "eject", "entry": {"endpoint": "depot-2", "kind": "wrong", "evidence": 9.1}}]}`))
	require.NoError(t, err)
	h.write("nonsense.json", `{"operation": "x", "plan": {}, "more": 1}`)
	tests := []struct {
		name, line     string
		stdin          string
		terminal       bool
		code           int
		stdout, stderr string
	}{
		{name: "unknown command", line: "frob", code: 2, stderr: "carawayctl: unknown command \"frob\"; see carawayctl help\n"},
		{
			name: "unknown output", line: "--output xml status", code: 2,
			stderr: "carawayctl: invalid value \"xml\" for flag -output: --output \"xml\"; want text or json\n",
		},
		{
			name: "missing argument", line: "plan", code: 2,
			stderr: "carawayctl: plan takes 1 argument(s), but 0 were given; usage: carawayctl plan FILE\n",
		},
		{name: "missing file", line: "plan @none", code: 2, stderr: "carawayctl: open @none: no such file or directory\n"},
		{
			name: "bad document", line: "plan @bad.jsonc", code: 2,
			stderr: "carawayctl: the document is invalid\n" +
				"line 1, column 15: services[0].routes: the field is missing; want the field routes\n" +
				"line 1, column 15: services[0].endpoints: the field is missing; want the field endpoints\n" +
				"line 1, column 15: services[0].classes: the field is missing; want the field classes\n" +
				"line 1, column 15: services[0].floor: the field is missing; want the field floor\n" +
				"line 1, column 24: services[0].name: \"Depot\" is not a name; want 1 to 63 lower-case letters, digits, '-', '_' and '.', starting with a letter or digit\n",
		},
		{
			name: "plan", line: "plan --out @plan.json @depot.jsonc",
			stdout: addedDepot + "nothing is applied yet; confirm with: carawayctl confirm @plan.json\n",
		},
		{name: "plan from standard input", line: "plan -", stdin: depotDocument, stdout: addedDepot},
		{
			name: "confirm needs a terminal", line: "plan --confirm @depot.jsonc", code: 2,
			stderr: "carawayctl: --confirm asks on a terminal and there is none; use plan --out PLANFILE and confirm PLANFILE\n",
		},
		{
			name: "declined", line: "plan --confirm @depot.jsonc", terminal: true, stdin: "y\n", code: 1,
			stdout: addedDepot + "Apply this plan? Only \"yes\" applies it: ",
			stderr: "carawayctl: not confirmed; nothing was applied\n",
		},
		{
			name: "not a plan file", line: "confirm @nonsense.json", code: 2,
			stderr: "carawayctl: @nonsense.json is not a plan file: json: unknown field \"more\"; want the output of carawayctl plan --out\n",
		},
		{name: "confirm", line: "confirm @plan.json", stdout: "accepted as revision 1\n"},
		{name: "confirm again", line: "confirm @plan.json", stdout: "already accepted earlier as revision 1\n"},
		{name: "nothing to plan", line: "plan --out @same.json @depot.jsonc", stdout: "plan on revision 1\nno changes\n" +
			"nothing is applied yet; confirm with: carawayctl confirm @same.json\n"},
		{name: "nothing to change", line: "confirm @same.json", stdout: "nothing to change; the configuration is at revision 1\n"},
		{
			name: "plan that becomes stale", line: "plan --out @stale.json @full.jsonc",
			stdout: "plan on revision 1\n~ service depot (changed)\n    ~ floor: 1 -> 2\n" +
				"warning: depot: the floor equals the number of endpoints (2); no endpoint can ever be ejected\n" +
				"nothing is applied yet; confirm with: carawayctl confirm @stale.json\n",
		},
		{
			name: "interactive", line: "plan --confirm @more.jsonc", terminal: true, stdin: "yes\n",
			stdout: "plan on revision 1\n~ service depot (changed)\n    ~ endpoints[depot-1].slots: 6 -> 8\n" +
				"Apply this plan? Only \"yes\" applies it: accepted as revision 2\n",
		},
		{
			name: "stale", line: "confirm @stale.json", code: 3,
			stderr: "carawayctl: the configuration changed since the plan was computed at revision 1; make a new plan\n" +
				"revision 2 by maelle at 2026-03-01T12:00:00Z: changed depot (1 fields)\n" +
				"changed since the plan was computed:\n~ service depot (changed)\n    ~ endpoints[depot-1].slots: 6 -> 8\n",
		},
		{
			name: "fail-over", line: "-s 127.0.0.1:1 -s " + h.server + " services",
			stdout: "revision 2\nSERVICE  ENDPOINTS  FLOOR  ROUTES  WEIGHTING  CLASSES\ndepot    2          1      1       balanced   prompt\n",
		},
		{name: "unknown service", line: "services atelier", code: 2, stderr: "carawayctl: there is no service \"atelier\"\n"},
		{
			name: "status", line: "status",
			stdout: "proxy entry-1 in finistere, ready, revision 7 of 7, confirmed by the platform 0.8 s ago\n" +
				"PROXY    ZONE      ADDRESS        STATE    REVISION    REPORTED\n" +
				"entry-2  morbihan  10.0.1.2:8082  alive    7           0.4 s ago\n" +
				"entry-3  morbihan  10.0.1.3:8082  suspect  6 (behind)  1m30s ago\n" +
				"1 of 2 other proxies have not confirmed revision 7\n",
		},
		{
			name: "status of all", line: "-s 127.0.0.1:1 -s " + h.server + " status --all", code: 4,
			stdout: "http://127.0.0.1:1: no answer\nSERVER: proxy entry-1 in finistere, ready, revision 7 of 7, confirmed by the platform 0.8 s ago\n",
			stderr: "carawayctl: http://127.0.0.1:1: Get \"http://127.0.0.1:1/v1/status\": dial tcp 127.0.0.1:1: connect: connection refused\n",
		},
		{
			name: "endpoints", line: "endpoints",
			stdout: "SERVICE  ENDPOINT  ADDRESS        ZONE       STATE    WEIGHT  IN FLIGHT  EVIDENCE\n" +
				"depot    depot-1   10.0.0.1:8080  finistere  serving  1.00    0/2        -\n" +
				"depot    depot-2   10.0.0.2:8080  morbihan   ejected  0.00    0/1        wrong ×12 (score 9.1 of 8.0)\n",
		},
		{
			name: "audit", line: "audit --limit 1",
			stdout: "REVISION  TIME                  OPERATOR  BASE  OPERATION                             SUMMARY\n" +
				"2         2026-03-01T12:00:00Z  maelle    1     UUID  changed depot (1 fields)\n" +
				"older entries: repeat with --before 2\n",
		},
		{
			name: "ejections", line: "audit --ejections --service depot",
			stdout: "TIME                  PROXY    ACTION  ENDPOINT  KIND   EVIDENCE\n" +
				"2026-03-01T12:00:00Z  entry-1  eject   depot-2   wrong  9.1\n",
		},
		{name: "ejections of no service", line: "audit --ejections", code: 2, stderr: "carawayctl: --ejections needs --service\n"},
		{
			name: "not reachable", line: "-s 127.0.0.1:1 confirm @plan.json", code: 4,
			stderr: "carawayctl: http://127.0.0.1:1: Post \"http://127.0.0.1:1/v1/confirmations\": dial tcp 127.0.0.1:1: connect: connection refused\n",
		},
	}
	for _, tt := range tests {
		code, stdout, stderr := h.run(tt.stdin, tt.terminal, tt.line)
		require.Equal(t, tt.stdout, stdout, tt.name)
		require.Equal(t, tt.stderr, stderr, tt.name)
		require.Equal(t, tt.code, code, tt.name)
	}
}

// Guards against JSON output that scripts cannot parse.
func TestJSONOutput(t *testing.T) {
	h := newHarness(t)
	code, stdout, _ := h.run("", false, "-o json plan @depot.jsonc")
	require.Equal(t, exitDone, code)
	h.write("plan.json", strings.ReplaceAll(stdout, "UUID", "operation-1"))
	_, stdout, _ = h.run("", false, "-o json confirm @plan.json")
	require.JSONEq(t, `{"revision": 1, "operation": "operation-1", "changed": true, "repeated": false}`, stdout)
	for _, line := range []string{"status", "status --all", "audit", "endpoints", "services", "services depot", "audit --ejections --service depot"} {
		code, stdout, stderr := h.run("", false, "-o json "+line)
		require.Equal(t, exitDone, code, stderr)
		require.True(t, json.Valid([]byte(stdout)), line)
	}
	_, description, _ := h.run("", false, "services depot")
	h.write("again.jsonc", description)
	_, stdout, _ = h.run("", false, "plan @again.jsonc")
	require.Equal(t, "plan on revision 1\nno changes\n", stdout)
	code, _, stderr := h.run("", false, "-o json services atelier")
	require.Equal(t, exitBadInput, code)
	require.JSONEq(t, `{"code": "notFound", "error": "there is no service \"atelier\""}`, stderr)
}

// Guards against an exit code that reports an unknown result as a failure, and against
// a second operation when the same plan file is confirmed again.
func TestUnknownResult(t *testing.T) {
	h := newHarness(t)
	code, _, stderr := h.run("", false, "plan --out @plan.json @depot.jsonc")
	require.Equal(t, exitDone, code, stderr)
	var dropResponses bool
	handler := operator.NewServer(h.fleet, h.fleet, h.fleet, fixedClock{}).Handler()
	proxy := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(httptest.NewRecorder(), r)
		if dropResponses {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
	}))
	defer proxy.Close()
	dropResponses = true
	code, _, _ = h.run("", false, "-s "+proxy.URL+" confirm @plan.json")
	require.Equal(t, exitUnknown, code)
	code, stdout, _ := h.run("", false, "-s "+proxy.URL+" -s "+h.server+" confirm @plan.json")
	require.Equal(t, exitDone, code)
	require.Equal(t, "already accepted earlier as revision 1\n", stdout)

	h.fleet.down = true
	code, _, _ = h.run("", false, "status")
	require.Equal(t, exitDone, code)
	code, _, _ = h.run("", false, "plan @depot.jsonc")
	require.Equal(t, exitUnreachable, code)
}

// Guards against missing completion scripts and commands missing from the completion.
func TestCompletion(t *testing.T) {
	h := newHarness(t)
	for _, shell := range []string{"bash", "zsh", "fish", "pwsh"} {
		code, stdout, _ := h.run("", false, "completion "+shell)
		require.Equal(t, exitDone, code)
		require.Contains(t, stdout, "generate-shell-completion", shell)
	}
	// The library reads os.Args instead of the arguments passed to it.
	defer func(before []string) { os.Args = before }(os.Args)
	os.Args = []string{"carawayctl", "--generate-shell-completion"}
	code, stdout, _ := h.run("", false, "--generate-shell-completion")
	require.Equal(t, exitDone, code)
	for _, command := range []string{"plan", "confirm", "status", "audit", "endpoints", "services", "explain"} {
		require.Contains(t, stdout, command)
	}
}
