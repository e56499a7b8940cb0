// Package logger makes the daemon's log: one line of key=value pairs for each event.
package logger

import (
	"os"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lycheepick/internal/rule/fault"
)

// Kind tells why a log could not be made.
type Kind string

// KindLevel marks a level that does not exist.
const KindLevel Kind = "level"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// New returns a log to standard error from a level on. Each line names the node.
func New(level, node string) (*zap.Logger, error) {
	const op = "logger.New"
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(op, KindLevel, err)
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), zapcore.Lock(os.Stderr), least)
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
