package gateway

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// A standard output that nobody reads delays nothing, and what was left out is
// counted.
func TestFullPipeDoesNotBlock(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	logger, stop := NewLogger(writer)
	slowest := time.Duration(0)
	for i := range 200_000 {
		began := time.Now()
		// Messages that differ are not sampled.
		logger.Info("line "+string(rune('a'+i%26))+time.Duration(i).String(), zap.Int("number", i))
		slowest = max(slowest, time.Since(began))
	}
	require.Less(t, slowest, 500*time.Millisecond)
	began := time.Now()
	stop()
	require.Less(t, time.Since(began), time.Second)
}

func TestLinesOfAKindAreSampled(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	logger, stop := NewLogger(writer)
	for range 2000 {
		logger.Info("request: refused")
	}
	received := make(chan int)
	go func() {
		buffer := make([]byte, 1<<20)
		lines := 0
		for {
			n, err := reader.Read(buffer)
			for _, b := range buffer[:n] {
				if b == '\n' {
					lines++
				}
			}
			if err != nil {
				received <- lines
				return
			}
		}
	}()
	stop()
	require.NoError(t, writer.Close())
	lines := <-received
	require.Less(t, lines, 300)
	require.GreaterOrEqual(t, lines, sampleFirst)
}
