package proxy_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
	"github.com/agatekeel/agatekeel/proxy"
)

// maxStopTime limits the time to stop a server after its node has drained: the
// process supervisor kills the process soon after.
const maxStopTime = 2 * time.Second

// TestStopServerAbortsHungHandler stops a server with a handler that never
// returns by itself.
func TestStopServerAbortsHungHandler(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	arrived := make(chan struct{})
	s := h1.New(h1.Config{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	<-arrived
	ended := make(chan struct{})
	go func() {
		proxy.StopServer(s)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(maxStopTime):
		t.Fatal("StopServer waits for a handler that does not return")
	}
}
