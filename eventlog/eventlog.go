// Package eventlog writes numbered events to a log through zap. The numbers
// are defined in core/notice and described in docs/EVENTS.md.
package eventlog

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"log"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
)

const defaultLevel = "info"

// The formats of a log.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// Config holds the settings of a Logger.
type Config struct {
	Format string              // FormatJSON (default) or FormatConsole
	Level  string              // "debug", "info" (default), "warn" or "error"
	Node   string              // ID of the node, written with every line
	Writer zapcore.WriteSyncer // written to synchronously; nil: standard error
	Output io.Writer           // replaces Writer: written to in the background; lines are dropped if it is too slow
	Clock  zapcore.Clock       // nil: the system clock
}

// Logger writes numbered events. The lines per second of each event are
// limited, and the number of dropped lines is itself logged as an event.
type Logger struct {
	core  zapcore.Core
	clock zapcore.Clock
	limit *limiter
}

// New returns a Logger.
func New(cfg Config) (*Logger, error) {
	cfg.Level = cmp.Or(cfg.Level, defaultLevel)
	level, err := zapcore.ParseLevel(cfg.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", cfg.Level, err)
	}
	enc, err := encoder(cfg.Format)
	if err != nil {
		return nil, err
	}
	switch {
	case cfg.Output != nil:
		cfg.Writer = newAsyncWriter(cfg.Output)
	case cfg.Writer == nil:
		cfg.Writer = zapcore.Lock(os.Stderr)
	}
	if cfg.Clock == nil {
		cfg.Clock = zapcore.DefaultClock
	}
	core := zapcore.NewCore(enc, cfg.Writer, level).With([]zap.Field{zap.String("node", cfg.Node)})
	return &Logger{core: core, clock: cfg.Clock, limit: newLimiter()}, nil
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
func Nop() *Logger {
	return &Logger{core: zapcore.NewNopCore(), clock: zapcore.DefaultClock, limit: newLimiter()}
}

// Write writes one event, unless the event's limit for the current second
// is reached.
func (l *Logger) Write(c notice.Code, attrs ...core.Attr) {
	if !l.core.Enabled(levelOf(c)) {
		return
	}
	now := l.clock.Now()
	ok, missing := l.limit.allow(now, c)
	for _, m := range missing {
		l.write(now, notice.LogLinesDropped, core.Attr{Key: "of", Value: int(m.Code)}, core.Attr{Key: "count", Value: m.Count})
	}
	if ok {
		l.write(now, c, attrs...)
	}
}

// Dropped returns the number of dropped lines, by event.
func (l *Logger) Dropped() map[notice.Code]int { return l.limit.totals() }

// Sync waits for the last lines, for a bounded time.
func (l *Logger) Sync() error { return l.core.Sync() }

func (l *Logger) write(now time.Time, c notice.Code, attrs ...core.Attr) {
	fields := make([]zap.Field, 0, len(attrs)+1)
	fields = append(fields, zap.Int("event", int(c)))
	for _, a := range attrs {
		fields = append(fields, zap.Any(a.Key, a.Value))
	}
	entry := zapcore.Entry{Level: levelOf(c), Time: now, Message: c.String()}
	if err := l.core.Write(entry, fields); err != nil {
		l.limit.countLost(c)
	}
}

// Std returns a logger for libraries that log text: each line is written as
// an event with the given attributes and the text in the field detail.
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
