package h1_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

// TestAbortedResponseOverTLSIsReset guards against the same over TLS, where closing the
// connection announces the end of the stream.
func TestAbortedResponseOverTLSIsReset(t *testing.T) {
	is := is.New(t)
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: certified.TLS.Certificates})
	is.NoErr(err)
	s := h1.New(h1.Config{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "half of")
		is.NoErr(http.NewResponseController(w).Flush())
		panic(http.ErrAbortHandler)
	}))
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c := tls.Client(dial(t, l.Addr().String()), &tls.Config{InsecureSkipVerify: true})
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(c)
	is.True(err != nil)
}
