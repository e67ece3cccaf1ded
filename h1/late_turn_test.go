package h1_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

// TestResponseWhoseTurnComesLateIsSent guards against a response that was ready in time and is lost, since
// the one in front of it took longer than its own write deadline.
func TestResponseWhoseTurnComesLateIsSent(t *testing.T) {
	for _, size := range []int{100, 2_400, 30_000, 100_000} {
		is := is.New(t)
		_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(200 * time.Millisecond)
				return
			}
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		in := bufio.NewReader(c)
		for _, want := range []int{0, size} {
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(len(body), want)
		}
	}
}
