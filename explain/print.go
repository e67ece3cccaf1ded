package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Print writes a trace for people, with times in milliseconds since the
// first line of its request.
func (t Trace) Print(w io.Writer, request string) error {
	var b strings.Builder
	start := t.Lines[0].Time
	for _, line := range t.Lines {
		if line.Request == request {
			start = line.Time
			break
		}
	}
	for _, line := range t.Lines {
		fmt.Fprintf(&b, "%9.1f ms  %-20s %d %s%s\n", float64(line.Time.Sub(start).Microseconds())/1000, line.Node, int(line.Event), line.Text, line.details())
	}
	for _, node := range slices.Sorted(maps.Keys(t.ClockShifts)) {
		if shift := t.ClockShifts[node]; shift != 0 {
			fmt.Fprintf(&b, "clock of %s: shifted by %v, so that its events lie between their causes and effects\n", node, shift)
		}
	}
	for _, m := range t.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	fmt.Fprintf(&b, "cause: %s\n", t.Cause)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("print trace: %w", err)
	}
	return nil
}

// details returns the fields of a line, sorted by name.
func (l Line) details() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
	}
	return b.String()
}
