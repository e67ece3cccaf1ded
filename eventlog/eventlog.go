// Package eventlog writes numbered events through zap. The numbers are those
// of core/notice, described in docs/EVENTS.md.
package eventlog

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
)

// Config holds the settings of a Logger.
type Config struct {
	Format string // "json" or "console"
	Level  string // "debug", "info", "warn" or "error"
	Node   string // added to every line
}

// Logger writes numbered events.
type Logger struct{ zap *zap.Logger }

// New returns a Logger that writes to standard error.
func New(cfg Config) (*Logger, error) {
	level, err := zapcore.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	zc := zap.NewProductionConfig()
	zc.Level = zap.NewAtomicLevelAt(level)
	zc.Encoding = cfg.Format
	zc.DisableCaller, zc.DisableStacktrace = true, true
	zc.Sampling = nil
	zc.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	l, err := zc.Build()
	if err != nil {
		return nil, fmt.Errorf("log format %q: %w", cfg.Format, err)
	}
	return &Logger{zap: l.With(zap.String("node", cfg.Node))}, nil
}

// Nop returns a Logger that writes nothing.
func Nop() *Logger { return &Logger{zap: zap.NewNop()} }

// Write writes one event.
func (l *Logger) Write(c notice.Code, attrs ...core.Attr) {
	fields := make([]zap.Field, 0, len(attrs)+1)
	fields = append(fields, zap.Int("event", int(c)))
	for _, a := range attrs {
		fields = append(fields, zap.Any(a.Key, a.Value))
	}
	l.zap.Log(levelOf(c), c.String(), fields...)
}

func levelOf(c notice.Code) zapcore.Level {
	switch c {
	case notice.ConfigRefused, notice.SubmissionRejected, notice.PlatformUnreachable, notice.LinkSilent,
		notice.EndpointSuspected, notice.LeaseLost, notice.PeerRefused:
		return zapcore.WarnLevel
	case notice.SettingsRefused:
		return zapcore.ErrorLevel
	case notice.LinkUp, notice.LinkDown, notice.RequestRefused:
		return zapcore.DebugLevel
	}
	return zapcore.InfoLevel
}
