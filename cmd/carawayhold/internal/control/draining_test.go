package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

type markStep struct {
	source     string // "list" or "response"
	generation int64
	draining   bool
}

// Guards against an outdated VM list or late response that clears the mark of a
// draining endpoint, and against a mark that outlives the replaced process.
func TestDrainingMarks(t *testing.T) {
	cases := []struct {
		name  string
		steps []markStep
		want  bool
	}{
		{"list draining", []markStep{{"list", 1, true}}, true},
		{"response draining", []markStep{{"response", 1, true}}, true},
		{"outdated list live", []markStep{{"response", 2, true}, {"list", 1, false}}, true},
		{"same generation live", []markStep{{"response", 2, true}, {"list", 2, false}}, true},
		{"same generation responds normally", []markStep{{"list", 2, true}, {"response", 2, false}}, true},
		{"replaced, by list", []markStep{{"response", 2, true}, {"list", 3, false}}, false},
		{"replaced, by response", []markStep{{"list", 2, true}, {"response", 3, false}}, false},
		{"late draining response of the old process", []markStep{{"list", 3, false}, {"response", 2, true}}, false},
		{"draining without generation", []markStep{{"list", 3, false}, {"response", 0, true}, {"list", 3, false}}, true},
		{"replacement drains as well", []markStep{{"list", 2, true}, {"list", 3, true}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newDrainingMarks()
			for _, s := range c.steps {
				applyStep(m, s)
			}
			require.Equal(t, c.want, m.isDraining("a"))
		})
	}
}

func applyStep(m *drainingMarks, s markStep) {
	if s.source == "response" {
		m.observeResponse("a", s.generation, s.draining)
		return
	}
	state := platform.VMLive
	if s.draining {
		state = platform.VMLeaving
	}
	m.observeVMList(platform.VMList{VMs: []platform.VM{{Address: "a", Generation: s.generation, State: state}}})
}
