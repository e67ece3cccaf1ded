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

// fixedClock stands still, so that sampling gives the same on each run.
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
	is.NoErr(json.Unmarshal(out.Bytes(), &line)) // one line
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

func TestManyLinesOfOneEventAreSampled(t *testing.T) {
	is := is.New(t)
	l, out := logger(t, FormatJSON, "info")
	for range 1000 {
		l.Write(notice.EndpointState)
	}
	l.Write(notice.ConfigApplied) // another event has a share of its own
	is.Equal(strings.Count(out.String(), "endpoint state changed"), sampleFirst+(1000-sampleFirst)/sampleOneOf)
	is.Equal(strings.Count(out.String(), "configuration applied"), 1)
}

func TestStdWritesLinesAsEvents(t *testing.T) {
	is := is.New(t)
	l, out := logger(t, FormatJSON, "info")
	l.Std(notice.ListenerFault, core.Attr{Key: "listener", Value: "hop"}).Print("cut short\n")
	is.True(strings.Contains(out.String(), `"event":6002,"listener":"hop","detail":"cut short"`))
}
