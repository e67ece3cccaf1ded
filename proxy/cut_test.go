package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// Headers by which a test tells a cutServer what to do.
const (
	headerSend  = "Test-Send"  // number of bytes of the answer that are sent
	headerEnd   = "Test-End"   // how the connection ends then: endWhole, endFIN or endRST
	signature   = "Signature"  // header of every answer
	afterAnswer = "Late-Field" // trailer of some answers
)

const (
	endWhole = "whole" // does not end, unless that ends the answer
	endFIN   = "fin"
	endRST   = "rst"
)

// cutServer is a backend server that sends the beginning of an answer and then ends
// the connection.
type cutServer struct {
	answer        string
	unframed      bool         // the answer ends with the connection
	first, reused atomic.Int64 // cut answers on new connections, and on those that have carried others
}

func (s *cutServer) start(t *testing.T) (address string) {
	l := listen(t)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *cutServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for earlier := 0; ; earlier++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n, _ := strconv.Atoi(r.Header.Get(headerSend))
		switch end := r.Header.Get(headerEnd); {
		case end == endWhole:
		case earlier == 0:
			s.first.Add(1)
		default:
			s.reused.Add(1)
		}
		_, _ = io.WriteString(c, s.answer[:n])
		switch end := r.Header.Get(headerEnd); {
		case end == endRST:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case end == endFIN || s.unframed:
			return
		}
	}
}

// cuts returns the number of cut answers.
func (s *cutServer) cuts() int64 { return s.first.Load() + s.reused.Load() }

// cutCase is an answer of a backend server, and what a caller gets if it is whole.
type cutCase struct {
	name, method, head, rest string
	status                   int
	body, trailer            string
	unframed                 bool // the body ends with the connection
}

func (c cutCase) answer() string { return c.head + c.rest }

// wholeFrom returns how many bytes of the answer are enough for a caller.
func (c cutCase) wholeFrom() int {
	if c.body == "" {
		return len(c.head)
	}
	return len(c.answer())
}

// cuts returns the lengths at which the answer is cut: all, or of a long answer those
// near the beginning and the end of its body and some others.
func (c cutCase) cuts() []int {
	const allUpTo, near, others = 1 << 10, 8, 24
	random := rand.New(rand.NewPCG(1, 2))
	size := len(c.answer())
	var out []int
	for n := range size + 1 {
		atHead, atEnd := n >= len(c.head)-near && n <= len(c.head)+near, n >= size-near
		if size <= allUpTo || atHead || atEnd || random.IntN(size) < others {
			out = append(out, n)
		}
	}
	return out
}

func cutCases() []cutCase {
	const head = "HTTP/1.1 200 OK\r\n" + signature + ": s\r\n"
	short, long := "twelve bytes", strings.Repeat("0123456789abcdef", 40<<10/16)
	held := strings.Repeat(long, 7) // over 256 KiB
	chunked := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }
	return []cutCase{
		{name: "length", head: head + "Content-Length: 12\r\n\r\n", rest: short, status: 200, body: short},
		{name: "length first", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + signature + ": s\r\n\r\n", rest: short, status: 200, body: short},
		{name: "chunks", head: head + "Transfer-Encoding: chunked\r\n\r\n", rest: chunked(short) + chunked(short) + "0\r\n\r\n", status: 200, body: short + short},
		{name: "trailer", head: head + "Transfer-Encoding: chunked\r\nTrailer: " + afterAnswer + "\r\n\r\n",
			rest: chunked(short) + "0\r\n" + afterAnswer + ": late\r\n\r\n", status: 200, body: short, trailer: "late"},
		{name: "field in head and trailer", head: head + "Transfer-Encoding: chunked\r\nTrailer: " + signature + ", " + afterAnswer + ", Agatekeel-Attempt\r\n\r\n",
			rest: chunked(short) + "0\r\n" + afterAnswer + ": late\r\n\r\n", status: 200, body: short, trailer: "late"},
		{name: "no length", head: head + "Connection: close\r\n\r\n", rest: short, status: 200, body: short, unframed: true},
		{name: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\n" + signature + ": s\r\n\r\n", rest: short, status: 200, body: short, unframed: true},
		{name: "line feeds alone", head: strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 12\n\n", rest: short, status: 200, body: short},
		{name: "folded field", head: head + "Link: a,\r\n b,\r\n\tc\r\nContent-Length: 12\r\n\r\n", rest: short, status: 200, body: short},
		{name: "304", head: "HTTP/1.1 304 Not Modified\r\n" + signature + ": s\r\nContent-Length: 12\r\n\r\n", status: 304},
		{name: "HEAD", method: http.MethodHead, head: head + "Content-Length: 12\r\n\r\n", status: 200},
		{name: "204", head: "HTTP/1.1 204 No Content\r\n" + signature + ": s\r\n\r\n", status: 204},
		{name: "interim", head: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 12\r\n\r\n", rest: short, status: 200, body: short},
		{name: "empty", head: head + "Content-Length: 0\r\n\r\n", status: 200},
		{name: "long", head: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)), rest: long, status: 200, body: long},
		{name: "long in chunks", head: head + "Transfer-Encoding: chunked\r\n\r\n", rest: chunked(long) + "0\r\n\r\n", status: 200, body: long},
		{name: "too long to be held", head: head + "Transfer-Encoding: chunked\r\n\r\n", rest: chunked(held) + "0\r\n\r\n", status: 200, body: held},
		{name: "long without length", head: head + "\r\n", rest: long, status: 200, body: long, unframed: true},
	}
}

