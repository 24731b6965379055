package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

type markStep struct {
	source     string // "list" or "answer"
	generation int64
	leaving    bool
}

// Guards against an old VM list or a late answer that brings a leaving endpoint
// back, and against a replaced endpoint that stays out for ever.
func TestMarks(t *testing.T) {
	cases := []struct {
		name  string
		steps []markStep
		want  bool
	}{
		{"list leaving", []markStep{{"list", 1, true}}, true},
		{"answer draining", []markStep{{"answer", 1, true}}, true},
		{"old list live", []markStep{{"answer", 2, true}, {"list", 1, false}}, true},
		{"same generation live", []markStep{{"answer", 2, true}, {"list", 2, false}}, true},
		{"same generation answers normally", []markStep{{"list", 2, true}, {"answer", 2, false}}, true},
		{"replaced, by list", []markStep{{"answer", 2, true}, {"list", 3, false}}, false},
		{"replaced, by answer", []markStep{{"list", 2, true}, {"answer", 3, false}}, false},
		{"late draining answer of the old process", []markStep{{"list", 3, false}, {"answer", 2, true}}, false},
		{"draining without generation", []markStep{{"list", 3, false}, {"answer", 0, true}, {"list", 3, false}}, true},
		{"replacement leaves as well", []markStep{{"list", 2, true}, {"list", 3, true}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMarks()
			for _, s := range c.steps {
				applyStep(m, s)
			}
			require.Equal(t, c.want, m.isLeaving("a"))
		})
	}
}

func applyStep(m *marks, s markStep) {
	if s.source == "answer" {
		m.endpointAnswered("a", s.generation, s.leaving)
		return
	}
	state := platform.VMLive
	if s.leaving {
		state = platform.VMLeaving
	}
	m.listed(platform.VMList{VMs: []platform.VM{{Address: "a", Generation: s.generation, State: state}}})
}
