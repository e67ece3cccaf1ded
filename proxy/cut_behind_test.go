package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// brokenServer breaks off its answers to /once and answers all else whole, after a while.
type brokenServer struct {
	broken string        // the beginning of an answer
	reset  bool          // of the connection, in place of its end
	others *atomic.Int64 // requests to other paths
}

func (s brokenServer) start(t *testing.T) (address string) {
	l := listen(t)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s brokenServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/once" {
			s.others.Add(1)
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			continue
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, s.broken)
		time.Sleep(20 * time.Millisecond) // what has come is passed on, if anything is
		if s.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// TestCutAnswerTakesRequestsBehindIt guards against requests that were passed on and get no
// answer, as the connection is closed for a cut answer in front of them. Some of them come
// along with the first request, some while its answer is on its way.
func TestCutAnswerTakesRequestsBehindIt(t *testing.T) {
	half := strings.Repeat("x", 50)
	large := strings.Repeat("x", 50_000)
	for _, tt := range []struct {
		name   string
		server brokenServer
	}{
		{"length", brokenServer{broken: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + half}},
		{"length and a reset", brokenServer{broken: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + half, reset: true}},
		{"no body yet", brokenServer{broken: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"}},
		{"large", brokenServer{broken: "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + large}},
		{"very large", brokenServer{broken: "HTTP/1.1 200 OK\r\nContent-Length: 1700000\r\n\r\n" + strings.Repeat(large, 8)}},
		{"very large in chunks", brokenServer{broken: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("c350\r\n"+large+"\r\n", 8)}},
		{"chunks", brokenServer{broken: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n32\r\n" + half + "\r\n"}},
		{"no length", brokenServer{broken: "HTTP/1.1 200 OK\r\n\r\n" + half, reset: true}},
		{"failure", brokenServer{broken: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 100\r\n\r\n" + half}},
	} {
		for entry, where := range []string{"other host", "own host"} {
			for _, behind := range []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond} {
				t.Run(fmt.Sprint(tt.name, ", ", where, ", ", behind), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					server := tt.server
					server.others = &atomic.Int64{}
					address := server.start(t)
					m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
						if p.Backend != "" {
							p.Backend = address
						}
					}, "", "orders")
					c, err := net.Dial("tcp", m.nodes[entry].callers)
					is.NoErr(err)
					defer func() { _ = c.Close() }()
					_ = c.SetDeadline(time.Now().Add(testDeadline))
					_, err = io.WriteString(c, "POST /once HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
					is.NoErr(err)
					time.Sleep(behind)
					_, err = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2))
					if err != nil {
						return // the connection is closed already
					}
					in := bufio.NewReader(c)
					first, _, err := readStatusAndBody(in)
					is.True(first != http.StatusOK || err != nil) // never a complete success
					answered := int64(0)
					for range 2 {
						status, body, err := readStatusAndBody(in)
						if err != nil {
							break
						}
						is.Equal(status, http.StatusOK)
						is.Equal(body, "whole")
						answered++
					}
					time.Sleep(50 * time.Millisecond)
					if n := server.others.Load(); n > answered {
						t.Errorf("%d requests behind the cut answer were passed on, %d were answered", n, answered)
					}
				})
			}
		}
	}
}

func readStatusAndBody(in *bufio.Reader) (status int, body string, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
