package observe

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines to w, and a function that
// flushes it.
func NewLogger(w io.Writer) (logr.Logger, func()) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	z := zap.New(truncatingCore{zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), zapcore.InfoLevel)})
	return zapr.NewLogger(z), func() { _ = z.Sync() }
}
