package h1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

// testTimeout limits the wait for an expected event; a passing test does not
// reach it.
const testTimeout = 10 * time.Second

// start starts a server and returns it with a connection to it.
func start(t *testing.T, cfg h1.Config, h http.HandlerFunc) (*h1.Server, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := h1.New(cfg, h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, dial(t, l.Addr().String())
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readResponse reads one response and its body.
func readResponse(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read body: %v", err)
	}
	return resp, string(body)
}

func receive[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("timeout while waiting for %s", what)
	}
	return v
}

// TestPipelinedRequestsRunConcurrently checks that three requests sent together
// are handled concurrently and that their responses keep the order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan string, 3), make(chan struct{})
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		if r.URL.Path == "/1" {
			<-release
		}
		_, _ = fmt.Fprint(w, "response to ", r.URL.Path)
	})
	_, err := c.Write([]byte(getRequest("/1") + getRequest("/2") + getRequest("/3")))
	is.NoErr(err)
	for range 3 {
		receive(t, arrived, "a request")
	}
	close(release)
	in := bufio.NewReader(c)
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body := readResponse(t, in)
		is.Equal(body, "response to "+path)
	}
}

// TestDisconnectCancelsPipelinedRequests checks that the contexts of all
// handlers of a connection are cancelled when the client disconnects.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	is := is.New(t)
	arrived, cancelled := make(chan string, 2), make(chan string, 2)
	_, c := start(t, h1.Config{}, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-r.Context().Done()
		cancelled <- r.URL.Path
	})
	_, err := c.Write([]byte(getRequest("/1") + getRequest("/2")))
	is.NoErr(err)
	receive(t, arrived, "a request")
	receive(t, arrived, "a request")
	is.NoErr(c.Close())
	receive(t, cancelled, "the handler's context to be cancelled")
	receive(t, cancelled, "the handler's context to be cancelled")
}

// TestDisconnectBehindManyRequests checks the same of a client that has sent more requests than
// are handled at once: with the one that waits, or many, unread.
func TestDisconnectBehindManyRequests(t *testing.T) {
	for _, more := range []int{1, 4, 100} {
		t.Run(fmt.Sprint(more), func(t *testing.T) {
			is := is.New(t)
			const handled = 3
			arrived, cancelled := make(chan string, handled+more), make(chan string, handled+more)
			_, c := start(t, h1.Config{MaxPipelined: handled}, func(_ http.ResponseWriter, r *http.Request) {
				arrived <- r.URL.Path
				<-r.Context().Done()
				cancelled <- r.URL.Path
			})
			_, err := c.Write([]byte(strings.Repeat(getRequest("/"), handled+more)))
			is.NoErr(err)
			for range handled {
				receive(t, arrived, "a request")
			}
			time.Sleep(20 * time.Millisecond)
			is.NoErr(c.Close())
			for range handled {
				receive(t, cancelled, "the handler's context to be cancelled")
			}
			is.Equal(len(arrived), 0) // no other request is handled
		})
	}
}

// TestManyRequestsOnOneConnection sends more requests than are handled at once, in pieces, and
// with bodies. All are answered in order.
func TestManyRequestsOnOneConnection(t *testing.T) {
	is := is.New(t)
	const requests = 2000
	_, c := start(t, h1.Config{MaxPipelined: 3}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if len(body)%7 == 0 {
			time.Sleep(time.Millisecond)
		}
		_, _ = fmt.Fprintf(w, "%s:%d", r.URL.Path, len(body))
	})
	go func() {
		var all strings.Builder
		for i := range requests {
			body := strings.Repeat("x", i%50)
			if i%3 == 0 && i%50 > 0 {
				_, _ = fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", i, i%50, body)
				continue
			}
			_, _ = fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", i, i%50, body)
		}
		text := all.String()
		for i := 0; len(text) > 0; i++ {
			n := min(len(text), 1+(i*7919)%3000)
			_, _ = io.WriteString(c, text[:n])
			text = text[n:]
		}
	}()
	in := bufio.NewReader(c)
	for i := range requests {
		_, body := readResponse(t, in)
		is.Equal(body, fmt.Sprintf("/%d:%d", i, i%50))
	}
}

// TestBeginUnlessFollowed decides that a response begins before another request is read, and after.
func TestBeginUnlessFollowed(t *testing.T) {
	is := is.New(t)
	arrived, goOn := make(chan string, 3), make(chan bool)
	begun, passed := make(chan bool, 2), make(chan string, 2)
	_, c := start(t, h1.Config{}, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		if r.URL.Path == "/2" {
			is.NoErr(h1.AwaitBegun(r))
			passed <- r.URL.Path
			return
		}
		<-goOn
		begun <- h1.BeginUnlessFollowed(r)
		<-goOn
	})
	for _, alone := range []bool{true, false} {
		_, err := io.WriteString(c, getRequest("/1"))
		is.NoErr(err)
		is.Equal(receive(t, arrived, "the first request"), "/1")
		if alone {
			goOn <- true
			is.True(receive(t, begun, "the decision"))
		}
		_, err = io.WriteString(c, getRequest("/2"))
		is.NoErr(err)
		is.Equal(receive(t, arrived, "the second request"), "/2")
		if alone {
			time.Sleep(20 * time.Millisecond)
			is.Equal(len(passed), 0) // it waits
		} else {
			receive(t, passed, "the second request to go on")
			goOn <- true
			is.True(!receive(t, begun, "the decision"))
		}
		goOn <- true
		if alone {
			receive(t, passed, "the second request to go on")
		}
		in := bufio.NewReader(c)
		readResponse(t, in)
		readResponse(t, in)
	}
}

