package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/carawayhold/carawayhold/placement"
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

// The lines written and those counted as left out are all lines.
func TestLinesLeftOutAreCounted(t *testing.T) {
	var out bytes.Buffer
	logger, stop := NewLogger(&out)
	const all = 2000
	for range all {
		logger.Info("request: refused")
	}
	stop()
	written, leftOut := 0, 0
	scanner := bufio.NewScanner(&out)
	for scanner.Scan() {
		var line struct {
			Message string `json:"msg"`
			Of      string `json:"of"`
			Count   int    `json:"count"`
		}
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &line))
		switch line.Message {
		case "request: refused":
			written++
		case "log: lines left out":
			require.Equal(t, "request: refused", line.Of)
			leftOut += line.Count
		}
	}
	require.Equal(t, all, written+leftOut)
}

// BenchmarkLine is the cost of the line of a decision about a request.
func BenchmarkLine(b *testing.B) {
	sampled, stop := NewLogger(io.Discard)
	defer stop()
	written := zap.New(newCore(zapcore.AddSync(io.Discard)))
	for name, logger := range map[string]*zap.Logger{"written": written, "left out": sampled} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				logger.Info("request: placed", zap.String("request", "24518fbe1038e2fa"),
					zap.String("service", "lopu97a"), zap.String("endpoint", "i-1c7594493d"),
					attemptToken(1<<40), zap.Float64("failing", 0.048),
					zap.Duration("waited", 60*time.Millisecond), zap.Bool("without_hub", false),
					zap.String("repeat", string(attemptFirst)))
			}
		})
	}
}

// BenchmarkCounts is the cost of the metrics of an ordinary request.
func BenchmarkCounts(b *testing.B) {
	c := newCounts(metrics.NewSet())
	r := &Route{Name: "r-qzqhbm9"}
	for b.Loop() {
		now := time.Now()
		c.placement("lopu97a", now)
		c.attempt("lopu97a", attemptFirst, placement.OutcomeServed.String(), now)
		c.request(r, "lopu97a", "served", "", now)
	}
}
