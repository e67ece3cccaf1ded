// Package eventlog writes numbered events through zap. The numbers are those
// of core/notice, described in docs/EVENTS.md.
package eventlog

import (
	"bytes"
	"fmt"
	"log"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
)

// Of each event the first lines of a second are written, then one of many.
const (
	sampleEvery  = time.Second
	sampleFirst  = 100
	sampleOneOf  = 100
	defaultLevel = "info"
)

// The forms of a log.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// Config holds the settings of a Logger.
type Config struct {
	Format string              // FormatJSON (default) or FormatConsole
	Level  string              // "debug", "info" (default), "warn" or "error"
	Node   string              // added to every line
	Writer zapcore.WriteSyncer // nil: standard error
	Clock  zapcore.Clock       // nil: the system's
}

// Logger writes numbered events.
type Logger struct{ zap *zap.Logger }

// New returns a Logger.
func New(cfg Config) (*Logger, error) {
	if cfg.Level == "" {
		cfg.Level = defaultLevel
	}
	level, err := zapcore.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	enc, err := encoder(cfg.Format)
	if err != nil {
		return nil, err
	}
	if cfg.Writer == nil {
		cfg.Writer = zapcore.Lock(os.Stderr)
	}
	if cfg.Clock == nil {
		cfg.Clock = zapcore.DefaultClock
	}
	sampled := zapcore.NewSamplerWithOptions(zapcore.NewCore(enc, cfg.Writer, level), sampleEvery, sampleFirst, sampleOneOf)
	return &Logger{zap: zap.New(sampled, zap.WithClock(cfg.Clock)).With(zap.String("node", cfg.Node))}, nil
}

func encoder(format string) (zapcore.Encoder, error) {
	ec := zap.NewProductionEncoderConfig()
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	ec.TimeKey = "time"
	switch format {
	case "", FormatJSON:
		return zapcore.NewJSONEncoder(ec), nil
	case FormatConsole:
		return zapcore.NewConsoleEncoder(ec), nil
	}
	return nil, fmt.Errorf("log format %q is not one of: %s %s", format, FormatJSON, FormatConsole)
}

// Nop returns a Logger that writes nothing.
func Nop() *Logger { return &Logger{zap: zap.NewNop()} }

// Write writes one event.
func (l *Logger) Write(c notice.Code, attrs ...core.Attr) {
	entry := l.zap.Check(levelOf(c), c.String())
	if entry == nil {
		return
	}
	fields := make([]zap.Field, 0, len(attrs)+1)
	fields = append(fields, zap.Int("event", int(c)))
	for _, a := range attrs {
		fields = append(fields, zap.Any(a.Key, a.Value))
	}
	entry.Write(fields...)
}

// Std returns a logger for libraries that write text: each line becomes an
// event with the field detail, beside the attrs given.
func (l *Logger) Std(c notice.Code, attrs ...core.Attr) *log.Logger {
	return log.New(&lineWriter{log: l, code: c, attrs: attrs}, "", 0)
}

type lineWriter struct {
	log   *Logger
	code  notice.Code
	attrs []core.Attr
}

// Write implements io.Writer.
func (w *lineWriter) Write(line []byte) (int, error) {
	detail := core.Attr{Key: "detail", Value: string(bytes.TrimSpace(line))}
	w.log.Write(w.code, append(w.attrs[:len(w.attrs):len(w.attrs)], detail)...)
	return len(line), nil
}

func levelOf(c notice.Code) zapcore.Level {
	switch c.Level() {
	case notice.Debug:
		return zapcore.DebugLevel
	case notice.Warn:
		return zapcore.WarnLevel
	case notice.Error:
		return zapcore.ErrorLevel
	}
	return zapcore.InfoLevel
}
