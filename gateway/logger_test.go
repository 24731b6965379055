package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/carawayhold/carawayhold/placement"
)

// logDistinct logs count messages, which sampling does not omit.
func logDistinct(logger *zap.Logger, count int) {
	for i := range count {
		logger.Info("line "+string(rune('a'+i%26))+time.Duration(i).String(), zap.Int("number", i))
	}
}

// Logging to a pipe that nobody reads must not block the caller: a call that waited for the
// pipe would not return.
func TestFullPipeDoesNotBlock(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	logger, stop := NewLogger(writer)
	logDistinct(logger, 200_000)
	stop()
}

// blockedWriter blocks each write until it is closed.
type blockedWriter chan struct{}

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w
	return len(p), nil
}

// Logging must take no time while the output is blocked, and stopping no more than
// logStopTimeout. Virtual time passes only while all goroutines wait.
func TestBlockedOutputDoesNotDelayLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := make(blockedWriter)
		logger, stop := NewLogger(w)
		for range 4 {
			began := time.Now()
			logDistinct(logger, 50_000)
			require.Zero(t, time.Since(began))
			time.Sleep(2 * flushDelay)
		}
		began := time.Now()
		stop()
		require.LessOrEqual(t, time.Since(began), logStopTimeout)
		close(w)
		time.Sleep(2 * flushDelay)
	})
}

func TestEqualMessagesAreSampled(t *testing.T) {
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

// The written lines and the counts of omitted ones add up to all lines.
func TestOmittedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	logger, stop := NewLogger(&out)
	const all = 2000
	for range all {
		logger.Info("request: refused")
	}
	stop()
	written, omitted := 0, 0
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
			omitted += line.Count
		}
	}
	require.Equal(t, all, written+omitted)
}

// BenchmarkLine measures logging a placement decision.
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

// BenchmarkCounts measures updating the metrics of a normal request.
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
