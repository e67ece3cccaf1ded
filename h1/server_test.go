package h1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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

// TestAbortedResponseIsTruncated checks that the client sees a response as
// truncated if its handler aborts.
func TestAbortedResponseIsTruncated(t *testing.T) {
	for _, tt := range []struct{ name, length string }{{"declared", "100"}, {"chunked", ""}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, h1.Config{}, func(w http.ResponseWriter, _ *http.Request) {
				if tt.length != "" {
					w.Header().Set("Content-Length", tt.length)
				}
				_, _ = fmt.Fprint(w, "begin")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			_, err := c.Write([]byte(getRequest("/")))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // the body is truncated, and the client need not wait for the rest
		})
	}
}

// TestShortResponseIsTruncated checks that a response shorter than its
// Content-Length is not seen as complete.
func TestShortResponseIsTruncated(t *testing.T) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = fmt.Fprint(w, "short")
	})
	_, err := c.Write([]byte(getRequest("/")))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // the client need not wait for the rest
}

// TestRequestBodies checks requests with a length, in chunks and with a long
// body, each followed by another request.
func TestRequestBodies(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	for _, tt := range []struct{ name, head, sent, body string }{
		{"length", "Content-Length: 5", "hello", "hello"},
		{"chunks", "Transfer-Encoding: chunked", "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello"},
		{"long", fmt.Sprintf("Content-Length: %d", len(long)), long, long},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				_, _ = fmt.Fprint(w, r.URL.Path, len(body), string(body) == tt.body, err)
			})
			go func() {
				_, _ = c.Write([]byte("POST /1 HTTP/1.1\r\nHost: a\r\n" + tt.head + "\r\n\r\n" + tt.sent + getRequest("/2")))
			}()
			in := bufio.NewReader(c)
			_, first := readResponse(t, in)
			is.Equal(first, fmt.Sprint("/1", len(tt.body), true, error(nil)))
			_, second := readResponse(t, in)
			is.True(strings.HasPrefix(second, "/2"))
		})
	}
}

// TestReadingExpectedBodySendsContinue checks that a client that sent Expect:
// 100-continue gets the interim response when the handler reads the body.
func TestReadingExpectedBodySendsContinue(t *testing.T) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	_, err := c.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"))
	is.NoErr(err)
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, _ = in.ReadString('\n')
	_, err = c.Write([]byte("ok"))
	is.NoErr(err)
	_, body := readResponse(t, in)
	is.Equal(body, "ok")
}

// TestUnreadBodyClosesConnection guards against request smuggling: bytes of a
// body that a handler did not read must not be parsed as a request.
func TestUnreadBodyClosesConnection(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int32
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	smuggled := getRequest("/smuggled")
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 100<<10, smuggled)
	is.NoErr(err)
	in := bufio.NewReader(c)
	resp, _ := readResponse(t, in)
	is.True(resp.Close)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(handled.Load(), int32(1))
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

// TestBodyReadAfterResponseFails guards against a body reader that outlives its
// handler, as the sending side of a proxy may: once the connection is closing,
// it must get an error and none of the bytes that the server still reads.
func TestBodyReadAfterResponseFails(t *testing.T) {
	is := is.New(t)
	type read struct {
		bytes int
		err   error
	}
	reads, begun := make(chan read, 1), make(chan struct{})
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		first := make([]byte, 5)
		_, err := io.ReadFull(r.Body, first)
		is.NoErr(err)
		go func() {
			close(begun)
			n, err := r.Body.Read(make([]byte, 100))
			reads <- read{n, err}
		}()
		<-begun
		_, _ = io.WriteString(w, "early")
	})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 102400\r\n\r\nfirst")
	is.NoErr(err)
	_, got := readResponse(t, bufio.NewReader(c))
	is.Equal(got, "early")
	_, err = io.WriteString(c, strings.Repeat("x", 100))
	is.NoErr(err)
	last := receive(t, reads, "the body read to return")
	is.True(last.err != nil)
	is.Equal(last.bytes, 0)
}

// TestContinueHasOwnWriteDeadline checks that 100 Continue is sent after the
// write deadline of an earlier response on the same connection has passed.
func TestContinueHasOwnWriteDeadline(t *testing.T) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		}
		_, _ = io.Copy(w, r.Body)
	})
	in := bufio.NewReader(c)
	_, err := io.WriteString(c, getRequest("/"))
	is.NoErr(err)
	_, _ = readResponse(t, in)
	time.Sleep(200 * time.Millisecond) // the write deadline of the first response passes
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	line, err := in.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = in.ReadString('\n')
	is.NoErr(err)
	_, err = io.WriteString(c, "body")
	is.NoErr(err)
	_, got := readResponse(t, in)
	is.Equal(got, "body")
}
