// Package explain tells the story of one request from the logs of the nodes
// that it passed.
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

// ErrNotFound says that no line names the request.
var ErrNotFound = fmt.Errorf("no line names the request")

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Bounds of the time around a request in which news that its nodes learned are
// part of its story.
const (
	newsBefore = 5 * time.Second
	newsAfter  = time.Second
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
	Fields  map[string]any // all others
}

// Log holds the lines that may belong to a story.
type Log struct {
	lines []Line
	bad   int // lines that are no events
}

// Read adds the log of one or several nodes. Text before a line's JSON object
// is left out.
func (l *Log) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if line, ok := parse(in.Bytes()); ok {
			l.lines = append(l.lines, line)
			continue
		}
		l.bad++
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Unreadable returns the number of lines that are no events.
func (l *Log) Unreadable() int { return l.bad }

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
	for _, told := range []string{"level", "time", "node", "event", "msg", "request"} {
		delete(line.Fields, told)
	}
	line.Time, line.Node, line.Event, line.Text = head.Time, head.Node, head.Event, head.Text
	line.Request, line.Attempt, line.Target = head.Request, head.Attempt, head.Target
	line.Took = time.Duration(head.Took) * time.Millisecond
	return line, true
}

// Story is what is known of one request.
type Story struct {
	Lines   []Line                   // in order of time, by the clock of the entry node
	Shifts  map[string]time.Duration // added to the clocks of other nodes so that cause goes before effect
	Missing []string                 // what the logs do not tell
	Verdict string
}

// Story puts the story of a request together.
func (l *Log) Story(request string) (Story, error) {
	own := l.ofRequest(request)
	if len(own) == 0 {
		return Story{}, fmt.Errorf("%w: %q", ErrNotFound, request)
	}
	s := Story{Lines: own, Shifts: shifts(own)}
	s.Lines = append(s.Lines, l.news(own)...)
	for i := range s.Lines {
		s.Lines[i].Time = s.Lines[i].Time.Add(s.Shifts[s.Lines[i].Node])
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event)) })
	s.Missing = missing(s.Lines)
	s.Verdict = verdict(s.Lines)
	return s, nil
}

// ofRequest returns the lines of a request, and those of its attempts that a
// node wrote without knowing the request.
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

// news returns what the nodes of a story learned around it.
func (l *Log) news(own []Line) []Line {
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
		near := line.Time.After(first.Add(-newsBefore)) && line.Time.Before(last.Add(newsAfter))
		if near && nodes[line.Node] && isNews(line.Event) {
			out = append(out, line)
		}
	}
	return out
}

// isNews reports whether an event changes what a node believes.
func isNews(c notice.Code) bool {
	switch c {
	case notice.LinkUp, notice.LinkDown, notice.RequestsRefused:
		return false
	}
	return c < notice.AttemptSent || c == notice.LogLinesDropped
}

// shifts compares the clocks of the nodes: what a target tells of an attempt
// lies between the sending and the end that the entry node tells.
func shifts(own []Line) map[string]time.Duration {
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

// missing returns what a whole story would have besides.
func missing(lines []Line) []string {
	sent, heard := map[string]Line{}, map[string]bool{}
	var out []string
	over := false
	for _, line := range lines {
		switch line.Event {
		case notice.AttemptSent:
			sent[line.Attempt] = line
		case notice.AttemptRan, notice.AttemptRefused, notice.AttemptQueued:
			heard[line.Attempt] = true
		case notice.RequestAnswered, notice.RequestEnded, notice.CallerLeft:
			over = true
		case notice.LogLinesDropped:
			out = append(out, fmt.Sprintf("node %s dropped %v lines of event %v in a second before", line.Node, line.Fields["count"], line.Fields["of"]))
		}
	}
	for attempt, line := range sent {
		if !heard[attempt] {
			out = append(out, fmt.Sprintf("no line of node %s about attempt %s: its log is not given, it had ended, or it could not be reached", line.Target, attempt))
		}
	}
	if !over {
		out = append(out, "no line tells how the request ended: its entry node ended first, or the line was dropped")
	}
	slices.Sort(out)
	return out
}

// verdict returns the cause in one sentence.
func verdict(lines []Line) string {
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
		return "it was sent, and nothing is known of what became of it"
	case end == nil:
		return fmt.Sprintf("the end is not told; last: %s at %s: %v", lastAttempt.Text, lastAttempt.Node, lastAttempt.Fields)
	case end.Event == notice.CallerLeft:
		return fmt.Sprintf("the caller left after %d ms", end.Took.Milliseconds())
	case end.Event == notice.RequestEnded:
		return fmt.Sprintf("the node answered by itself: %v (%v), after %v attempts and %d ms",
			end.Fields["reason"], end.Fields["outcome"], end.Fields["attempts"], end.Took.Milliseconds())
	}
	return fmt.Sprintf("backend server beside %s answered %v, after %v attempts and %d ms",
		end.Target, end.Fields["status"], end.Fields["attempts"], end.Took.Milliseconds())
}
