package config

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validDocument = `{
  // The counter.
  "services": [{
    "name": "depot",
    "routes": [{"pathPrefix": "/depot/dropoffs", "methods": ["POST"], "class": "booking"},
               {"pathPrefix": "/depot", "class": "prompt"}],
    "endpoints": [
      {"name": "depot-1", "address": "10.0.0.1:8080", "zone": "finistere", "slots": 6},
      {"name": "depot-2", "address": "10.0.0.2:8080", "zone": "morbihan", "slots": 6},
    ],
    "classes": [
      {"name": "booking", "priority": 3, "repeat": "never", "deadlineMillis": 4000, "queueLimit": 32},
      {"name": "prompt", "priority": 2, "repeat": "allowed", "deadlineMillis": 1000, "queueLimit": 64},
    ],
    "floor": 1,
  }],
}`

func mistakesOf(t *testing.T, content string) []string {
	t.Helper()
	_, err := Parse([]byte(content))
	var mistakes Mistakes
	require.True(t, errors.As(err, &mistakes), "error: %v", err)
	var lines []string
	for _, m := range mistakes {
		lines = append(lines, m.String())
	}
	return lines
}

// Guards against mistakes that are not reported, have no position, or are hidden by an
// earlier one.
func TestParseReportsMistakes(t *testing.T) {
	const booking = `{"name": "booking", "priority": 3, "repeat": "never"`
	tests := []struct {
		name, old, replacement string
		want                   []string
	}{
		{
			"syntax", `"floor": 1,`, `"floor": 1;`,
			[]string{`line 15, column 15: invalid character ';' after object value (expecting ',' or '}'); want JSON, in which comments and trailing commas are allowed`},
		},
		{
			"unknown field", `"floor": 1,`, `"floor": 1, "flor": 2,`,
			[]string{`line 15, column 17: services[0].flor: unknown field; want one of name, routes, endpoints, classes, floor, weighting, teams, echoHeader, heldBytes, warmUpMillis, retryBudgetPercent, oncePartitions, retentionMillis, timedKeys`},
		},
		{
			"field name in other case", `"floor": 1,`, `"Floor": 1,`,
			[]string{
				`line 3, column 16: services[0].floor: the field is missing; want the field floor`,
				`line 15, column 5: services[0].Floor: unknown field; want one of name, routes, endpoints, classes, floor, weighting, teams, echoHeader, heldBytes, warmUpMillis, retryBudgetPercent, oncePartitions, retentionMillis, timedKeys`,
			},
		},
		{
			"field twice", `"floor": 1,`, `"floor": 1, "floor": 2,`,
			[]string{`line 15, column 17: services[0].floor: the field is given twice, first on line 15; want it once`},
		},
		{
			"wrong types", `"slots": 6},
      {"name": "depot-2"`, `"slots": "6"},
      {"name": 2`,
			[]string{
				`line 8, column 85: services[0].endpoints[0].slots: found a string; want a whole number`,
				`line 9, column 16: services[0].endpoints[1].name: found a number; want a string`,
			},
		},
		{
			"column in characters", `"zone": "finistere"`, `/* é */ "zone": "Finistère"`,
			[]string{`line 8, column 71: services[0].endpoints[0].zone: "Finistère" is not a name; want ` + wantNameSyntax},
		},
		{
			"fraction", `"floor": 1,`, `"floor": 1.0,`,
			[]string{`line 15, column 14: services[0].floor: 1.0 is not a whole number of 64 bits; want a whole number`},
		},
		{
			"null", `"floor": 1,`, `"floor": null,`,
			[]string{`line 15, column 14: services[0].floor: found null; want a whole number`},
		},
		{
			"floor above endpoints", `"floor": 1,`, `"floor": 3,`,
			[]string{`line 15, column 14: services[0].floor: 3 is out of range; want a number from 0 to 2 (the service's endpoints)`},
		},
		{
			"unknown class", `"class": "prompt"`, `"class": "browse"`,
			[]string{`line 6, column 50: services[0].routes[1].class: the service has no class "browse"; want one of "booking", "prompt"`},
		},
		{
			"duplicate route", `{"pathPrefix": "/depot", `, `{"pathPrefix": "/depot/dropoffs", "methods": ["GET", "POST"], `,
			[]string{`line 6, column 16: services[0].routes[1]: the route POST /depot/dropoffs duplicates services[0].routes[0]; want another host, path prefix or method`},
		},
		{
			"duplicate endpoint", `"depot-2", "address": "10.0.0.2:8080"`, `"depot-1", "address": "10.0.0.1:8080"`,
			[]string{
				`line 9, column 16: services[0].endpoints[1].name: the endpoint "depot-1" is already given in services[0].endpoints[0].name; want each endpoint once`,
				`line 9, column 38: services[0].endpoints[1].address: the address "10.0.0.1:8080" is already given in services[0].endpoints[0].address; want each address once`,
			},
		},
		{
			"host name as address", `10.0.0.1:8080`, `depot.example:8080`,
			[]string{`line 8, column 38: services[0].endpoints[0].address: "depot.example:8080" is not an address; want an IP address and a port, for example 10.0.0.7:8080 or [fd00::7]:8080`},
		},
		{
			"address in another spelling", `10.0.0.1:8080`, `[FD00::0:1]:8080`,
			[]string{`line 8, column 38: services[0].endpoints[0].address: "[FD00::0:1]:8080" is not in canonical form; want [fd00::1]:8080`},
		},
		{
			"hedge without repeat", booking, booking + `, "hedge": true`,
			[]string{`line 12, column 70: services[0].classes[0].hedge: hedging sends a request twice, which the repeat rule "never" forbids; want false, or "repeat": "allowed"`},
		},
		{
			"repeat rule", `"repeat": "never"`, `"repeat": "no"`,
			[]string{`line 12, column 52: services[0].classes[0].repeat: unknown repeat rule "no"; want "allowed" or "never"`},
		},
		{
			"ranges", `"floor": 1,`, `"floor": -1, "heldBytes": -1, "retryBudgetPercent": 101, "retentionMillis": 5,`,
			[]string{
				`line 15, column 14: services[0].floor: -1 is out of range; want a number from 0 to 2 (the service's endpoints)`,
				`line 15, column 31: services[0].heldBytes: -1 is out of range; want a number from 1 to 67108864 (bytes)`,
				`line 15, column 57: services[0].retryBudgetPercent: 101 is out of range; want a number from 1 to 100 (percent)`,
				`line 15, column 81: services[0].retentionMillis: 5 is out of range; want a number from 60000 to 2592000000 (milliseconds)`,
			},
		},
		{
			"set and removed", "  }],\n}", `  }], "remove": ["depot"]}`,
			[]string{`line 16, column 18: remove[0]: the service "depot" is already given in services[0].name; want each service once`},
		},
		{
			"path", `"/depot", "class"`, `"/depot/../x?", "class"`,
			[]string{`line 6, column 31: services[0].routes[1].pathPrefix: "/depot/../x?" is not a path prefix; want a path that starts with '/', of printable ASCII without '?', '#', '%', '//', '/./' or '/../'`},
		},
		{
			"weighting", `"floor": 1,`, `"floor": 1, "weighting": "speed", "teams": ["a", "a"], "echoHeader": "X Id",`,
			[]string{
				`line 15, column 30: services[0].weighting: unknown weighting "speed"; want "balanced", "detection" or "falseEjections"`,
				`line 15, column 54: services[0].teams[1]: the team "a" is already given in services[0].teams[0]; want each team once`,
				`line 15, column 74: services[0].echoHeader: "X Id" is not a header name; want a header name of letters, digits and '-'`,
			},
		},
		{"empty", validDocument, `{}`, []string{`line 1, column 1: the document is empty; want at least one service to set or to remove`}},
		{"not an object", validDocument, `[]`, []string{`line 1, column 1: found an array; want an object`}},
		{"nesting", validDocument, strings.Repeat("[", 100), []string{`line 1, column 33: the document is nested too deeply; want at most 32 levels`}},
		{"encoding", `"depot"`, "\"\xff\"", []string{`line 4, column 14: the text is not valid UTF-8; want text in UTF-8`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Contains(t, validDocument, tt.old)
			require.Equal(t, tt.want, mistakesOf(t, strings.Replace(validDocument, tt.old, tt.replacement, 1)))
		})
	}
}

