package node

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/notice"
)

// maxDynamicMetrics is the largest number of metrics whose names come from
// configuration, such as those of services and routes. Further ones are counted
// together under otherName.
const maxDynamicMetrics = 1024

const otherName = "other"

// tally counts requests by service, route, outcome and reason from the log events
// of the reducer.
type tally struct {
	registry metrics.Registry
	names    map[string]bool // names in use
}

func newTally(r metrics.Registry) *tally { return &tally{registry: r, names: map[string]bool{}} }

// counter returns the counter whose name consists of parts joined by dots.
func (t *tally) counter(parts ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(t.name(parts, otherName), t.registry)
}

func (t *tally) timer(parts ...string) metrics.Timer {
	return metrics.GetOrRegisterTimer(t.name(parts, otherName+".time"), t.registry)
}

// name joins parts to a metric name. If the name is new and maxDynamicMetrics are
// in use, it returns the first part with overflow instead.
func (t *tally) name(parts []string, overflow string) string {
	name := strings.Join(parts, ".")
	if !t.names[name] {
		if len(t.names) >= maxDynamicMetrics {
			return parts[0] + "." + overflow
		}
		t.names[name] = true
	}
	return name
}

// attrs provides access to the attributes of an event by key.
type attrs []core.Attr

func (a attrs) text(key string) string {
	for _, one := range a {
		if one.Key == key {
			return fmt.Sprint(one.Value)
		}
	}
	return ""
}

func (a attrs) millis(key string) time.Duration {
	n, err := strconv.ParseInt(a.text(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// event updates the metrics for one log event.
func (t *tally) event(e core.Log) {
	a := attrs(e.Attrs)
	switch e.Code {
	case notice.AttemptSent:
		t.counter("route", cmp.Or(a.text("route"), otherName), "sent").Inc(1)
	case notice.AttemptEnded:
		t.counter("service", cmp.Or(a.text("service"), otherName), "again."+a.text("again")).Inc(1)
	case notice.RequestAnswered:
		service := cmp.Or(a.text("service"), otherName)
		t.counter("service", service, "answered", a.text("status")).Inc(1)
		t.timer("service", service, "time").Update(a.millis("tookMillis"))
	case notice.RequestEnded:
		t.counter("service", cmp.Or(a.text("service"), otherName), "ended", a.text("outcome")).Inc(1)
		t.counter("ended", reasonName(a.text("reason"))).Inc(1)
	case notice.CallerLeft:
		t.counter("service", cmp.Or(a.text("service"), otherName), "left").Inc(1)
	case notice.AttemptRan:
		t.timer("backend.time").Update(a.millis("tookMillis"))
		t.timer("backend.wait").Update(a.millis("waitedMillis"))
		t.counter("backend.status", a.text("status")).Inc(1)
	}
}

// reasonName returns a metric name for a reason, without the parts that differ
// between requests: its last clause after ": ", with every character other than
// ASCII letters and digits replaced by a dash.
func reasonName(reason string) string {
	if i := strings.LastIndex(reason, ": "); i >= 0 {
		reason = reason[i+len(": "):]
	}
	name := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, reason)
	return cmp.Or(name, "none")
}

// writeText writes all metrics as lines of name and value, sorted. Times are in
// microseconds.
func writeText(w io.Writer, r metrics.Registry) error {
	var lines []string
	add := func(name string, value any) { lines = append(lines, fmt.Sprintf("%s %v\n", name, value)) }
	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			add(name, m.Count())
		case metrics.Gauge:
			add(name, m.Value())
		case metrics.Timer:
			s := m.Snapshot()
			add(name+".count", s.Count())
			for _, p := range []struct {
				name string
				at   float64
			}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
				add(name+"."+p.name, int64(s.Percentile(p.at)/float64(time.Microsecond)))
			}
			add(name+".max", s.Max()/int64(time.Microsecond))
		}
	})
	slices.Sort(lines)
	if _, err := io.WriteString(w, strings.Join(lines, "")); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}
