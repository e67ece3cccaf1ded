package h1_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

// TestNoContinueInsideResponse guards against 100 Continue among the bytes of a response
// that began before the request's body was read.
func TestNoContinueInsideResponse(t *testing.T) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "6")
		_, _ = fmt.Fprint(w, "ab")
		is.NoErr(http.NewResponseController(w).Flush())
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		_, _ = w.Write(body)
	})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	in := bufio.NewReader(c)
	_, err = in.Peek(1) // the response has begun
	is.NoErr(err)
	_, err = io.WriteString(c, "cdef")
	is.NoErr(err)
	_, body := readResponse(t, in)
	is.Equal(body, "abcdef")
}

// TestContinueBreaksOldResponse guards against 100 Continue in front of the response to a client of
// HTTP/1.0, which would take it for the response.
func TestContinueBreaksOldResponse(t *testing.T) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(w, r.Body)
		is.NoErr(err)
	})
	_, err := io.WriteString(c, "POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\nabcd")
	is.NoErr(err)
	resp, body := readResponse(t, bufio.NewReader(c))
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "abcd")
}
