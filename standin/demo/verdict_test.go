package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a demonstration that passes although a promise was broken.
func TestJudge(t *testing.T) {
	cases := []struct {
		name   string
		result string
		runs   int
		broken bool
	}{
		{"done once", "whole", 1, false},
		{"done twice", "whole", 2, true},
		{"told done, never ran", "whole", 0, true},
		{"told not run, ran", "not-run", 1, true},
		{"told not run", "not-run", 0, false},
		{"unknown, ran", "unknown", 1, false},
		{"unknown, ran twice", "unknown", 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			flows := []flowResult{{Keys: map[string]string{"k": c.result}}}
			require.Equal(t, c.broken, judge(flows, map[string]int{"k": c.runs}).broken())
		})
	}
	require.True(t, judge([]flowResult{{Broken: map[string]int{plannedStop: 1}}}, nil).broken())
	for _, result := range []string{"broken", "partial", "foreign"} {
		require.True(t, judge([]flowResult{{Final: map[string]int{result: 1}}}, nil).broken(), result)
	}
}