// newCutMesh starts an entry node and one beside a cutServer.
func newCutMesh(t *testing.T, c cutCase) (*mesh, *cutServer) {
	s := &cutServer{answer: c.answer(), unframed: c.unframed}
	address := s.start(t)
	return newMesh(t, func(_ *core.Config, p *proxy.Config) {
		if p.Backend != "" {
			p.Backend = address
		}
	}, "", "orders"), s
}

// cutRequest is a request whose answer is cut after some bytes.
type cutRequest struct {
	node         int // index of the entry node
	method, path string
	bytes        int
	end          string
	reused       bool // its answer comes over a connection that has carried another
}

// requestCut sends a request whose answer is whole and then one whose answer is cut. It
// returns what is wrong with the answer that the caller gets. A request that a node of a
// busy machine refuses is sent again.
func (m *mesh) requestCut(s *cutServer, c cutCase, r cutRequest) (wrong error) {
	m.eventually("a whole answer arrives whole", func() bool {
		resp, body, err := m.do(r.node, r.method, r.path, "", headerSend, strconv.Itoa(len(c.answer())), headerEnd, endWhole)
		return err == nil && c.fault(resp, body) == nil
	})
	if r.bytes == len(c.answer()) && !c.unframed {
		return nil
	}
	if !r.reused {
		m.nodes[1].proxy.Close()
	}
	m.eventually("the answer is cut", func() bool {
		before := s.cuts()
		resp, body, err := m.do(r.node, r.method, r.path, "", headerSend, strconv.Itoa(r.bytes), headerEnd, r.end)
		if err == nil && resp.Header.Get(proxy.HeaderOutcome) == "" {
			wrong = c.cutFault(r, resp, body)
		}
		return s.cuts() > before
	})
	return wrong
}

// cutFault reports what is wrong with an answer that looks whole.
func (c cutCase) cutFault(r cutRequest, resp *http.Response, body string) error {
	switch {
	case c.unframed && r.end == endFIN && r.bytes >= len(c.head):
		c.body = c.rest[:r.bytes-len(c.head)] // the end of the connection is that of the answer
	case c.unframed || r.bytes < c.wholeFrom():
		return fmt.Errorf("cut answer looks whole: status %d, header %v, %d bytes", resp.StatusCode, resp.Header, len(body))
	}
	return c.fault(resp, body)
}

// fault reports how an answer differs from the backend server's.
func (c cutCase) fault(resp *http.Response, body string) error {
	if resp.StatusCode != c.status || body != c.body || resp.Header.Get(signature) != "s" || resp.Trailer.Get(afterAnswer) != c.trailer {
		return fmt.Errorf("answer differs: status %d, header %v, %d bytes, trailer %v", resp.StatusCode, resp.Header, len(body), resp.Trailer)
	}
	return nil
}

// TestCutAnswerNeverLooksWhole cuts answers after every byte, and checks that no caller
// gets one that lacks a part and looks whole.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	for _, c := range cutCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m, s := newCutMesh(t, c)
			for _, node := range m.nodes {
				node.proxy.InjectFaults(proxy.Faults{TrustsIdleConns: true}) // else no unsafe request goes over a reused connection
			}
			for _, n := range c.cuts() {
				r := cutRequest{method: http.MethodGet, path: "/", bytes: n, reused: n>>1&1 != 0}
				if n&1 != 0 {
					r.method, r.path = http.MethodPost, "/once"
				}
				if c.method != "" {
					r.method = c.method
				}
				for i := range 4 {
					r.node, r.end = i&1, []string{endFIN, endRST}[i>>1]
					if err := m.requestCut(s, c, r); err != nil {
						t.Errorf("%+v, cut after %q: %v", r, tail(c.answer()[:n]), err)
					}
				}
			}
			if s.first.Load() == 0 || s.reused.Load() == 0 && !c.unframed {
				t.Errorf("%d answers were cut on new connections and %d on reused ones", s.first.Load(), s.reused.Load())
			}
		})
	}
}

// TestCutAnswerIsDetected shows that requestCut detects nodes that end a cut answer as if
// it were whole.
func TestCutAnswerIsDetected(t *testing.T) {
	is := is.New(t)
	c := cutCases()[2]
	m, s := newCutMesh(t, c)
	for _, node := range m.nodes {
		node.proxy.InjectFaults(proxy.Faults{HidesTruncation: true})
	}
	for node := range m.nodes {
		r := cutRequest{node: node, method: http.MethodPost, path: "/once", bytes: len(c.answer()) - 1, end: endFIN}
		is.True(m.requestCut(s, c, r) != nil)
	}
}

// tail returns the end of a text.
func tail(s string) string { return s[max(0, len(s)-20):] }
