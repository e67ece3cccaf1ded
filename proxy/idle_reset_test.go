package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// serveOnce responds to the first request of each connection and resets the
// connection when a second one arrives. A backend server that has silently
// dropped an idle connection behaves like this.
func serveOnce(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			_, _ = in.Peek(1)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}()
	}
}

// TestResetIdleConnectionsFailOneRequest sends requests that may not run twice
// to a backend server that resets idle connections. Only the first may fail;
// after that, requests go over new connections. With the fault injected every
// second request fails, which shows that the test detects it.
func TestResetIdleConnectionsFailOneRequest(t *testing.T) {
	const requests = 10
	for _, tc := range []struct {
		name   string
		faulty bool
		failed int
	}{{"new connections", false, 1}, {"fault injected", true, requests / 2}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
				if p.Backend == "" {
					return
				}
				l := listen(t)
				go serveOnce(l)
				p.Backend = l.Addr().String()
			}, "", "orders")
			m.nodes[1].proxy.InjectFaults(proxy.Faults{TrustsIdleConns: tc.faulty})
			failed := 0
			for range requests {
				resp, _, err := m.do(0, "POST", "/once", "x")
				is.NoErr(err)
				if resp.StatusCode != http.StatusOK {
					is.Equal(resp.StatusCode, http.StatusBadGateway) // whether it ran is unknown
					failed++
				}
			}
			is.Equal(failed, tc.failed)
		})
	}
}
