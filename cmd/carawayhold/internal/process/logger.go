package process

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines of at least the level, such as
// "info", to standard error.
func NewLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "log.level")
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(parsed)
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	c.DisableCaller = true
	c.DisableStacktrace = true
	return c.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return plainErrorCore{core} }))
}

// plainErrorCore logs only the messages of errors. Without it, errors of package
// eris would add their stack to every line.
type plainErrorCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (p plainErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return plainErrorCore{p.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (p plainErrorCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write implements zapcore.Core.
func (p plainErrorCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(entry, withoutStacks(fields))
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	plain := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		err, isError := f.Interface.(error)
		if f.Type == zapcore.ErrorType && isError {
			f = zap.String(f.Key, err.Error())
		}
		plain[i] = f
	}
	return plain
}
