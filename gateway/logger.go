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
	// logCapacity bounds the bytes that wait to be written.
	logCapacity = 256 << 10
	// logPause collects lines, so that a burst costs few system calls.
	logPause = 50 * time.Millisecond
	// sampleFirst lines of a kind are logged each second, then one in sampleEvery.
	sampleFirst = 40
	sampleEvery = 50
)

// sink writes lines on a goroutine of its own. Lines that find it full are dropped
// and counted, so that a reader that stops never delays a request.
type sink struct {
	out     io.Writer
	wake    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	buffer  []byte
	dropped int            // lines that found the buffer full
	sampled map[string]int // lines left out by sampling, by message
	closed  bool
}

// maxSampledKinds bounds the messages that are told apart in the count of lines left
// out; the program has fewer.
const maxSampledKinds = 100

// NewLogger returns a logger of JSON lines that never blocks, and a function that
// writes what is left for at most a moment.
func NewLogger(out io.Writer) (*zap.Logger, func()) {
	s := &sink{out: out, wake: make(chan struct{}, 1), stopped: make(chan struct{}), sampled: map[string]int{}}
	go s.run()
	sampled := zapcore.NewSamplerWithOptions(newCore(s), time.Second, sampleFirst, sampleEvery, zapcore.SamplerHook(s.sample))
	return zap.New(sampled), s.stop
}

// newCore returns an encoder of JSON lines.
func newCore(out zapcore.WriteSyncer) zapcore.Core {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zapcore.NewCore(zapcore.NewJSONEncoder(c), out, zapcore.InfoLevel)
}

// sample counts the lines that sampling leaves out.
func (s *sink) sample(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.sampled[e.Message]; found || len(s.sampled) < maxSampledKinds {
		s.sampled[e.Message]++
		return
	}
	s.sampled["other"]++
}

// Write queues a line.
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
		time.Sleep(logPause)
		if !s.flush() {
			return
		}
	}
}

// flush writes what is queued and reports whether more may come.
func (s *sink) flush() bool {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = nil
	lines = s.appendLeftOut(lines)
	closed := s.closed
	s.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that the log cannot be written.
		_, _ = s.out.Write(lines)
	}
	return !closed
}

// appendLeftOut appends the counts of the lines that were left out since the last
// ones. The mutex must be held.
func (s *sink) appendLeftOut(lines []byte) []byte {
	if s.dropped > 0 {
		lines = append(lines, `{"level":"warn","msg":"log: lines dropped","count":`...)
		lines = strconv.AppendInt(lines, int64(s.dropped), 10)
		lines = append(lines, "}\n"...)
		s.dropped = 0
	}
	for message, count := range s.sampled {
		lines = append(lines, `{"level":"info","msg":"log: lines left out","of":`...)
		lines = strconv.AppendQuote(lines, message)
		lines = append(lines, `,"count":`...)
		lines = strconv.AppendInt(lines, int64(count), 10)
		lines = append(lines, "}\n"...)
	}
	clear(s.sampled)
	return lines
}

// logStopTimeout bounds the wait for a reader of the log at the end.
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

// attemptToken is the field that joins the lines of the proxy that made an attempt and
// of the hub that placed it.
func attemptToken(token uint64) zap.Field {
	return zap.String("attempt_token", strconv.FormatUint(token, 16))
}
