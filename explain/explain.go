// Package explain reconstructs the trace of one request from the logs of
// the nodes that handled it.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/agatekeel/agatekeel/core/notice"
)

// ErrNotFound reports that no log line belongs to the request.
var ErrNotFound = fmt.Errorf("no log line belongs to the request")

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// State changes that a node of a request logged within these bounds before
// and after the request are part of its trace.
const (
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// Line is one line of a node's log.
type Line struct {
	Time    time.Time
	Node    string
	Event   notice.Code
	Text    string
	Request string
	Attempt string
	Target  string
	Took    time.Duration
	Fields  map[string]any // all fields except level, time, node, event, msg and request
}

// Log holds the log lines from which traces are built.
type Log struct {
	lines      []Line
	unreadable int // number of lines that are not events
}

// Read adds the log of one or several nodes. Text before a line's JSON
// object is ignored.
func (l *Log) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if line, ok := parse(in.Bytes()); ok {
			l.lines = append(l.lines, line)
			continue
		}
		l.unreadable++
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Unreadable returns the number of lines that are not events.
func (l *Log) Unreadable() int { return l.unreadable }

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var head struct {
		Time    time.Time   `json:"time"`
		Node    string      `json:"node"`
		Event   notice.Code `json:"event"`
		Text    string      `json:"msg"`
		Request string      `json:"request"`
		Attempt string      `json:"attempt"`
		Target  string      `json:"target"`
		Took    int64       `json:"tookMillis"`
	}
	line := Line{Fields: map[string]any{}}
	if json.Unmarshal(text[start:], &head) != nil || json.Unmarshal(text[start:], &line.Fields) != nil || head.Event == 0 {
		return Line{}, false
	}
	for _, common := range []string{"level", "time", "node", "event", "msg", "request"} {
		delete(line.Fields, common)
	}
	line.Time, line.Node, line.Event, line.Text = head.Time, head.Node, head.Event, head.Text
	line.Request, line.Attempt, line.Target = head.Request, head.Attempt, head.Target
	line.Took = time.Duration(head.Took) * time.Millisecond
	return line, true
}

// Trace is what the logs contain about one request.
type Trace struct {
	Lines       []Line                   // sorted by time, by the clock of the entry node
	ClockShifts map[string]time.Duration // by node: added to its times so that causes precede their effects
	Missing     []string                 // information that the logs do not contain
	Cause       string                   // why the request ended as it did, in one sentence
}

// Trace builds the trace of a request.
func (l *Log) Trace(request string) (Trace, error) {
	own := l.ofRequest(request)
	if len(own) == 0 {
		return Trace{}, fmt.Errorf("%w: %q", ErrNotFound, request)
	}
	t := Trace{Lines: own, ClockShifts: clockShifts(own)}
	t.Lines = append(t.Lines, l.stateChanges(own)...)
	for i := range t.Lines {
		t.Lines[i].Time = t.Lines[i].Time.Add(t.ClockShifts[t.Lines[i].Node])
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event)) })
	t.Missing = missing(t.Lines)
	t.Cause = cause(t.Lines)
	return t, nil
}

// ofRequest returns the lines of a request, including lines about its
// attempts that do not have its ID.
func (l *Log) ofRequest(request string) []Line {
	attempts := map[string]bool{}
	for _, line := range l.lines {
		if line.Request == request && line.Attempt != "" {
			attempts[line.Attempt] = true
		}
	}
	var own []Line
	for _, line := range l.lines {
		if line.Request == request || line.Request == "" && attempts[line.Attempt] {
			own = append(own, line)
		}
	}
	return own
}

