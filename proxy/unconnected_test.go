package proxy_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestHostIsLeftOutForWhatItsCallerLacks guards against leaving out a host because the entry
// node has no descriptors, no processor time or too little of the call's time to connect.
func TestHostIsLeftOutForWhatItsCallerLacks(t *testing.T) {
	for _, tt := range []struct {
		name    string
		path    string
		after   time.Duration // in which the connection is not opened
		err     error
		leftOut bool
	}{
		{"no descriptors", "/checks", 0, os.NewSyscallError("socket", syscall.EMFILE), false},
		{"no ports", "/checks", 0, os.NewSyscallError("connect", syscall.EADDRNOTAVAIL), false},
		{"the process was late", "/checks", 1500 * time.Millisecond, os.ErrDeadlineExceeded, false},
		{"the call's time is over", "/brief", time.Minute, nil, false},
		{"nobody answers", "/checks", 600 * time.Millisecond, os.ErrDeadlineExceeded, true},
		{"the host is not known", "/checks", 0, os.NewSyscallError("connect", syscall.EHOSTUNREACH), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var lacks atomic.Bool
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if !lacks.Load() {
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-time.After(tt.after):
					return nil, &net.OpError{Op: "dial", Net: network, Err: tt.err}
				}
			}
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
				p.HopDial, p.SilenceAfter = dial, proxy.DefaultSilenceAfter
			}, "", "orders", "orders")
			lacks.Store(true)
			resp, _, err := m.do(0, http.MethodGet, tt.path, "")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			leftOut := 0
			for _, v := range m.nodes[0].node.Dump().Balance {
				if !v.EjectedUntil.IsZero() {
					leftOut++
				}
			}
			is.Equal(leftOut > 0, tt.leftOut)
			lacks.Store(false)
			resp, _, err = m.do(0, http.MethodGet, "/checks", "")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}