// Guards against an invalid example in docs/operators.md.
func TestExampleOfOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	require.NoError(t, err)
	_, example, found := strings.Cut(string(page), "```jsonc\n")
	require.True(t, found)
	example, _, _ = strings.Cut(example, "```")
	document, err := Parse([]byte(example))
	require.NoError(t, err)
	require.Empty(t, Warnings(nil, document.Services))
}

// Guards against a small document that causes an unlimited list of mistakes.
func TestParseLimitsMistakes(t *testing.T) {
	var content strings.Builder
	content.WriteString(`{"remove": [`)
	for range 5000 {
		content.WriteString(`1,`)
	}
	content.WriteString(`]}`)
	lines := mistakesOf(t, content.String())
	require.Len(t, lines, maxMistakes+1)
	require.Equal(t, "more mistakes are not listed", lines[maxMistakes])
}

// Guards against panics, against positions outside the text, and against documents
// that change when they are encoded and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"remove": ["a"], /* x */ "services": [{"name": null, "floor": 1e9}]}`))
	f.Add([]byte("{\"a\": \"\\\" // \", [[{"))
	f.Fuzz(func(t *testing.T, content []byte) {
		document, err := Parse(content)
		var mistakes Mistakes
		if errors.As(err, &mistakes) {
			lines := strings.Split(string(content), "\n")
			for _, m := range mistakes {
				require.LessOrEqual(t, m.Line, len(lines))
				if m.Line > 0 {
					require.LessOrEqual(t, m.Column, len([]rune(lines[m.Line-1]))+1)
				}
			}
			return
		}
		require.NoError(t, err)
		require.NoError(t, document.Validate())
		for _, s := range document.Services {
			again, err := DecodeStored(s.Canonical(), s.Digest())
			require.NoError(t, err)
			require.Equal(t, s.Digest(), again.Digest())
			require.Empty(t, Diff([]Service{s}, []Service{again}))
		}
	})
}
