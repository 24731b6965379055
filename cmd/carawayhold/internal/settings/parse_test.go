package settings

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `{
  // Settings of one proxy.
  "name": "entry-1", "region": "breizh", "zone": "finistere",
  "caller":   {"listen": "127.0.0.1:8080"},
  "operator": {"listen": "127.0.0.1:8081"},
  "peer":     {"listen": "127.0.0.1:8082", "seeds": ["127.0.0.1:8182"]},
  "admin":    {"listen": "127.0.0.1:8083"},          // GET /ready for the balancer, GET /metrics
  "platform": {"url": "http://127.0.0.1:7000"},
  "shutdown": {"balancerLagMillis": 0, "finishMillis": 10000},
  "log":      {"level": "debug"}
}`

// Guards against values that are stored in the wrong field or not at all.
func TestParseValidSettings(t *testing.T) {
	s, mistakes := Parse([]byte(valid))
	require.Empty(t, mistakes)
	require.Equal(t, Settings{
		Name: "entry-1", Region: "breizh", Zone: "finistere",
		Caller: Listen{"127.0.0.1:8080"}, Operator: Listen{"127.0.0.1:8081"}, Admin: Listen{"127.0.0.1:8083"},
		Peer:     Peer{Listen: "127.0.0.1:8082", Seeds: []string{"127.0.0.1:8182"}},
		Platform: Platform{URL: "http://127.0.0.1:7000", WritesPerSecond: 300},
		Shutdown: Shutdown{BalancerLagMillis: 0, DrainTimeoutMillis: 10000},
		Log:      Log{Level: "debug"},
	}, s)
	require.Zero(t, s.Shutdown.BalancerLag())
	require.Equal(t, 10*time.Second, s.Shutdown.DrainTimeout())
}

// Guards against mistakes that are accepted, hidden by others or reported at the
// wrong position.
func TestParseReportsEveryMistake(t *testing.T) {
	_, mistakes := Parse([]byte(`{
  "name": "Entry 1", "region": 5, "zone": "finistere", "zones": [],
  "caller":   {"listen": "localhost:8080", "x": 1},
  "operator": {"listen": "127.0.0.1:8081"},
  "peer":     {"listen": "127.0.0.1:8081", "seeds": [7, "0.0.0.0:1"]},
  "admin":    [],
  "shutdown": {"balancerLagMillis": -1, "finishMillis": 1.5},
  "log": {"level": "loud"}, "log": {},
}`))
	var positions []string
	for _, m := range mistakes {
		text, _, _ := bytes.Cut([]byte(m.String()), []byte(": "))
		positions = append(positions, string(text)+" "+m.Field)
	}
	require.Equal(t, []string{
		"1:1 platform",
		"2:11 name", "2:32 region", "2:56 zones",
		"3:26 caller.listen", "3:44 caller.x",
		"5:26 peer.listen", "5:54 peer.seeds[0]", "5:57 peer.seeds[1]",
		"6:15 admin",
		"7:37 shutdown.balancerLagMillis", "7:57 shutdown.finishMillis",
		"8:20 log.level", "8:29 log",
	}, positions)
}

// Guards against a syntax error that is reported at the start of the file.
func TestSyntaxErrorPosition(t *testing.T) {
	_, mistakes := Parse([]byte("{\n  \"name\": ?\n}"))
	require.Len(t, mistakes, 1)
	require.Equal(t, 2, mistakes[0].Line)
	require.Equal(t, 11, mistakes[0].Column)
}

// Guards against panics, positions outside the file, and settings that are
// accepted although a required field is missing.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"name": 1, "peer": {"seeds": [{}]}}`))
	f.Add([]byte("// only a comment"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, mistakes := Parse(content)
		lines := bytes.Count(content, []byte("\n")) + 1
		for _, m := range mistakes {
			require.True(t, m.Line >= 1 && m.Line <= lines && m.Column >= 1, m)
			require.NotEmpty(t, m.Text)
		}
		if len(mistakes) > 0 {
			return
		}
		for _, v := range []string{
			s.Name, s.Region, s.Zone, s.Caller.Listen, s.Operator.Listen, s.Peer.Listen, s.Admin.Listen,
			s.Platform.URL, s.Log.Level,
		} {
			require.NotEmpty(t, v)
		}
	})
}
