package h1_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

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

// lastConn is a listener that remembers the connection that it accepted last.
type lastConn struct {
	net.Listener
	accepted chan *net.TCPConn
}

// Accept implements net.Listener.
func (l lastConn) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(1 << 20)
		l.accepted <- c.(*net.TCPConn)
	}
	return c, err
}

// startLastConn starts a server and returns a client's connection and the server's end of it.
func startLastConn(t *testing.T, h http.HandlerFunc) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	last := lastConn{Listener: l, accepted: make(chan *net.TCPConn, 1)}
	s := h1.New(h1.Config{}, h)
	go func() { _ = s.Serve(last) }()
	t.Cleanup(func() { _ = s.Close() })
	client = dial(t, l.Addr().String())
	return client, receive(t, last.accepted, "the connection")
}

// TestKilledProcessEndsResponseAsIfWhole guards against a response without a length that looks
// whole since its process was killed: the system then closes the connection.
func TestKilledProcessEndsResponseAsIfWhole(t *testing.T) {
	is := is.New(t)
	flushed, killed := make(chan bool), make(chan bool)
	client, server := startLastConn(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "half of")
		is.NoErr(http.NewResponseController(w).Flush())
		close(flushed)
		<-killed
	})
	_, err := io.WriteString(client, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-flushed
	is.NoErr(server.Close()) // as the system does
	_, err = io.ReadAll(client)
	close(killed)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestWholeResponseIsLostToSlowClient guards against a reset after a whole response without a
// length, which would take from a slow client what it has not got yet.
func TestWholeResponseIsLostToSlowClient(t *testing.T) {
	is := is.New(t)
	const size = 200 << 10 // bytes; the server's system buffers them, the client's does not
	client, _ := startLastConn(t, func(w http.ResponseWriter, _ *http.Request) {
		is.NoErr(http.NewResponseController(w).Flush())
		_, err := w.Write(make([]byte, size))
		is.NoErr(err)
	})
	is.NoErr(client.(*net.TCPConn).SetReadBuffer(32 << 10))
	_, err := io.WriteString(client, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	time.Sleep(800 * time.Millisecond) // the server has closed the connection
	response, err := io.ReadAll(client)
	is.NoErr(err)
	is.True(len(response) > size)
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
