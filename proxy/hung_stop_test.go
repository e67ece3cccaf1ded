package proxy_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestRequestAtWorkBeyondAStopIsDropped guards against a caller that is left without an answer
// when its entry node ends, since the backend server, on this host or another, still works.
func TestRequestAtWorkBeyondAStopIsDropped(t *testing.T) {
	for name, services := range map[string][]string{"own host": {"orders"}, "another host": {"", "orders"}} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+", "+method, func(t *testing.T) {
				const drain, work = 700 * time.Millisecond, 3 * time.Second
				is := is.New(t)
				m := newMesh(t, func(c *core.Config, _ *proxy.Config) { c.DrainAtLeast, c.DrainAtMost = drain, drain }, services...)
				m.nodes[len(m.nodes)-1].backend.SetFault(func(*http.Request) sample.Fault { return sample.Fault{Delay: work} })
				n := m.nodes[0]
				q := &request{id: m.id(), entry: n.callers, method: method, path: "/once", once: method == http.MethodPost}
				var callers sync.WaitGroup
				callers.Go(func() { m.send(q) })
				m.eventually("the backend server works", func() bool { return len(m.runs.ForID(q.id)) == 1 })
				began := time.Now()
				n.node.Step(core.Stop{})
				callers.Go(func() {
					<-n.node.Drained()
					n.stop()
				})
				callers.Wait()
				t.Logf("status %d, outcome %q, error %v after %v", q.status, q.outcome, q.err, q.ended.Sub(began))
				is.NoErr(q.err)
				is.Equal(q.outcome, "unknown")
				is.True(q.status == http.StatusBadGateway || q.status == http.StatusGatewayTimeout)
				is.True(q.ended.Sub(began) < drain+maxStopTime)
			})
		}
	}
}
