package eventlog

import (
	"sync"
	"time"

	"github.com/agatekeel/agatekeel/core/notice"
)

// linesPerSecond is the number of lines that one event may write per
// second. Each event has its own limit, so that frequent routine events
// never displace one that reports a failure.
const linesPerSecond = 250

// limiter limits the lines of each event.
type limiter struct {
	mu     sync.Mutex
	second int64 // Unix time of the second that the counts apply to
	events map[notice.Code]*lineCounts
}

// lineCounts holds the counts of one event.
type lineCounts struct {
	written int // in the current second
	dropped int // in the current second
	total   int // dropped since the start
}

// droppedLines is the number of dropped lines of an event.
type droppedLines struct {
	Code  notice.Code
	Count int
}

func newLimiter() *limiter { return &limiter{events: map[notice.Code]*lineCounts{}} }

// allow reports whether a line may be written. It also returns the lines
// dropped in earlier seconds, each of them once.
func (l *limiter) allow(now time.Time, c notice.Code) (bool, []droppedLines) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var missing []droppedLines
	if second := now.Unix(); second != l.second {
		l.second = second
		missing = l.nextSecond()
	}
	e := l.countsOf(c)
	if e.written >= linesPerSecond {
		e.drop()
		return false, missing
	}
	e.written++
	return true, missing
}

// countLost counts a line that was allowed but could not be written.
func (l *limiter) countLost(c notice.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countsOf(c).drop()
}

func (e *lineCounts) drop() {
	e.dropped++
	e.total++
}

func (l *limiter) countsOf(c notice.Code) *lineCounts {
	e, ok := l.events[c]
	if !ok {
		e = &lineCounts{}
		l.events[c] = e
	}
	return e
}

func (l *limiter) nextSecond() []droppedLines {
	var missing []droppedLines
	for c, e := range l.events {
		if e.dropped > 0 {
			missing = append(missing, droppedLines{Code: c, Count: e.dropped})
		}
		e.written, e.dropped = 0, 0
	}
	return missing
}

// totals returns the number of lines dropped since the start, by event.
func (l *limiter) totals() map[notice.Code]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[notice.Code]int{}
	for c, e := range l.events {
		if e.total > 0 {
			out[c] = e.total
		}
	}
	return out
}
