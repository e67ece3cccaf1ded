package proxy_test

import (
	"bufio"
	"crypto/rand"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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
			conn := m.dialRaw(i, "POST /brief HTTP/1.1\r\nHost: x\r\n"+sample.HeaderID+": "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n"+streamedChunk())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(started.Load(), int64(1))
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get(proxy.HeaderOutcome), "unknown")
		})
	}
}

// TestUploadsTakeMoreThanTheirMemory guards against the bodies of requests taking memory without a
// bound: many callers send theirs, of a declared length or in chunks, and stop before the end.
// All of them are served once they have gone on.
func TestUploadsTakeMoreThanTheirMemory(t *testing.T) {
	const callers, size, memory = 24, 40_000, 200_000
	is := is.New(t)
	m := newMesh(t, func(c *core.Config, p *proxy.Config) { c.Slots, p.ReadAheadBytes = callers, memory }, "", "orders")
	goOn := make(chan struct{})
	statuses := make(chan int, callers)
	for i := range callers {
		go func() {
			body, w := io.Pipe()
			go func() {
				_, _ = w.Write(make([]byte, size-1))
				<-goOn
				_, _ = w.Write([]byte("x"))
				_ = w.Close()
			}()
			r, err := http.NewRequest(http.MethodPost, "http://"+m.nodes[0].callers+"/once", body)
			if err != nil {
				t.Error(err)
			}
			if i%2 == 0 {
				r.ContentLength = size
			}
			resp, err := m.client.Do(r)
			if err != nil {
				t.Error(err)
				statuses <- 0
				return
			}
			answer, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Logf("%d %s", resp.StatusCode, answer)
			}
			statuses <- resp.StatusCode
		}()
	}
	most := int64(0)
	for range 100 {
		most = max(most, m.nodes[0].proxy.HeldBytes(), m.nodes[1].proxy.HeldBytes())
		time.Sleep(5 * time.Millisecond)
	}
	is.True(most > memory/2) // it is used
	is.True(most <= memory)
	close(goOn)
	for range callers {
		is.Equal(<-statuses, http.StatusOK)
	}
	m.eventually("the memory is free again", func() bool {
		return m.nodes[0].proxy.HeldBytes() == 0 && m.nodes[1].proxy.HeldBytes() == 0
	})
}
