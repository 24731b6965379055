package loadplan

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a load test that sends nothing because of a mistake in its plan.
func TestReadRejectsPlansThatSendNothing(t *testing.T) {
	cases := map[string]string{
		"invalid JSON": `{`,
		"no targets":   `{"flows":[{"rate":1,"deadlineMillis":1}],"seconds":1}`,
		"no rate":      `{"targets":[{}],"flows":[{"deadlineMillis":1}],"seconds":1}`,
		"no deadline":  `{"targets":[{}],"flows":[{"rate":1}],"seconds":1}`,
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "plan.json")
			require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
			_, err := Read(path)
			require.ErrorIs(t, err, ErrInvalidPlan)
		})
	}
}
