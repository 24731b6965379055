package gateway

import (
	"io"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logCapacity bounds the buffered bytes.
	logCapacity = 256 << 10
	// flushDelay batches lines to save system calls.
	flushDelay = 50 * time.Millisecond
	// Of equal messages, sampleFirst are logged per second, then one in sampleEvery.
	sampleFirst = 40
	sampleEvery = 50
)

// sink buffers lines and writes them in a separate goroutine. It drops and counts lines
// when the buffer is full, so that a reader of the log that stalls never blocks a request.
type sink struct {
	out     io.Writer
	wake    chan struct{}
	stopped chan struct{}

	mu         sync.Mutex
	buffer     []byte
	dropped    int            // lines dropped because the buffer was full
	suppressed map[string]int // lines omitted by sampling, by message
	closed     bool
}

// maxSampledMessages bounds the distinct messages in the counts of omitted lines. The
// program has fewer.
const maxSampledMessages = 100

// NewLogger returns a logger of JSON lines that never blocks, and a function that flushes
// buffered lines and stops the logger. The function waits for at most logStopTimeout.
func NewLogger(out io.Writer) (*zap.Logger, func()) {
	s := &sink{out: out, wake: make(chan struct{}, 1), stopped: make(chan struct{}), suppressed: map[string]int{}}
	go s.run()
	sampled := zapcore.NewSamplerWithOptions(newCore(s), time.Second, sampleFirst, sampleEvery, zapcore.SamplerHook(s.countSuppressed))
	return zap.New(sampled), s.stop
}

// newCore returns a zap core that encodes entries as JSON lines.
func newCore(out zapcore.WriteSyncer) zapcore.Core {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zapcore.NewCore(zapcore.NewJSONEncoder(c), out, zapcore.InfoLevel)
}

// countSuppressed counts the lines that sampling omits, by message.
func (s *sink) countSuppressed(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.suppressed[e.Message]; found || len(s.suppressed) < maxSampledMessages {
		s.suppressed[e.Message]++
		return
	}
	s.suppressed["other"]++
}

// Write buffers a line. It never returns an error and counts a dropped line as written.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buffer)+len(line) > logCapacity {
		s.dropped++
		return len(line), nil
	}
	first := len(s.buffer) == 0
	s.buffer = append(s.buffer, line...)
	if first {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *sink) Sync() error { return nil }

func (s *sink) run() {
	defer close(s.stopped)
	for range s.wake {
		time.Sleep(flushDelay)
		if !s.flush() {
			return
		}
	}
}

// flush writes the buffered lines and reports whether the sink is still open.
func (s *sink) flush() bool {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = nil
	lines = s.appendCounts(lines)
	closed := s.closed
	s.mu.Unlock()
	if len(lines) > 0 {
		// There is no other place to report that the log cannot be written.
		_, _ = s.out.Write(lines)
	}
	return !closed
}

// appendCounts appends lines with the numbers of lines dropped and omitted since the last
// call. The mutex must be held.
func (s *sink) appendCounts(lines []byte) []byte {
	if s.dropped > 0 {
		lines = append(lines, `{"level":"warn","msg":"log: lines dropped","count":`...)
		lines = strconv.AppendInt(lines, int64(s.dropped), 10)
		lines = append(lines, "}\n"...)
		s.dropped = 0
	}
	for message, count := range s.suppressed {
		lines = append(lines, `{"level":"info","msg":"log: lines left out","of":`...)
		lines = strconv.AppendQuote(lines, message)
		lines = append(lines, `,"count":`...)
		lines = strconv.AppendInt(lines, int64(count), 10)
		lines = append(lines, "}\n"...)
	}
	clear(s.suppressed)
	return lines
}

// logStopTimeout bounds the final flush.
const logStopTimeout = 200 * time.Millisecond

func (s *sink) stop() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.stopped:
	case <-time.After(logStopTimeout):
	}
}

// attemptToken returns the log field that correlates the lines of the proxy that made an
// attempt with those of the hub that placed it.
func attemptToken(token uint64) zap.Field {
	return zap.String("attempt_token", strconv.FormatUint(token, 16))
}
