package h1_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

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
