package proxy

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/h1"
)

// requestRoom bounds what the requests that are handled occupy, those of callers and those of other
// nodes together, so that no crowd of clients ends the process.
type requestRoom struct {
	limit    int64 // bytes; zero: no bound
	reserved atomic.Int64
	refused  metrics.Counter
}

// largeShareDivisor is the divisor of the room that gives the part which large requests may fill. The
// rest is left for ordinary ones.
const largeShareDivisor = 2

// aheadShareDivisor is the divisor of the slots that gives the part which requests ahead may take.
const aheadShareDivisor = 2

// reserve reports whether a request that occupies n bytes has room, and takes it. Large ones, and those
// ahead, get a part of the room only.
func (m *requestRoom) reserve(n int, ahead bool) bool {
	limit := m.limit
	if ahead || n > h1.LargeRequestBytes {
		limit /= largeShareDivisor
	}
	if m.reserveWithin(n, limit) {
		return true
	}
	if !ahead {
		m.refused.Inc(1)
	}
	return false
}

// reserveHead reports whether there is room for n bytes of a head that has not ended, and takes it.
func (m *requestRoom) reserveHead(n int) bool { return m.reserveWithin(n, m.limit/largeShareDivisor) }

func (m *requestRoom) reserveWithin(n int, limit int64) bool {
	if reserved := m.reserved.Add(int64(n)); m.limit == 0 || reserved <= limit {
		return true
	}
	m.release(n)
	return false
}

func (m *requestRoom) release(n int) { m.reserved.Add(-int64(n)) }

// requestSlots bounds the number of callers' requests that are handled at a time: each may take a
// descriptor for its way to another node.
type requestSlots struct {
	limit   int64 // zero: no bound
	taken   atomic.Int64
	refused metrics.Counter
}

// take reports whether a request may be handled. Those ahead get a part of the slots only, so that few
// connections do not take all.
func (s *requestSlots) take(ahead bool) bool {
	limit := s.limit
	if ahead {
		limit /= aheadShareDivisor
	}
	if taken := s.taken.Add(1); s.limit == 0 || taken <= limit {
		return true
	}
	s.free()
	if !ahead {
		s.refused.Inc(1)
	}
	return false
}

func (s *requestSlots) free() { s.taken.Add(-1) }

// overloadRetryAfter is when a caller may come back that found no room for its request.
const overloadRetryAfter = 200 * time.Millisecond

// callerRefusal returns the header for a caller whose request found no room.
func callerRefusal([]byte) http.Header {
	h := http.Header{}
	setOutcome(h, retry.NotRun, h1.ErrOverloaded.Error())
	h.Set("Retry-After", formatSeconds(overloadRetryAfter))
	return h
}

// hopRefusal returns the header for another node whose attempt found no room. It names the attempt, so
// that the node knows that this one has not run.
func hopRefusal(head []byte) http.Header {
	h := http.Header{}
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(": "))
		if string(name) != headerHop {
			continue
		}
		if hop, err := parseHopHeader(string(value)); err == nil {
			h[headerAttempt] = []string{formatAttempt(hop.attempt)}
			setOutcome(h, retry.NotRun, h1.ErrOverloaded.Error())
		}
		return h
	}
	return h
}
