package h1_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

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

// TestLongResponseIsTruncated checks that a response longer than its Content-Length is not
// seen as complete, nor its rest as the next response.
func TestLongResponseIsTruncated(t *testing.T) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "3")
		_, _ = fmt.Fprint(w, "ab")
		_, err := fmt.Fprint(w, "cd")
		is.True(errors.Is(err, h1.ErrLongResponse))
	})
	_, err := c.Write([]byte(getRequest("/") + getRequest("/")))
	is.NoErr(err)
	all, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(!strings.Contains(string(all), "abc"))
}
