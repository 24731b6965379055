package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a demo that passes although a guarantee to callers was violated.
func TestEvaluateDetectsViolations(t *testing.T) {
	cases := []struct {
		name     string
		result   string
		runs     int
		violated bool
	}{
		{"done, executed once", "whole", 1, false},
		{"done, executed twice", "whole", 2, true},
		{"done, not executed", "whole", 0, true},
		{"not-run, executed", "not-run", 1, true},
		{"not-run, not executed", "not-run", 0, false},
		{"unknown, executed once", "unknown", 1, false},
		{"unknown, executed twice", "unknown", 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			flows := []flowResult{{Keys: map[string]string{"k": c.result}}}
			require.Equal(t, c.violated, evaluate(flows, map[string]int{"k": c.runs}).violated())
		})
	}
	require.True(t, evaluate([]flowResult{{Broken: map[string]int{stoppedProxy: 1}}}, nil).violated())
	for _, result := range []string{"broken", "partial", "foreign"} {
		require.True(t, evaluate([]flowResult{{Final: map[string]int{result: 1}}}, nil).violated(), result)
	}
}
