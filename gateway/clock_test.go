package gateway

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain makes the clock follow virtual time in tests that use it.
func TestMain(m *testing.M) {
	bootTime = func() instant { return instant(time.Now().UnixNano()) }
	os.Exit(m.Run())
}

func TestBootClockAdvances(t *testing.T) {
	began := readBootClock()
	time.Sleep(time.Millisecond)
	require.GreaterOrEqual(t, readBootClock().since(began), time.Millisecond)
}
