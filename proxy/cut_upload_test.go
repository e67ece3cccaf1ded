package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

const earlyAnswer = "the beginning"

// answerEarly answers a request without a length while its body still arrives, and then
// has end end the connection.
func answerEarly(c net.Conn, end func(*net.TCPConn)) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, r.Body)
	}()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+earlyAnswer)
	time.Sleep(time.Millisecond)
	end(c.(*net.TCPConn))
	<-read
	_ = c.Close()
}

// endlessBody is a request body without an end.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Microsecond)
	return min(len(p), 16<<10), nil
}

// lossless is the time within which a caller that still sends gets its answer: a server reads
// on for as long behind it. The other limits of the test's requests are longer.
const lossless = 500 * time.Millisecond

// uploadWithoutEnd sends a request that does not end. It returns how long the request took,
// and why its answer is not whole.
func (m *mesh) uploadWithoutEnd(node int) (took time.Duration, lost error) {
	began := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+m.nodes[node].callers+"/once", endlessBody{})
	m.must(err)
	resp, err := m.client.Do(req)
	if err != nil {
		return time.Since(began), err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && (resp.StatusCode != http.StatusOK || string(body) != earlyAnswer) {
		err = fmt.Errorf("status %d, %q", resp.StatusCode, body)
	}
	return time.Since(began), err
}

// TestResetDuringUploadCutsAnswer guards against answers without a length that look whole
// though their connection was reset, since the error went to the writer of the request.
func TestResetDuringUploadCutsAnswer(t *testing.T) {
	const requests, maxLate = 200, 10
	for _, tt := range []struct {
		name  string
		end   func(*net.TCPConn)
		whole int
	}{
		{"reset", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, 0},
		{"ended in one direction", func(c *net.TCPConn) { _ = c.CloseWrite() }, requests},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t)
			go func() {
				for c, err := l.Accept(); err == nil; c, err = l.Accept() {
					go answerEarly(c, tt.end)
				}
			}()
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
				if p.Backend != "" {
					p.Backend = l.Addr().String()
				}
			}, "", "orders")
			whole, late := 0, 0
			for i := range requests {
				took, lost := m.uploadWithoutEnd(i % 2)
				for ; tt.whole > 0 && lost != nil && took > lossless && late < maxLate; late++ {
					took, lost = m.uploadWithoutEnd(i % 2) // this process or the other end was late
				}
				if lost == nil {
					whole++
				} else if tt.whole > 0 {
					t.Logf("answer %d is lost after %v, %d were late: %v", i, took, late, lost)
				}
			}
			is.Equal(whole, tt.whole)
		})
	}
}

// countedBody is a request body without an end that counts the reads of it.
type countedBody struct{ reads *atomic.Int64 }

func (b countedBody) Read(p []byte) (int, error) {
	b.reads.Add(1)
	return len(p), nil
}

// TestAnswerHangsBehindUnreadUpload guards against an answer whose end is not noticed, as the
// server reads no more of the request and the writer of its body is blocked.
func TestAnswerHangsBehindUnreadUpload(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	var reads atomic.Int64
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				for before := int64(-1); reads.Load() != before; time.Sleep(100 * time.Millisecond) {
					before = reads.Load() // until the writers are blocked
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+earlyAnswer)
				_ = c.(*net.TCPConn).CloseWrite()
			}
		}
	}()
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
		if p.Backend != "" {
			p.Backend = l.Addr().String()
		}
	}, "", "orders")
	for node := range m.nodes {
		req, err := http.NewRequest(http.MethodPost, "http://"+m.nodes[node].callers+"/once", countedBody{&reads})
		is.NoErr(err)
		resp, err := m.client.Do(req)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		is.NoErr(err)
		is.Equal(string(body), earlyAnswer)
	}
}
