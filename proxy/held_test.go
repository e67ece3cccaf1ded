package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestHeldResponsesTakeMoreThanTheirMemory guards against responses that an entry node reads
// whole into memory, as many as come, and against short ones that get none because of large ones.
func TestHeldResponsesTakeMoreThanTheirMemory(t *testing.T) {
	const size, memory, readWhole = 200_000, 900_000, 2 // large responses that half of the memory holds
	is := is.New(t)
	cut := atomic.Bool{}
	rest := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		if r.URL.Path == "/short" {
			w.Header().Set("Content-Length", "5")
		}
		switch {
		case r.URL.Path != "/short":
			_, _ = io.WriteString(w, strings.Repeat("x", size/2))
			_ = http.NewResponseController(w).Flush()
			<-rest
			_, _ = io.WriteString(w, strings.Repeat("x", size-size/2))
		case cut.CompareAndSwap(false, true):
			_, _ = io.WriteString(w, "who")
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, "whole")
		}
	}))
	t.Cleanup(backend.Close)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
		if p.ReadAheadBytes = memory; p.Backend != "" {
			p.Backend = strings.TrimPrefix(backend.URL, "http://")
		}
	}, "", "orders")
	begun, bodies := make(chan bool, 10), make(chan int, 10)
	ask := func() {
		resp, err := m.client.Get("http://" + m.nodes[0].callers + "/large")
		if err != nil {
			t.Error(err)
			return
		}
		begun <- true
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Error(err)
		}
		bodies <- len(body)
	}
	for n := range readWhole + 1 {
		go ask()
		m.eventually("it runs", func() bool { return m.nodes[1].arrivals.count.Load() == int64(n+1) })
		time.Sleep(100 * time.Millisecond) // its head comes to the entry node
	}
	select {
	case <-begun: // there is no memory for the last one, so it is passed on as it comes
	case <-time.After(testDeadline / 4):
		t.Error("all responses are read whole before they are relayed")
	}
	is.Equal(len(begun), 0)
	held := m.nodes[0].proxy.HeldBytes()
	is.True(size*readWhole <= held && held <= memory/2)
	_, body, err := m.do(0, http.MethodGet, "/short", "")
	is.NoErr(err)
	is.Equal(string(body), "whole") // the first was cut, and asked for again
	close(rest)
	for range readWhole + 1 {
		is.Equal(<-bodies, size)
	}
	m.eventually("the memory is free again", func() bool { return m.nodes[0].proxy.HeldBytes() == 0 })
}

// TestHeldFailureIsCut guards against a large failure that is cut on its way to the caller, though
// it had come whole: no later attempt gave a better one, and the time of its own was over.
func TestHeldFailureIsCut(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 100_000)
	s := &cutServer{answer: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 100000\r\n\r\n" + body}
	address := s.start(t)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
		if p.LinkBytes = 100 << 20; p.Backend != "" {
			p.Backend = address
		}
	}, "", "orders")
	m.putCallersElsewhere()
	for i := range 20 {
		resp, got, err := m.do(i&1, http.MethodGet, "/", "", headerSend, strconv.Itoa(len(s.answer)), headerEnd, endWhole)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		is.Equal(len(got), len(body))
	}
}
