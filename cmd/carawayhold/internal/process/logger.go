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
	return c.Build()
}
