package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// markNames are the names of headers with which a refuser refuses.
var markNames = proxy.Names{RequestID: "Test-Request", NotRun: "Test-Not-Run", Backend: "Test-Backend"}

// refuser is a faulty backend server. On a connection that has carried another request it
// writes what it is told to write in front of, or in place of, its answer.
type refuser struct {
	mu    sync.Mutex
	write func(old, own string) string // nil: only the answer
	seen  map[string]int               // requests by ID
	wrote map[string]bool              // IDs of requests for which write was called
}

func (b *refuser) start(t *testing.T) (address string) {
	b.seen, b.wrote = map[string]int{}, map[string]bool{}
	l := listen(t)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go b.serve(c)
		}
	}()
	return l.Addr().String()
}

func (b *refuser) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	old := ""
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		own := r.Header.Get(markNames.RequestID)
		if _, err := io.WriteString(c, b.answer(old, own)); err != nil {
			return
		}
		old = own
	}
}

// answer counts a request and returns the bytes that answer it.
func (b *refuser) answer(old, own string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[own]++
	if old != "" && b.write != nil {
		b.wrote[own] = true
		return b.write(old, own)
	}
	return markedAnswer("200 OK", own)
}

func (b *refuser) set(write func(old, own string) string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write = write
}

// count returns how often a request came, and whether write was called for it.
func (b *refuser) count(id string) (times int, wrote bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen[id], b.wrote[id]
}

func markedAnswer(status, id string, lines ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nTest-Request: %s\r\n%s\r\n", status, id, strings.Join(append(lines, "Content-Length: 0\r\n"), "\r\n"))
}

// TestRequestRunsAtSecondServer guards against a request that may run once being sent to a
// second backend server, because the first one's connection brought a refusal that is not its
// own, or an answer that only looks like one.
func TestRequestRunsAtSecondServer(t *testing.T) {
	for _, tt := range []struct {
		name  string
		write func(old, own string) string
		times int // how often the request may be sent
	}{
		{"its own refusal", func(_, own string) string { return markedAnswer("503 Full", own, "Test-Not-Run: 1") }, 2},
		{"an earlier one's refusal", func(old, own string) string {
			return markedAnswer("503 Full", old, "Test-Not-Run: 1") + markedAnswer("200 OK", own)
		}, 1},
		{"two earlier ones' refusals", func(old, own string) string {
			return strings.Repeat(markedAnswer("421 Elsewhere", old), 2) + markedAnswer("200 OK", own)
		}, 1},
		{"a success with the mark", func(_, own string) string { return markedAnswer("200 OK", own, "Test-Not-Run: 1") }, 1},
		{"a success with a false mark", func(_, own string) string { return markedAnswer("200 OK", own, "Test-Not-Run: 0") }, 1},
		{"a failure with a false mark", func(_, own string) string { return markedAnswer("500 Failed", own, "Test-Not-Run: false") }, 1},
		{"a refusal without the mark", func(_, own string) string { return markedAnswer("503 Full", own) }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var servers [2]refuser
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
				p.Names = markNames
				if p.Backend != "" {
					i := 0
					if servers[0].seen != nil {
						i = 1
					}
					p.Backend = servers[i].start(t)
				}
			}, "", "orders", "orders")
			for _, entry := range []int{0, 1} {
				for _, header := range []string{"", "Idempotency-Key", "Test-Streams"} {
					m.eventually("a faulty answer", func() bool {
						times, status, wrote := m.sendToRefusers(&servers, tt.write, entry, header)
						if !wrote { // it went over a new connection
							return false
						}
						is := is.New(t)
						want := tt.times
						if header == "Idempotency-Key" {
							want = 1 // its key has one home
						}
						is.Equal(times, want)
						is.True(tt.times > 1 || status == http.StatusBadGateway)
						return true
					})
				}
			}
		})
	}
}

// sendToRefusers sends a request to two servers that have answered others before. It returns
// how often they got it, the status of its answer, and whether one of them wrote what it was
// told to.
func (m *mesh) sendToRefusers(servers *[2]refuser, write func(old, own string) string, entry int, header string) (times, status int, wrote bool) {
	for range 4 {
		_, _, err := m.do(entry, http.MethodPost, "/once", "x", markNames.RequestID, m.id())
		m.must(err)
	}
	for i := range servers {
		servers[i].set(write)
		defer servers[i].set(nil)
	}
	id := m.id()
	resp, err := m.client.Do(m.onceRequest(entry, id, header))
	m.must(err)
	_ = resp.Body.Close()
	for i := range servers {
		n, faulty := servers[i].count(id)
		times, wrote = times+n, wrote || faulty
	}
	return times, resp.StatusCode, wrote
}

// onceRequest returns a request that may run once, with a header whose value is its ID. With
// the header Test-Streams its body is sent as it is read.
func (m *mesh) onceRequest(entry int, id, header string) *http.Request {
	var body io.Reader = strings.NewReader("body")
	if header == "Test-Streams" {
		body = io.MultiReader(body)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+m.nodes[entry].callers+"/once", body)
	m.must(err)
	r.Header = http.Header{markNames.RequestID: {id}}
	if header != "" {
		r.Header.Set(header, id)
	}
	return r
}
