package proxy

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/h1"
)

// TestHopRefusalNamesItsAttempt guards against a refusal by another node that counts as unknown, though
// the attempt has not run.
func TestHopRefusalNamesItsAttempt(t *testing.T) {
	is := is.New(t)
	h := hopHeader{attempt: core.AttemptID{Origin: 7, Number: 9}}
	sent := http.Header{}
	h.set(sent)
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\n")
	is.NoErr(sent.Write(&head))
	refusal := hopRefusal([]byte(head.String()))
	resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: refusal}
	is.NoErr(checkAttempt(core.Forward{Attempt: h.attempt}, resp))
	is.Equal(reportedError(core.Forward{}, refusal.Get(HeaderOutcome), resp).outcome, retry.NotRun)
	is.Equal(len(hopRefusal([]byte("GET / HTTP/1.1\r\nHost: a\r\n"))), 0) // whose attempt it was is not known
}

// TestLargeRequestsLeaveRoom guards against large requests that take the room of ordinary ones.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	is := is.New(t)
	m := requestRoom{limit: 4 * h1.LargeRequestBytes, refused: metrics.NewCounter()}
	large := h1.LargeRequestBytes + 1
	is.True(m.reserve(large, false))
	is.True(!m.reserve(large, false))
	is.True(m.reserve(h1.LargeRequestBytes, false))
	is.True(m.reserve(h1.LargeRequestBytes, false))
	is.Equal(m.refused.Count(), int64(1))
	m.release(large)
	is.True(!m.reserve(large, false)) // ordinary ones take its part now
}

// TestRequestsAheadLeaveSlots guards against few connections that take all slots of a node: clients send
// requests ahead and do not read their answers.
func TestRequestsAheadLeaveSlots(t *testing.T) {
	is := is.New(t)
	s := requestSlots{limit: 8, refused: metrics.NewCounter()}
	m := requestRoom{limit: 8, refused: metrics.NewCounter()}
	for range 4 {
		is.True(s.take(true))
		is.True(m.reserve(1, true))
	}
	is.True(!s.take(true))
	is.True(!m.reserve(1, true))
	is.Equal(s.refused.Count()+m.refused.Count(), int64(0)) // they wait, and are not refused
	for range 4 {
		is.True(s.take(false))
		is.True(m.reserve(1, false))
	}
	is.True(!s.take(false))
	is.True(!m.reserve(1, false))
	is.Equal(s.refused.Count()+m.refused.Count(), int64(2))
}
