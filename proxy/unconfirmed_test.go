package proxy_test

import (
	"crypto/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestUnconfirmedCancelIsReportedAsNotRun guards against an attempt whose connection broke
// being reported as not run although the node that got it does not confirm that.
func TestUnconfirmedCancelIsReportedAsNotRun(t *testing.T) {
	for _, tt := range []struct {
		confirmed string
		status    int
	}{{"unknown", 502}, {"open", 502}, {"ran", 502}, {"", 502}, {"not-run", 503}} {
		t.Run(tt.confirmed, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.SilenceAfter = testDeadline }, "", "orders")
			_ = m.nodes[1].hopServer.Close()
			l, err := net.Listen("tcp", m.nodes[1].hop)
			is.NoErr(err)
			faulty := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				own := r.Header.Get("Agatekeel-Cancel")
				if own == "" {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Agatekeel-Attempt", own)
				w.Header().Set(proxy.HeaderOutcome, tt.confirmed)
				w.WriteHeader(http.StatusNoContent)
			})}
			go func() { _ = faulty.Serve(l) }()
			defer func() { _ = faulty.Close() }()
			resp, _, err := m.do(0, http.MethodPost, "/once", "x")
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
		})
	}
}

// TestCopyOfRunningAttemptIsReportedAsNotRun guards against a copy of an attempt being refused
// as not run while the first one runs.
func TestCopyOfRunningAttemptIsReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	id := rand.Text()
	started, end := make(chan bool, 2), make(chan bool)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Header.Get(sample.HeaderID) == id {
				started <- true
				<-end
			}
		}))
	}()
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.Backend = l.Addr().String() }, "orders")
	send := func() (outcome string, err error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+m.nodes[0].hop+"/", strings.NewReader("x"))
		if err != nil {
			return "", err
		}
		r.Header = http.Header{"Agatekeel-Hop": {"7-1 1 5000000 1 0-0"}, sample.HeaderID: {id}}
		resp, err := m.client.Do(r)
		if err != nil {
			return "", err
		}
		return resp.Header.Get(proxy.HeaderOutcome), resp.Body.Close()
	}
	first := make(chan error, 1)
	go func() {
		_, err := send()
		first <- err
	}()
	<-started
	outcome, err := send()
	close(end)
	is.NoErr(err)
	is.Equal(outcome, "unknown")
	is.NoErr(<-first)
	is.Equal(len(started), 0)
}

// TestKeyRunsAgainAfterLostAnswer guards against a request running under a key that another
// one ran under, whose backend server ended the connection instead of answering it.
func TestKeyRunsAgainAfterLostAnswer(t *testing.T) {
	l := listen(t)
	key := rand.Text()
	var runs atomic.Int64
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Idempotency-Key") == key {
				runs.Add(1)
				panic(http.ErrAbortHandler)
			}
		}))
	}()
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
		if p.Backend != "" {
			p.Backend = l.Addr().String()
		}
	}, "", "orders")
	for i := range 4 {
		is := is.New(t)
		resp, _, err := m.do(i%2, http.MethodPost, "/once", "x", "Idempotency-Key", key)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(runs.Load(), int64(1))
	}
}
