package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a proxy that starts, or a check that passes, with mistakes in the
// settings.
func TestInvalidSettingsPreventStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"name": "entry-1", "unknown": 1}`), 0o600))
	stopped, stop := context.WithCancel(context.Background())
	stop() // a process that starts nevertheless stops at once
	for _, arguments := range [][]string{{"-check", "-settings", path}, {"-settings", path}} {
		err := command().Run(stopped, append([]string{"carawayhold"}, arguments...))
		require.ErrorContains(t, err, "8 mistakes")
	}
}
