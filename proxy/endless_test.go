package proxy_test

import (
	"bufio"
	"fmt"
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

// endlessServer answers each request with a beginning and then sends a part again and
// again until its connection is closed.
type endlessServer struct {
	address string
	sent    atomic.Int64 // bytes of repeated parts
	open    atomic.Int64 // connections on which it is sending
	answers atomic.Int64 // those on which it has sent
}

func newEndlessServer(t *testing.T, beginning, part string) *endlessServer {
	l := listen(t)
	s := &endlessServer{address: l.Addr().String()}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go s.serve(c, beginning, part)
		}
	}()
	return s
}

func (s *endlessServer) serve(c net.Conn, beginning, part string) {
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // else the system takes megabytes that the node never reads
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.answers.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	n, err := c.Write([]byte(strings.ReplaceAll(beginning, "ID", r.Header.Get(sample.HeaderID))))
	for ; err == nil; n, err = c.Write([]byte(part)) {
		s.sent.Add(int64(n))
	}
}

// TestEndlessAnswerIsCutOff checks that a backend server that sends without end, in
// the head or the body of an answer, is cut off at the request's deadline at the
// latest, takes no more than a bounded amount of memory, and harms no other request.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const (
		answer    = "HTTP/1.1 200 OK\r\n" + sample.HeaderID + ": ID\r\n"
		maxHead   = 2 << 20 // bytes: far above a head's limit, for what sockets buffer
		readAhead = 1 << 20 // bytes
		maxBody   = 24 << 20
	)
	part := strings.Repeat("x", 4<<10)
	for _, tt := range []struct {
		name, beginning, part string
		maxBytes              int64
		status                int // zero: the answer is cut
	}{
		{"status line", "", part, maxHead, http.StatusBadGateway},
		{"header line", answer + "X-Long: ", part, maxHead, http.StatusBadGateway},
		{"header lines", answer, "X-More: " + part + "\r\n", maxHead, http.StatusBadGateway},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: " + part + "\r\n\r\n", maxHead, http.StatusBadGateway},
		{"length of a chunk", answer + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1", 4<<10), maxHead, 0},
		{"chunks", answer + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part), maxBody, 0},
		{"extensions of chunks", answer + "Transfer-Encoding: chunked\r\n\r\n", "1;" + part[:2<<10] + "\r\nx\r\n", maxBody, 0},
		{"line of a trailer", answer + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Long: ", part, maxHead, 0},
		{"lines of a trailer", answer + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-More: x\r\n", maxHead, 0},
		{"lines without a status", "", "\r\n", maxHead, http.StatusBadGateway},
		{"bytes after an answer without a body", "HTTP/1.1 204 No Content\r\n" + sample.HeaderID + ": ID\r\n\r\n", part, maxHead, http.StatusNoContent},
		{"body without a length", answer + "\r\n", part, maxBody, 0},
		{"body of a huge length", answer + "Content-Length: 1000000000000\r\n\r\n", part, maxBody, 0},
		{"bytes after the answer", answer + "Content-Length: 2\r\n\r\nok", part, maxHead, http.StatusOK},
	} {
		for _, path := range []string{"/once", "/"} { // the second may be sent again, so its answer is kept at first
			t.Run(tt.name+", "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server := newEndlessServer(t, tt.beginning, tt.part)
				m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
					p.Backend, p.ReadAheadBytes, p.LinkBytes = server.address, readAhead, 4<<20
				}, "", "orders")
				m.putCallersElsewhere()
				method, body := http.MethodPost, "x"
				if path == "/" {
					method, body = http.MethodGet, ""
				}
				resp, _, err := m.do(0, method, path, body, sample.HeaderID, m.id(), "Agatekeel-Timeout-Millis", "1000")
				if tt.status == 0 {
					is.True(err != nil || resp.StatusCode == http.StatusBadGateway) // never a complete answer
				} else {
					is.NoErr(err)
					is.Equal(resp.StatusCode, tt.status)
				}
				m.eventually("the server is cut off", func() bool { return server.open.Load() == 0 })
				if n := server.sent.Load(); n >= tt.maxBytes*server.answers.Load() {
					t.Errorf("the server could send %d bytes in %d answers, at most %d each are expected", n, server.answers.Load(), tt.maxBytes)
				}
				m.eventually("the memory is free again", func() bool {
					return m.nodes[0].proxy.HeldBytes() == 0 && m.nodes[1].proxy.HeldBytes() == 0
				})
				m.eventually("the slot is free", func() bool { return m.nodes[1].node.Dump().Backend.Running == 0 })
			})
		}
	}
}
