package h1_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

// TestAbortedResponseWithoutLengthIsReset guards against a response that looks whole to a
// client of HTTP/1.0, for which the end of the connection ends a response without a length.
func TestAbortedResponseWithoutLengthIsReset(t *testing.T) {
	for _, whole := range []bool{false, true} {
		t.Run(fmt.Sprint("whole=", whole), func(t *testing.T) { abortWithoutLength(t, whole) })
	}
}

// abortWithoutLength checks the response to a client of HTTP/1.0.
func abortWithoutLength(t *testing.T, whole bool) {
	is := is.New(t)
	_, c := start(t, h1.Config{}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "half of")
		is.NoErr(http.NewResponseController(w).Flush())
		if whole {
			_, _ = fmt.Fprint(w, " it")
			return
		}
		panic(http.ErrAbortHandler)
	})
	_, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	response, err := io.ReadAll(c)
	is.Equal(errors.Is(err, syscall.ECONNRESET), !whole)
	if whole {
		is.NoErr(err)
		is.True(strings.HasSuffix(string(response), "\r\n\r\nhalf of it"))
	}
}
