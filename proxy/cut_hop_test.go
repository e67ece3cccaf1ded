package proxy_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// cutRelay relays connections to a node and ends each of them after some bytes of the
// node's answers, as the end of its process would.
type cutRelay struct {
	bytes atomic.Int64 // zero: connections are not ended
	reset atomic.Bool
	cuts  atomic.Int64
}

// start returns the address of a relay to an address.
func (r *cutRelay) start(t *testing.T, target string) (address string) {
	l := listen(t)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go r.relay(c, target)
		}
	}()
	return l.Addr().String()
}

func (r *cutRelay) relay(c net.Conn, target string) {
	defer func() { _ = c.Close() }()
	node, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = node.Close() }()
	limit, reset := r.bytes.Load(), r.reset.Load()
	go func() { _, _ = io.Copy(node, c) }()
	if limit == 0 {
		_, _ = io.Copy(c, node)
		return
	}
	if n, _ := io.CopyN(c, node, limit); n == limit {
		r.cuts.Add(1)
	}
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// TestAnswerCutOverHopNeverLooksWhole ends the connection between two nodes after every
// byte of an answer, and checks that no caller gets one that lacks a part and looks whole.
func TestAnswerCutOverHopNeverLooksWhole(t *testing.T) {
	const wholeAnswers = 8 // after which the cut is beyond the end of the answer
	for _, c := range cutCases() {
		if len(c.answer()) > 1<<10 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, relay := &cutServer{answer: c.answer(), unframed: c.unframed}, &cutRelay{}
			address := s.start(t)
			m := newMesh(t, func(cc *core.Config, p *proxy.Config) {
				if p.Backend != "" {
					p.Backend, cc.Hop = address, relay.start(t, cc.Hop)
				}
			}, "", "orders")
			for n, whole := 1, 0; whole < wholeAnswers; n++ {
				method, path := http.MethodPost, "/once"
				if n&1 != 0 {
					method, path = http.MethodGet, "/"
				}
				if c.method != "" {
					method = c.method
				}
				for _, reset := range []bool{false, true} {
					if m.requestCutOverHop(c, relay, n, reset, method, path) {
						whole++
					}
				}
			}
			if relay.cuts.Load() < int64(len(c.answer())) {
				t.Errorf("%d connections were cut", relay.cuts.Load())
			}
		})
	}
}

// requestCutOverHop sends a request over a connection to the other node that is ended after
// n bytes, after one over a connection that is not. It reports whether its answer is whole.
func (m *mesh) requestCutOverHop(c cutCase, relay *cutRelay, n int, reset bool, method, path string) (whole bool) {
	m.t.Helper()
	size := strconv.Itoa(len(c.answer()))
	relay.bytes.Store(0)
	m.nodes[0].proxy.Close()
	m.eventually("a whole answer arrives whole", func() bool {
		resp, body, err := m.do(0, method, path, "", headerSend, size, headerEnd, endWhole)
		return err == nil && c.fault(resp, body) == nil
	})
	relay.bytes.Store(int64(n))
	relay.reset.Store(reset)
	m.nodes[0].proxy.Close()
	resp, body, err := m.do(0, method, path, "", headerSend, size, headerEnd, endWhole)
	if err != nil || resp.Header.Get(proxy.HeaderOutcome) != "" {
		return false
	}
	if err := c.fault(resp, body); err != nil {
		m.t.Errorf("%s, cut after %d bytes: %v", method, n, err)
	}
	return true
}
