package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/proxy"
)

// TestPathIsChangedOnItsWay guards against another path or query at the backend server than the
// caller sent, be it one that RFC 3986 doesn't allow.
func TestPathIsChangedOnItsWay(t *testing.T) {
	var last atomic.Value // the target of the last request
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			last.Store(r.RequestURI)
		}
	}))
	t.Cleanup(backend.Close)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) {
		if p.Backend != "" {
			p.Backend = strings.TrimPrefix(backend.URL, "http://")
		}
	}, "", "orders")
	for entry := range 2 {
		for target, status := range map[string]int{
			"/books/a": 200, "/books/a%7Cb": 200, "/books/a|b": 200, "/books/a%2Fb|c": 200, "/books/{1}": 200, "/books/a%2fb%2F": 200,
			"/books/a^b?q=x|y&z={1}": 200, "/books/\"a\"<b>`c`": 200, "/books/a//b|": 200, "/books/../b|": 200, "/books/é": 200, "/?": 200, "/books?": 200,
			"//books/a": 200, "//books/a|b": 400, "/books/[1]": 200, "/books/a;b=1,2": 200, "/books/%zz": 400,
			"http://a/books/é^": 200, "http://a/books/a|b?q=x|y": 200, "http://a/books/a%2Fb": 200, "HTTP://a/books/{1}": 200,
			"http://a//books/a|b": 400, "http://a:80/books/<b>://c": 200,
		} {
			t.Run(fmt.Sprint(entry, target), func(t *testing.T) {
				is := is.New(t)
				c, err := net.Dial("tcp", m.nodes[entry].callers)
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(testDeadline))
				_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", target)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, resp.Body)
				is.Equal(resp.StatusCode, status)
				if status == http.StatusOK {
					is.Equal(last.Load(), strings.TrimPrefix(strings.TrimPrefix(strings.Replace(target, "HTTP:", "http:", 1), "http://a:80"), "http://a"))
				}
			})
		}
	}
}
