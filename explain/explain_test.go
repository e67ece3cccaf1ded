package explain_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/explain"
)

// logLine returns a line in the format of a node's log.
func logLine(at time.Duration, node string, event int, fields string) string {
	t := time.Unix(1000, 0).UTC().Add(at)
	return fmt.Sprintf(`{"level":"info","time":%q,"msg":"event %d","node":%q,"event":%d%s}`+"\n",
		t.Format(time.RFC3339Nano), event, node, event, fields)
}

const ms = time.Millisecond

func readTrace(t *testing.T, text string) (explain.Trace, string) {
	t.Helper()
	is := is.New(t)
	var log explain.Log
	is.NoErr(log.Read(strings.NewReader(text)))
	s, err := log.Trace("r1")
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(s.Print(&out, "r1"))
	return s, out.String()
}

// TestTraceCorrectsClockSkew sets the target's clock back by two seconds:
// its lines must still be placed between those of the entry node.
func TestTraceCorrectsClockSkew(t *testing.T) {
	is := is.New(t)
	behind := -2 * time.Second
	s, text := readTrace(t, "not a line of a node\n"+
		logLine(0, "entry", 6101, `,"request":"r1","attempt":"a-1","target":"gate","leftMillis":900`)+
		logLine(90*ms+behind, "gate", 6203, `,"request":"r1","attempt":"a-1","status":200,"tookMillis":80`)+
		logLine(20*ms+behind, "gate", 6203, `,"request":"other","attempt":"a-9","status":200,"tookMillis":80`)+
		logLine(100*ms, "entry", 6103, `,"request":"r1","target":"gate","status":200,"attempts":1,"tookMillis":100`))
	is.Equal(len(s.Lines), 3)
	is.Equal(s.Lines[1].Node, "gate")
	is.Equal(s.ClockShifts["gate"], 2*time.Second-10*ms)
	is.Equal(len(s.Missing), 0)
	is.True(strings.Contains(text, "cause: backend server beside gate answered 200, after 1 attempts and 100 ms"))
	is.True(strings.Contains(text, "clock of gate: shifted"))
}

func TestTraceReportsWhatIsMissing(t *testing.T) {
	for _, tt := range []struct{ name, lines, missing, cause string }{
		{"the target's log", logLine(0, "entry", 6101, `,"request":"r1","attempt":"a-1","target":"gate"`) +
			logLine(500*ms, "entry", 6104, `,"request":"r1","outcome":"unknown","reason":"reset","attempts":1,"tookMillis":500`),
			"no line of node gate about attempt a-1", "the node answered without a backend server: reset (unknown)"},
		{"the end", logLine(0, "entry", 6101, `,"request":"r1","attempt":"a-1","target":"gate"`) +
			logLine(5*ms, "gate", 6202, `,"request":"r1","attempt":"a-1","reason":"queue full"`),
			"no line reports the end of the request", "the end of the request is not logged; last event: event 6202 at gate"},
		{"dropped lines", logLine(0, "entry", 6101, `,"request":"r1","attempt":"a-1","target":"gate"`) +
			logLine(2*ms, "gate", 6203, `,"request":"r1","attempt":"a-1","status":200`) +
			logLine(500*ms, "entry", 7001, `,"of":6103,"count":12`),
			"node entry dropped 12 lines of event 6103", "the end of the request is not logged"},
		{"a caller that disconnected", logLine(0, "entry", 6105, `,"request":"r1","attempts":0,"tookMillis":30`), "", "the caller disconnected after 30 ms"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, text := readTrace(t, tt.lines)
			is.True(strings.Contains(text, tt.missing))
			is.Equal(len(s.Missing) > 0, tt.missing != "")
			is.True(strings.Contains(s.Cause, tt.cause))
		})
	}
}

// TestTraceIncludesStateChanges checks that recent state changes on the
// nodes of a request are part of its trace, and those on other nodes are
// not.
func TestTraceIncludesStateChanges(t *testing.T) {
	is := is.New(t)
	s, _ := readTrace(t, logLine(-time.Second, "gate", 5001, `,"state":"draining"`)+
		logLine(-time.Hour, "gate", 5001, `,"state":"ready"`)+
		logLine(-time.Second, "elsewhere", 5001, `,"state":"failed"`)+
		logLine(0, "entry", 6101, `,"request":"r1","attempt":"a-1","target":"gate"`)+
		logLine(5*ms, "gate", 6202, `,"request":"r1","attempt":"a-1","reason":"backend server takes no new requests"`)+
		logLine(9*ms, "entry", 6104, `,"request":"r1","outcome":"not-run","reason":"none","attempts":1,"tookMillis":9`))
	is.Equal(len(s.Lines), 4)
	is.Equal(s.Lines[0].Fields["state"], "draining")
}

func TestUnknownRequest(t *testing.T) {
	var log explain.Log
	_, err := log.Trace("r1")
	is.New(t).True(errors.Is(err, explain.ErrNotFound))
}
