package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestRefusalOfAnotherAttemptIsNotBelieved guards against an attempt that runs being
// reported as not run, because another one's refusal, or the reply to the query about
// another one, came on its connection between nodes.
func TestRefusalOfAnotherAttemptIsNotBelieved(t *testing.T) {
	for _, tc := range []struct {
		name         string
		hop, queried string // values of the header that names the attempt; empty: none
		before       bool   // the attempt itself is named before
		behind       bool   // the attempt itself is named behind
	}{
		{"both of another attempt", "1-1", "1-1", false, false},
		{"both without an attempt", "", "", false, false},
		{"both of two attempts", "1-1", "1-1", true, false},
		{"both of two attempts in the other order", "1-1", "1-1", false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.SilenceAfter = testDeadline }, "", "orders")
			_ = m.nodes[1].hopServer.Close()
			l, err := net.Listen("tcp", m.nodes[1].hop)
			is.NoErr(err)
			var runs, queries atomic.Int64
			faulty := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				count, attempt, status, own := &queries, tc.queried, http.StatusNoContent, r.Header.Get("Agatekeel-Cancel")
				if hop := r.Header.Get("Agatekeel-Hop"); hop != "" {
					count, attempt, status = &runs, tc.hop, http.StatusServiceUnavailable
					own, _, _ = strings.Cut(hop, " ")
				}
				count.Add(1)
				if tc.before {
					w.Header().Add("Agatekeel-Attempt", own)
				}
				if attempt != "" {
					w.Header().Add("Agatekeel-Attempt", attempt)
				}
				if tc.behind {
					w.Header().Add("Agatekeel-Attempt", own)
				}
				w.Header().Set(proxy.HeaderOutcome, "not-run")
				w.WriteHeader(status)
			})}
			go func() { _ = faulty.Serve(l) }()
			defer func() { _ = faulty.Close() }()
			resp, _, err := m.do(0, "POST", "/once", "x")
			is.NoErr(err)
			is.Equal(fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(proxy.HeaderOutcome)), "502 unknown")
			is.Equal(runs.Load(), int64(1))
			is.Equal(queries.Load(), int64(1))
		})
	}
}

// TestConnectionsToAnotherProcessAreKept guards against every idle connection to an address
// failing a request each, once an answer shows that another process has the address.
func TestConnectionsToAnotherProcessAreKept(t *testing.T) {
	const conns = 4
	is := is.New(t)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.SilenceAfter = testDeadline }, "", "orders")
	_ = m.nodes[1].hopServer.Close()
	l, err := net.Listen("tcp", m.nodes[1].hop)
	is.NoErr(err)
	var replaced atomic.Bool
	var together sync.WaitGroup
	together.Add(conns)
	type isOld struct{}
	faulty := &http.Server{
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, isOld{}, !replaced.Load())
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			own, _, _ := strings.Cut(r.Header.Get("Agatekeel-Hop"), " ")
			switch old := r.Context().Value(isOld{}).(bool); {
			case !replaced.Load() && own != "":
				together.Done()
				together.Wait() // each request has a connection of its own
			case old:
				own = "1-1"
			}
			w.Header().Set("Agatekeel-Attempt", own)
		}),
	}
	go func() { _ = faulty.Serve(l) }()
	defer func() { _ = faulty.Close() }()
	var callers sync.WaitGroup
	for range conns {
		callers.Go(func() { _, _, _ = m.do(0, "POST", "/once", "x") })
	}
	callers.Wait()
	replaced.Store(true)
	for i := range conns {
		resp, _, err := m.do(0, "POST", "/once", "x")
		is.NoErr(err)
		is.Equal(resp.StatusCode == http.StatusOK, i > 0) // only the first answer is not believed
	}
}
