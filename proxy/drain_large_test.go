package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestDrainWaitsForLargeResponses stops a node that has read a large response from its
// backend server and still sends it over a slow link, to callers directly or to another
// node. The response must arrive completely.
func TestDrainWaitsForLargeResponses(t *testing.T) {
	const bytes, link = 3 << 20, 2 << 20 // 1.5 s, more than the shortest drain and the time to stop a server
	for _, tt := range []struct {
		name, path string
		entry      int
	}{
		{"to another node", "/once?answerBytes=3145728", 0},
		{"to another node, of undeclared length", "/once?answerBytes=3145728&chunked=true", 0},
		{"to the caller", "/once?answerBytes=3145728", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.LinkBytes = link }, "", "orders")
			m.putCallersElsewhere()
			n := m.nodes[1]
			q := &request{id: m.id(), entry: m.nodes[tt.entry].callers, method: http.MethodPost, path: tt.path, body: []byte("x"), once: true}
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				m.send(q)
			}()
			m.eventually("the response is read and its slot is free", func() bool {
				return len(m.runs.ForID(q.id)) == 1 && n.node.Dump().Backend.Running == 0
			})
			began := time.Now()
			n.node.Step(core.Stop{})
			<-n.node.Drained()
			n.stop()
			t.Logf("stopped after %v", time.Since(began))
			<-sent
			is.NoErr(q.err)
			is.Equal(q.status, http.StatusOK)
			is.True(len(q.responseBody) >= bytes)
		})
	}
}
