package process

import (
	"bytes"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Guards against log lines that contain the stack of an error.
func TestErrorsAreLoggedWithoutStacks(t *testing.T) {
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := plainErrorCore{zapcore.NewCore(encoder, zapcore.AddSync(&out), zap.InfoLevel)}
	failure := eris.Wrap(eris.New("inner"), "outer")
	zap.New(core).With(zap.NamedError("first", failure)).Warn("platform: short", zap.Error(failure))
	require.Contains(t, out.String(), `"error":"outer: inner"`)
	require.Contains(t, out.String(), `"first":"outer: inner"`)
	require.NotContains(t, out.String(), "Verbose")
}
