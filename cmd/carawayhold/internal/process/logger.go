package process

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes lines of JSON to standard error.
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
	return c.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return plainErrors{core} }))
}

// plainErrors writes errors as their message alone. The errors of eris would add
// their stack to every line.
type plainErrors struct {
	zapcore.Core
}

// With adds fields to the lines that follow.
func (p plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{p.Core.With(withoutStacks(fields))}
}

// Check adds this core to the entry if its level is logged.
func (p plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write writes one line.
func (p plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
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
