package main

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

const proxyLog = `edge-a {"level":"info","ts":"2026-12-04T10:00:04.000Z","msg":"configuration: in force","version":6,"source":"store"}
edge-a {"level":"info","ts":"2026-12-04T10:00:05.200Z","msg":"request: refused","request":"r1","reason":"no_endpoint","elapsed":3,"service":"depot"}
panic: oops
`

// Guards against changes of the exit codes and output that scripts depend on.
func TestExplain(t *testing.T) {
	h := newHarness(t)
	h.write("edge.log", proxyLog)
	h.write("empty.log", "")
	const unreadable = "carawayctl: @edge.log: 1 lines could not be read, the first is line 3: proxylog: not a log line\n"
	const trace = "10:00:04.000  edge-a  configuration  configuration: in force  source=store version=6\n" +
		"10:00:05.200  edge-a                 request: refused         elapsed=3 reason=no_endpoint service=depot\n"
	tests := []struct {
		name, line, stdin string
		code              int
		stdout, stderr    string
	}{
		{name: "found", line: "explain r1 @edge.log", stdout: trace, stderr: unreadable},
		{name: "standard input", line: "explain r1 @empty.log -", stdin: proxyLog[:len(proxyLog)-len("panic: oops\n")], stdout: trace},
		{
			name: "unknown request", line: "explain r2 @empty.log", code: exitFailed,
			stderr: "carawayctl: r2: no line of that request; an ordinary served request leaves none\n",
		},
		{name: "no file", line: "explain r1 @none.log", code: exitFailed, stderr: "carawayctl: proxylog: cannot open: open @none.log: no such file or directory\n"},
		{
			name: "no id", line: "explain @edge.log", code: exitBadInput,
			stderr: "carawayctl: explain needs the id of a request and a file, or - for standard input\n",
		},
		{
			name: "summary without a file", line: "explain --summary", code: exitBadInput,
			stderr: "carawayctl: explain --summary needs a file, or - for standard input\n",
		},
		{
			name: "summary", line: "explain --summary @edge.log", stderr: unreadable,
			stdout: "MINUTE            REQUESTS  OUTCOME           REASON       SERVICE\n" +
				"2026-12-04 10:00  1         request: refused  no_endpoint  depot\n",
		},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := h.run(c.stdin, false, c.line)
			require.Equal(t, c.code, code, stderr)
			require.Equal(t, c.stdout, stdout)
			require.Equal(t, c.stderr, stderr)
		})
	}

	_, stdout, _ := h.run("", false, "explain --json r1 @edge.log")
	var got explanation
	require.NoError(t, json.Unmarshal([]byte(stdout), &got))
	require.Equal(t, "r1", got.Request)
	require.Len(t, got.Entries, 2)
	require.Equal(t, 1, got.Unreadable[0].Lines)
	var line map[string]any
	require.NoError(t, json.Unmarshal(got.Entries[1].Line, &line))
	require.Equal(t, "no_endpoint", line["reason"])
}