// stateChanges returns the state changes that the nodes of a request logged
// around the time of the request.
func (l *Log) stateChanges(own []Line) []Line {
	first, last, nodes := own[0].Time, own[0].Time, map[string]bool{}
	for _, line := range own {
		nodes[line.Node] = true
		nodes[line.Target] = true
		if line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	var out []Line
	for _, line := range l.lines {
		near := line.Time.After(first.Add(-contextBefore)) && line.Time.Before(last.Add(contextAfter))
		if near && nodes[line.Node] && isStateChange(line.Event) {
			out = append(out, line)
		}
	}
	return out
}

// isStateChange reports whether an event changes a node's view of the mesh. Dropped
// log lines count too, as the trace may lack them.
func isStateChange(c notice.Code) bool {
	switch c {
	case notice.LinkUp, notice.LinkDown, notice.RequestsRefused, notice.UplinkUsed:
		return false
	}
	return c < notice.AttemptSent || c == notice.LogLinesDropped
}

// clockShifts estimates the clock offsets of the other nodes: what a target
// logs about an attempt must lie between the times at which the entry node
// logged its start and its end.
func clockShifts(own []Line) map[string]time.Duration {
	type span struct{ sent, ended time.Time }
	spans := map[string]span{}
	entry := ""
	for _, line := range own {
		sp := spans[line.Attempt]
		switch line.Event {
		case notice.AttemptSent:
			sp.sent, entry = line.Time, line.Node
		case notice.AttemptEnded:
			sp.ended = line.Time
		default:
			continue
		}
		spans[line.Attempt] = sp
	}
	out := map[string]time.Duration{}
	for _, line := range own {
		sp, known := spans[line.Attempt]
		if !known || line.Node == entry || sp.sent.IsZero() {
			continue
		}
		if early := sp.sent.Sub(line.Time.Add(-line.Took)); early > out[line.Node] {
			out[line.Node] = early
		}
		if late := sp.ended.Sub(line.Time); !sp.ended.IsZero() && late < 0 && out[line.Node] == 0 {
			out[line.Node] = late
		}
	}
	return out
}

// missing returns descriptions of the lines that a complete trace would
// also have.
func missing(lines []Line) []string {
	sent, targetLogged := map[string]Line{}, map[string]bool{}
	var out []string
	ended := false
	for _, line := range lines {
		switch line.Event {
		case notice.AttemptSent:
			sent[line.Attempt] = line
		case notice.AttemptRan, notice.AttemptRefused, notice.AttemptQueued:
			targetLogged[line.Attempt] = true
		case notice.RequestAnswered, notice.RequestEnded, notice.CallerLeft:
			ended = true
		case notice.LogLinesDropped:
			out = append(out, fmt.Sprintf("node %s dropped %v lines of event %v in an earlier second", line.Node, line.Fields["count"], line.Fields["of"]))
		}
	}
	for attempt, line := range sent {
		if !targetLogged[attempt] {
			out = append(out, fmt.Sprintf("no line of node %s about attempt %s: its log was not given, the node was down, or it could not be reached", line.Target, attempt))
		}
	}
	if !ended {
		out = append(out, "no line reports the end of the request: its entry node stopped before, or the line was dropped")
	}
	slices.Sort(out)
	return out
}

// cause returns in one sentence why the request ended as it did.
func cause(lines []Line) string {
	var lastAttempt, end *Line
	for i := range lines {
		switch lines[i].Event {
		case notice.AttemptEnded, notice.AttemptRefused, notice.AttemptRan:
			lastAttempt = &lines[i]
		case notice.RequestAnswered, notice.RequestEnded, notice.CallerLeft:
			end = &lines[i]
		}
	}
	switch {
	case end == nil && lastAttempt == nil:
		return "the request was sent, but its outcome is unknown"
	case end == nil:
		return fmt.Sprintf("the end of the request is not logged; last event: %s at %s: %v", lastAttempt.Text, lastAttempt.Node, lastAttempt.Fields)
	case end.Event == notice.CallerLeft:
		return fmt.Sprintf("the caller disconnected after %d ms", end.Took.Milliseconds())
	case end.Event == notice.RequestEnded:
		return fmt.Sprintf("the node answered without a backend server: %v (%v), after %v attempts and %d ms",
			end.Fields["reason"], end.Fields["outcome"], end.Fields["attempts"], end.Took.Milliseconds())
	}
	return fmt.Sprintf("backend server beside %s answered %v, after %v attempts and %d ms",
		end.Target, end.Fields["status"], end.Fields["attempts"], end.Took.Milliseconds())
}
