// Package logger creates the program's loggers, which write one logfmt line for each event.
package logger

import (
	"os"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lycheepick/internal/rule/fault"
)

// Kind tells why a logger could not be created.
type Kind string

// KindLevel marks an unknown log level.
const KindLevel Kind = "level"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// New returns a logger that writes lines of at least the given level to standard error. Each
// line has the field node.
func New(level, node string) (*zap.Logger, error) {
	const op = "logger.New"
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(op, KindLevel, err)
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), zapcore.Lock(os.Stderr), lvl)
	return zap.New(core).With(zap.String("node", node)), nil
}

func encoderConfig() zapcore.EncoderConfig {
	cfg := zap.NewProductionEncoderConfig()
	cfg.MessageKey = "event"
	cfg.EncodeTime = func(at time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(at.UTC().Format("2006-01-02T15:04:05.000Z07:00"))
	}
	return cfg
}
