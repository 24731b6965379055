package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/operator"
)

// Guards against evidence that is shown as if nothing had been observed.
func TestEvidenceText(t *testing.T) {
	cases := []struct {
		evidence []operator.Evidence
		want     string
	}{
		{nil, "-"},
		{[]operator.Evidence{{Kind: "wrong", Score: 7.7}}, "wrong (score 7.7)"},
		{[]operator.Evidence{{Kind: "slow", Score: 2, Threshold: 9}}, "slow (score 2.0 of 9.0)"},
		{[]operator.Evidence{{Kind: "error", Count: 3}, {Kind: "timeout", Count: 1, Detail: "zone a"}}, "error ×3, timeout ×1: zone a"},
	}
	for _, c := range cases {
		require.Equal(t, c.want, evidenceText(c.evidence))
	}
}
