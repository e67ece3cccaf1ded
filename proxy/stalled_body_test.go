package proxy_test

import (
	"bufio"
	"crypto/rand"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestStalledBodyIsNotReportedAsNotRun guards against status 408, which says that a request
// has not run, after a backend server has got its header and part of its body.
func TestStalledBodyIsNotReportedAsNotRun(t *testing.T) {
	for i, name := range []string{"own host", "other host"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t)
			id := rand.Text()
			var started atomic.Int64
			go func() {
				_ = http.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if r.Header.Get(sample.HeaderID) != id { // meant for a process that had the port before
						return
					}
					started.Add(1)
					_, _ = bufio.NewReader(r.Body).ReadString(0)
				}))
			}()
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
				if p.Backend != "" {
					p.Backend = l.Addr().String()
				}
			}, "orders", "")
			conn := m.dialRaw(i, "POST /brief HTTP/1.1\r\nHost: x\r\n"+sample.HeaderID+": "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(started.Load(), int64(1))
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get(proxy.HeaderOutcome), "unknown")
		})
	}
}
