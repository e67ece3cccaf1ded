package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestAnswerWhoseTurnComesLateIsWhole guards against an answer that its server has sent in time and that is
// lost, since the answer in front of it takes longer than its own route allows.
func TestAnswerWhoseTurnComesLateIsWhole(t *testing.T) {
	for entry, where := range []string{"other host", "own host"} {
		for _, size := range []int{2_400, 40_000, 100_000, 400_000} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprint(where, ", ", size, " bytes, in chunks ", chunked), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path == "/checks/slow" {
							time.Sleep(700 * time.Millisecond) // /brief has 200 ms
						}
						if r.URL.Path == "/brief/large" {
							if !chunked {
								w.Header().Set("Content-Length", fmt.Sprint(size))
							}
							_, _ = io.WriteString(w, strings.Repeat("x", size))
						}
					}))
					defer backend.Close()
					m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
						if p.Backend != "" {
							p.Backend = strings.TrimPrefix(backend.URL, "http://")
						}
					}, "", "orders")
					c, err := net.Dial("tcp", m.nodes[entry].callers)
					is.NoErr(err)
					defer func() { _ = c.Close() }()
					_ = c.SetDeadline(time.Now().Add(testDeadline))
					for _, path := range []string{"/checks/slow", "/brief/large"} {
						_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n%s: %s\r\n\r\n", path, sample.HeaderID, m.id())
						is.NoErr(err)
					}
					in := bufio.NewReader(c)
					for _, want := range []int{0, size} {
						status, body, err := readStatusAndBody(in)
						is.NoErr(err)
						is.Equal(status, http.StatusOK)
						is.Equal(len(body), want)
					}
				})
			}
		}
	}
}
