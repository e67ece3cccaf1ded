package proxy_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestRefusalsCloseConnectionsBetweenNodes asks over a link that has no room: each
// refusal must leave its connection to the next attempt.
func TestRefusalsCloseConnectionsBetweenNodes(t *testing.T) {
	const link, refusals = 200_000, 20 // the answer in front of them takes a second
	is := is.New(t)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.LinkBytes = link }, "", "orders")
	m.putCallersElsewhere()
	_, _, err := m.do(0, http.MethodGet, "/brief?answerBytes=40000", "") // shows how large answers are
	is.NoErr(err)
	done := make(chan error, 1)
	go func() {
		_, _, err := m.do(0, http.MethodGet, "/?answerBytes=200000", "")
		done <- err
	}()
	m.eventually("the link is busy", func() bool {
		last := m.nodes[1].arrivals.lastDone()
		return last != nil && last.Bytes >= 200_000
	})
	listener := m.nodes[1].hopListener
	listener.mu.Lock()
	before := len(listener.conns)
	listener.mu.Unlock()
	for range refusals {
		resp, body, err := m.do(0, http.MethodGet, "/brief?answerBytes=40000", "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(len(body) > 0) // a caller is told the reason
	}
	listener.mu.Lock()
	opened := len(listener.conns) - before
	listener.mu.Unlock()
	is.True(opened <= 1) // the large answer has the connection of before
	is.NoErr(<-done)
}
