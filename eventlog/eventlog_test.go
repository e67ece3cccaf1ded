package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
)

// fixedClock does not advance, so that all lines fall into one second.
type fixedClock struct{}

func (fixedClock) Now() time.Time                       { return time.Unix(1000, 0) }
func (fixedClock) NewTicker(time.Duration) *time.Ticker { panic("not used") }

func logger(t *testing.T, format, level string) (*Logger, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	l, err := New(Config{Format: format, Level: level, Node: "n1", Writer: zapcore.AddSync(&out), Clock: fixedClock{}})
	is.New(t).NoErr(err)
	return l, &out
}

func TestWriteJSON(t *testing.T) {
	is := is.New(t)
	l, out := logger(t, FormatJSON, "")
	l.Write(notice.ConfigApplied, core.Attr{Key: "version", Value: uint64(7)})
	l.Write(notice.LinkUp) // debug: below the default level
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line)) // exactly one line
	is.Equal(line["event"], 2001.0)
	is.Equal(line["msg"], "configuration applied")
	is.Equal(line["level"], "info")
	is.Equal(line["node"], "n1")
	is.Equal(line["version"], 7.0)
}

func TestWriteConsole(t *testing.T) {
	is := is.New(t)
	l, out := logger(t, FormatConsole, "debug")
	l.Write(notice.LinkUp)
	is.True(strings.Contains(out.String(), "debug\tlink up\t"))
}

func TestRefusesUnknownFormatAndLevel(t *testing.T) {
	is := is.New(t)
	_, err := New(Config{Format: "xml"})
	is.True(strings.Contains(err.Error(), `log format "xml"`))
	_, err = New(Config{Level: "loud"})
	is.True(strings.Contains(err.Error(), `log level "loud"`))
}

// TestLinesOfOneEventAreBounded checks that lines beyond the limit of a
// second are dropped, counted and reported, and that other events are not
// affected.
func TestLinesOfOneEventAreBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	clock := &steppedClock{now: time.Unix(1000, 0)}
	l, err := New(Config{Writer: zapcore.AddSync(&out), Clock: clock})
	is.NoErr(err)
	for range linesPerSecond + 750 {
		l.Write(notice.EndpointState)
	}
	l.Write(notice.ConfigApplied) // other events have their own limit
	is.Equal(strings.Count(out.String(), "endpoint state changed"), linesPerSecond)
	is.Equal(strings.Count(out.String(), "configuration applied"), 1)
	clock.now = clock.now.Add(time.Second)
	l.Write(notice.EndpointState)
	is.Equal(strings.Count(out.String(), "endpoint state changed"), linesPerSecond+1)
	is.Equal(strings.Count(out.String(), `"of":5001,"count":750`), 1)
	is.Equal(l.Dropped(), map[notice.Code]int{notice.EndpointState: 750})
}

// steppedClock returns the time that was set.
type steppedClock struct {
	fixedClock
	now time.Time
}

func (c *steppedClock) Now() time.Time { return c.now }

// blockedWriter blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	written chan int
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.written <- len(p)
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockWriters writes while the log's reader has
// stopped: lines are dropped and counted, and queued lines are written once
// it reads again.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{}), written: make(chan int, 16)}
	clock := &steppedClock{now: time.Unix(1000, 0)}
	l, err := New(Config{Output: out, Clock: clock})
	is.NoErr(err)
	lines := 3 * maxQueuedLines
	for range lines {
		clock.now = clock.now.Add(time.Second / linesPerSecond * 2)
		l.Write(notice.ConfigApplied)
	}
	is.True(l.Dropped()[notice.ConfigApplied] >= lines-2*maxQueuedLines) // one batch is being written, one is queued
	close(out.release)
	is.True(<-out.written > 0)
	is.NoErr(l.Sync())
}

func TestStdWritesLinesAsEvents(t *testing.T) {
	is := is.New(t)
	l, out := logger(t, FormatJSON, "info")
	l.Std(notice.ListenerFault, core.Attr{Key: "listener", Value: "hop"}).Print("cut short\n")
	is.True(strings.Contains(out.String(), `"event":6002,"listener":"hop","detail":"cut short"`))
}