// TestAwaitTurn checks that a handler can wait until all earlier requests have
// been answered.
func TestAwaitTurn(t *testing.T) {
	is := is.New(t)
	var answered atomic.Bool
	release, pipelined := make(chan struct{}), make(chan bool, 1)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-release
			answered.Store(true)
			return
		}
		pipelined <- h1.IsPipelined(r)
		if h1.AwaitTurn(r) == nil && answered.Load() {
			_, _ = fmt.Fprint(w, "in turn")
		}
	})
	_, err := c.Write([]byte(getRequest("/1") + getRequest("/2")))
	is.NoErr(err)
	is.True(receive(t, pipelined, "the second request"))
	close(release)
	in := bufio.NewReader(c)
	readResponse(t, in)
	_, body := readResponse(t, in)
	is.Equal(body, "in turn")
}

// TestInvalidRequestsAreRejected checks the requests that the server rejects
// without calling the handler.
func TestInvalidRequestsAreRejected(t *testing.T) {
	for _, tt := range []struct {
		name, sent string
		status     int
	}{
		{"long header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"no request", "what?\r\n\r\n", http.StatusBadRequest},
		{"no host", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"space before a colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 36\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
		{"space in a name", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding x: chunked\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 36\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
		{"unknown transfer coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
		{"chunks and a length in HTTP/1.0", "POST / HTTP/1.0\nHost: a\ntransfer-encoding: chunked\nContent-Length: 0\n\n" + getRequest("/inside"), http.StatusBadRequest},
		{"long header of HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nX: " + strings.Repeat("x", 8<<10) + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
		{"long request line of HTTP/1.0", "POST /" + strings.Repeat("x", 8<<10) + " HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
		{"carriage return in a field", "POST / HTTP/1.1\r\nHost: a\r\nX: y\rContent-Length: 36\r\n\r\n" + getRequest("/inside"), http.StatusBadRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, h1.Config{Limits: h1.Limits{MaxHeaderBytes: 16 << 10}}, func(http.ResponseWriter, *http.Request) {
				t.Error("handler called for a request that must be rejected")
			})
			go func() { _, _ = c.Write([]byte(tt.sent)) }()
			resp, _ := readResponse(t, bufio.NewReader(c))
			is.Equal(resp.StatusCode, tt.status)
		})
	}
}

// TestOldRequestsAreServed checks that other requests of HTTP/1.0 are served, also in pieces.
func TestOldRequestsAreServed(t *testing.T) {
	for _, head := range []string{"GET / HTTP/1.0\r\n\r\n", "POST / HTTP/1.0\nContent-Length: 28\n\nTransfer-Encoding: chunked\r\n"} {
		is := is.New(t)
		_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(w, r.Body)
			is.NoErr(err)
		})
		for _, b := range []byte(head) {
			_, err := c.Write([]byte{b})
			is.NoErr(err)
		}
		resp, body := readResponse(t, bufio.NewReader(c))
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(strings.HasSuffix(head, body))
	}
}

// TestDrainAnswersPipelinedRequests checks that a draining server answers all
// requests received before it closes the connection, and announces the close in
// the last response only.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan string, 2), make(chan struct{})
	s, c := start(t, h1.Config{}, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-release
	})
	_, err := c.Write([]byte(getRequest("/1") + getRequest("/2")))
	is.NoErr(err)
	receive(t, arrived, "a request")
	receive(t, arrived, "a request")
	s.Drain()
	close(release)
	in := bufio.NewReader(c)
	first, _ := readResponse(t, in)
	second, _ := readResponse(t, in)
	is.True(!first.Close)
	is.True(second.Close)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
}

// TestShutdownWaits checks that Shutdown waits for responses in progress.
func TestShutdownWaits(t *testing.T) {
	is := is.New(t)
	arrived, release, ended := make(chan string, 1), make(chan struct{}), make(chan error, 1)
	s, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-release
		_, _ = fmt.Fprint(w, "complete")
	})
	_, err := c.Write([]byte(getRequest("/")))
	is.NoErr(err)
	receive(t, arrived, "a request")
	go func() { ended <- s.Shutdown(context.Background()) }()
	select {
	case <-ended:
		t.Fatal("Shutdown returned before the response was sent")
	case <-time.After(10 * time.Millisecond):
	}
	close(release)
	_, body := readResponse(t, bufio.NewReader(c))
	is.Equal(body, "complete")
	is.NoErr(receive(t, ended, "Shutdown to return"))
}

// TestNoResponseAfterConnectionClose checks that nothing is sent after a
// response that closes the connection.
func TestNoResponseAfterConnectionClose(t *testing.T) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = fmt.Fprint(w, r.URL.Path)
	})
	_, err := c.Write([]byte(getRequest("/1") + getRequest("/2")))
	is.NoErr(err)
	all, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(strings.Count(string(all), "HTTP/1.1 200"), 1)
	is.True(strings.HasSuffix(string(all), "/1"))
}
